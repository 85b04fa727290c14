// Package peers is a front's membership table: which other fronts it knows, which of
// them are live, and which hold a newer plan or target directory.
//
// Membership spreads by gossip. Each heartbeat carries the sender's address and a sample
// of the peers that are live at the sender, and goes to a random set of known peers and
// seeds. Seeds may be stale or down: as long as any path exists between two fronts, they
// find each other within a few heartbeats. The number of recipients is bounded, so a
// front's cost doesn't grow with the number of fronts.
//
// As a heartbeat reaches few peers of a large fleet, it also carries sightings: the latest
// heartbeats that the sender knows of other peers, from them or from what others passed on,
// with their age. A peer is live for AliveFor after its last heartbeat that is known here,
// and in a large fleet for up to MaxAliveFor. After that it may still be serving on the other
// side of a partition, and Count includes it in the total until ServingFor has passed, unless
// it announced that it is leaving.
//
// In a large fleet with several data centres the fronts of each exchange heartbeats more often
// than others, as each needs to know the load of the targets near it best; see Regional.
//
// # Usage
//
//	t := peers.New("192.0.2.1:7600", dataCentre, seeds)
//	fresh := t.Observe(now, peers.Heartbeat{Peer: "192.0.2.7:7600", Incarnation: 3, Sequence: 41})
//	t.ObserveSightings(now, sightings)
//	for _, a := range t.Recipients(random, nil, nil) { send(a, heartbeat, t.Sightings(now, random)) }
//	live, total := t.Count(now)
package peers

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Times since a peer's last heartbeat.
const (
	// AliveFor is how long a peer counts as live in a fleet of up to smallFleet fronts.
	// Heartbeats are sent at least every 250 ms and single datagrams get lost.
	AliveFor = 1200 * time.Millisecond
	// MaxAliveFor is the same for a fleet of largeFleet fronts or more, in which it takes
	// several heartbeats until all fronts know of one.
	MaxAliveFor = 2500 * time.Millisecond
	// ServingFor is how long a peer without heartbeats may be serving behind a
	// partition. It is longer than partitions usually last. After it, the peer counts as
	// stopped.
	ServingFor = 12 * time.Second
	// EvictAfter is how long heartbeats are still sent to a peer that sends none.
	EvictAfter = 2 * time.Minute
)

// Numbers of fronts between which the time that a peer counts as live grows.
const (
	smallFleet = 100
	largeFleet = 300
)

// Sizes of a heartbeat.
const (
	// recipients is the largest number of peers that one heartbeat is sent to, so that
	// a front's cost doesn't grow with the number of fronts.
	recipients = 24
	// minFar is the least number of recipients in other data centres.
	minFar = 12
	// sampled is the largest number of peer addresses that a heartbeat carries.
	sampled = 8
)

// Heartbeat is the part of a peer's heartbeat that concerns membership.
type Heartbeat struct {
	// Peer is the sender's address.
	Peer string
	// Incarnation differs between two runs of the process at one address and rises
	// unless the clock was set back.
	Incarnation uint64
	// Sequence numbers the heartbeats of one incarnation.
	Sequence uint64
	// Plan and Directory are the revisions that the peer holds.
	Plan      uint64
	Directory uint64
	// DataCentre is the hash of the peer's data centre; 0 if it is unknown.
	DataCentre uint32
	// Leaving is true if the peer is shutting down.
	Leaving bool
	// Peers are addresses of other peers that are live at the sender.
	Peers []string
}

// peer is the table's entry for one address.
type peer struct {
	// last is the last heartbeat accepted.
	last     Heartbeat
	received time.Duration
	// known is false until a heartbeat comes from the peer itself. Until then it has only
	// been named by others, at the time added.
	known bool
	added time.Duration
	// hash is the Hash of the address.
	hash uint32
	// sign is the last sign of life. The peer has counted as live without interruption from
	// since until AliveFor after it.
	sign  sign
	since time.Duration
	// continuous is true if the peer counted as live from its last heartbeat but one to the
	// last one.
	continuous bool
}

// seenWithin reports whether the last sign of life of the peer is no older than d.
func (e *peer) seenWithin(now, d time.Duration) bool { return e.sign.known && now-e.sign.at <= d }

// Table is one front's membership table. It is not safe for concurrent use.
type Table struct {
	self       string
	dataCentre uint32
	seeds      []string
	peers      map[string]*peer
	// byHash holds the peers by Hash of their address, and order the same in any order.
	byHash map[uint32]*peer
	order  []*peer
	// sighted is when Sightings was last called, and mutedUntil the end of the time in which
	// it returns nothing.
	sighted, mutedUntil time.Duration
}

// aliveFor returns how long a peer counts as live after its last heartbeat.
func (t *Table) aliveFor() time.Duration {
	f := float64(len(t.peers)-smallFleet) / (largeFleet - smallFleet)
	return AliveFor + time.Duration(min(1, max(0, f))*float64(MaxAliveFor-AliveFor))
}

func (t *Table) alive(now time.Duration, e *peer) bool { return e.seenWithin(now, t.aliveFor()) }

// serving reports whether a peer may be serving, also behind a partition.
func (t *Table) serving(now time.Duration, e *peer) bool {
	return t.alive(now, e) || !e.sign.leaving && e.seenWithin(now, ServingFor)
}

// New returns the table of a front with the address self and the hash of its data centre that
// has received no heartbeat yet.
func New(self string, dataCentre uint32, seeds []string) *Table {
	t := &Table{self: self, dataCentre: dataCentre, peers: map[string]*peer{}, byHash: map[uint32]*peer{}}
	for _, s := range seeds {
		if s != self {
			t.seeds = append(t.seeds, s)
		}
	}
	return t
}

// Observe records a heartbeat and learns the peers that it names. It reports false, and
// changes nothing, if the heartbeat is a duplicate, out of order, or this front's own.
//
// A lower incarnation is accepted once the peer no longer counts as live: the peer has
// then restarted with a clock that was set back.
func (t *Table) Observe(now time.Duration, b Heartbeat) bool {
	if b.Peer == t.self {
		return false
	}
	e := t.add(now, b.Peer)
	if e.known && (b.Incarnation < e.last.Incarnation && t.alive(now, e) ||
		b.Incarnation == e.last.Incarnation && b.Sequence <= e.last.Sequence) {
		return false
	}
	e.continuous = e.known && t.alive(now, e) && e.since <= e.received
	t.see(now, e, sign{known: true, beat: beatNumber(b), at: now, leaving: b.Leaving})
	e.last, e.received, e.known = b, now, true
	for _, a := range b.Peers {
		t.add(now, a)
	}
	return true
}

// add returns the entry of an address, which it adds if there is none. The entry of
// this front itself is not kept.
func (t *Table) add(now time.Duration, a string) *peer {
	e := t.peers[a]
	if e == nil {
		e = &peer{added: now}
		if a != t.self {
			t.peers[a] = e
			e.hash = Hash(a)
			t.byHash[e.hash] = e
			t.order = append(t.order, e)
		}
	}
	return e
}

// Expire removes the peers of which no sign of life has come for EvictAfter. It returns the
// sorted addresses of all peers that have sent heartbeats and are no longer live. A peer
// is returned by every call until it is removed, not only by the first.
func (t *Table) Expire(now time.Duration) []string {
	var stopped []string
	for a, e := range t.peers {
		last := max(e.received, e.sign.at, e.added)
		if now-last > EvictAfter {
			delete(t.peers, a)
			delete(t.byHash, e.hash)
			t.order = slices.DeleteFunc(t.order, func(o *peer) bool { return o == e })
		}
		if e.known && !t.alive(now, e) {
			stopped = append(stopped, a)
		}
	}
	sort.Strings(stopped)
	return stopped
}

// Alive reports whether a peer is live.
func (t *Table) Alive(now time.Duration, a string) bool {
	e := t.peers[a]
	return e != nil && t.alive(now, e)
}

// Continuous reports whether a peer counted as live from its last heartbeat but one until its
// last one. What it did in between was then done by a front that is counted here.
func (t *Table) Continuous(a string) bool {
	e := t.peers[a]
	return e != nil && e.continuous
}

// Count returns the number of live fronts and the total of those that may be serving.
// Both include this one.
func (t *Table) Count(now time.Duration) (live, total int) {
	live, total = 1, 1
	for _, e := range t.peers {
		if t.alive(now, e) {
			live++
		}
		if t.serving(now, e) {
			total++
		}
	}
	return live, total
}

// Position returns this front's position, from 0, among the live fronts in the order of
// their addresses, which is the same order at all fronts.
func (t *Table) Position(now time.Duration) int {
	n := 0
	for a := range t.peers {
		if a < t.self && t.Alive(now, a) {
			n++
		}
	}
	return n
}

// Serving returns the sorted addresses of the peers that may be serving, live or not. In a
// large fleet it differs less from front to front than Live, as each heartbeat reaches few.
func (t *Table) Serving(now time.Duration) []string {
	var as []string
	for a, e := range t.peers {
		if t.serving(now, e) {
			as = append(as, a)
		}
	}
	sort.Strings(as)
	return as
}

// Live returns the sorted addresses of the live peers.
func (t *Table) Live(now time.Duration) []string {
	var as []string
	for a := range t.peers {
		if t.Alive(now, a) {
			as = append(as, a)
		}
	}
	sort.Strings(as)
	return as
}

// Sample returns the addresses of a random sample of the live peers, for the next
// heartbeat to carry.
func (t *Table) Sample(now time.Duration, r *rand.Rand) []string {
	as := t.Live(now)
	r.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), sampled)]
}

// remoteFetches is one in how many choices of Newer is made among all peers.
const remoteFetches = 4

// Newer returns a random live peer that holds a plan or directory with a higher revision
// than the given one, or false if there is none. Mostly it is one of this data centre, as
// documents are large. The choice is random so that a peer which can't be reached isn't asked
// every time, and so that a peer on a small instance isn't asked by all fronts at once.
func (t *Table) Newer(now time.Duration, plan, directory uint64, r *rand.Rand) (string, bool) {
	var as, near []string
	for a, e := range t.peers {
		if t.Alive(now, a) && (e.last.Plan > plan || e.last.Directory > directory) {
			as = append(as, a)
			if e.last.DataCentre == t.dataCentre {
				near = append(near, a)
			}
		}
	}
	if len(as) == 0 {
		return "", false
	}
	if len(near) > 0 && r.IntN(remoteFetches) > 0 {
		as = near
	}
	sort.Strings(as)
	return as[r.IntN(len(as))], true
}
