// Package peers is a front's belief about the other fronts: where they are, which
// are heard, and which of them hold something newer.
//
// # Usage
//
//	p := peers.New("192.0.2.1:7600", seeds)
//	fresh := p.Hear(now, peers.Beat{Peer: "192.0.2.7:7600", Incarnation: 3, Sequence: 41})
//	for _, a := range p.Audience(now, random) { send(a, beat) }
//	heard, all := p.Count(now)
//
// Seeds may be stale or down. A front that hears a beat learns the sender and
// some of those that the sender knows, so all fronts that have a path find each
// other within a few beats.
package peers

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Times of belief.
const (
	// AliveFor is how long a peer counts as heard after a beat. Beats come at
	// least every quarter of a second and single datagrams are lost.
	AliveFor = 1200 * time.Millisecond
	// ServingFor is how long a silent peer may be serving behind a partition:
	// longer than cuts usually last.
	ServingFor = 12 * time.Second
	// EvictAfter is how long beats are still sent to a silent peer.
	EvictAfter = 2 * time.Minute
)

// Sizes of an exchange.
const (
	// audience is the most peers that one beat is sent to, so that a front's cost
	// doesn't grow with the fleet.
	audience = 24
	// introduced is how many addresses a beat passes on.
	introduced = 8
)

// Heartbeat is what a peer said of itself.
type Heartbeat struct {
	Peer        string
	Incarnation uint64
	Sequence    uint64
	// Plan and Directory are the revisions that the peer holds.
	Plan      uint64
	Directory uint64
	Leaving   bool
	// Peers are others that the peer knows.
	Peers []string
}

type peer struct {
	beat  Heartbeat
	heard time.Duration
	// known is false until the peer itself was heard.
	known bool
	added time.Duration
}

// Table is the belief. It is not safe for concurrent use.
type Table struct {
	self  string
	seeds []string
	peers map[string]*peer
}

// New returns the belief of a front that has heard nobody.
func New(self string, seeds []string) *Table {
	p := &Table{self: self, peers: map[string]*peer{}}
	for _, s := range seeds {
		if s != self {
			p.seeds = append(p.seeds, s)
		}
	}
	return p
}

// Observe takes a beat. It reports false if the beat is older than one that was
// heard before, or this front's own.
func (p *Table) Observe(now time.Duration, b Heartbeat) bool {
	if b.Peer == p.self {
		return false
	}
	e := p.add(now, b.Peer)
	if e.known && (b.Incarnation < e.beat.Incarnation && now-e.heard <= AliveFor ||
		b.Incarnation == e.beat.Incarnation && b.Sequence <= e.beat.Sequence) {
		return false
	}
	e.beat, e.heard, e.known = b, now, true
	for _, a := range b.Peers {
		p.add(now, a)
	}
	return true
}

func (p *Table) add(now time.Duration, a string) *peer {
	e := p.peers[a]
	if e == nil {
		e = &peer{added: now}
		if a != p.self {
			p.peers[a] = e
		}
	}
	return e
}

// Expire forgets peers that were silent for long and returns those that have
// just stopped being heard.
func (p *Table) Expire(now time.Duration) []string {
	var silent []string
	for a, e := range p.peers {
		last := max(e.heard, e.added)
		if now-last > EvictAfter {
			delete(p.peers, a)
		}
		if e.known && now-e.heard > AliveFor {
			silent = append(silent, a)
		}
	}
	sort.Strings(silent)
	return silent
}

// Alive reports whether a peer is heard.
func (p *Table) Alive(now time.Duration, a string) bool {
	e := p.peers[a]
	return e != nil && e.known && now-e.heard <= AliveFor
}

// Count returns how many fronts are heard and how many may be serving, this one
// included in both.
func (p *Table) Count(now time.Duration) (heard, all int) {
	heard, all = 1, 1
	for _, e := range p.peers {
		if !e.known {
			continue
		}
		if now-e.heard <= AliveFor {
			heard++
			all++
		} else if !e.beat.Leaving && now-e.heard <= ServingFor {
			all++
		}
	}
	return heard, all
}

// Position returns how many of the fronts that are heard come before this one in an
// order that all agree on.
func (p *Table) Position(now time.Duration) int {
	n := 0
	for a := range p.peers {
		if a < p.self && p.Alive(now, a) {
			n++
		}
	}
	return n
}

// Recipients returns who the next beat goes to.
func (p *Table) Recipients(r *rand.Rand) []string {
	var as []string
	for a := range p.peers {
		as = append(as, a)
	}
	for _, s := range p.seeds {
		if p.peers[s] == nil {
			as = append(as, s)
		}
	}
	sort.Strings(as)
	r.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), audience)]
}

// Sample returns some peers for others to learn.
func (p *Table) Sample(now time.Duration, r *rand.Rand) []string {
	var as []string
	for a := range p.peers {
		if p.Alive(now, a) {
			as = append(as, a)
		}
	}
	sort.Strings(as)
	r.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), introduced)]
}

// Newer returns a peer that is heard and holds a newer plan or directory. Any of
// them may be picked: one that can't be reached must not be asked each time, and a
// small one not by all fronts at once.
func (p *Table) Newer(now time.Duration, plan, directory uint64, r *rand.Rand) (string, bool) {
	var as []string
	for a, e := range p.peers {
		if p.Alive(now, a) && (e.beat.Plan > plan || e.beat.Directory > directory) {
			as = append(as, a)
		}
	}
	if len(as) == 0 {
		return "", false
	}
	sort.Strings(as)
	return as[r.IntN(len(as))], true
}
