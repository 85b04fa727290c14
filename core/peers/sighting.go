package peers

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A heartbeat carries sightings of one peer in sightingShare, but of at least minSightings
	// and at most maxSightings.
	minSightings  = 8
	maxSightings  = 64
	sightingShare = 12
	// beatUnit is the unit of beatNumber. No front sends two heartbeats in less.
	beatUnit = 50 * time.Millisecond
	// longestPause is the longest time between two calls of Sightings after which what this
	// front has received counts as fresh. A front that was suspended finds heartbeats in its
	// socket that are as old as the suspension.
	longestPause = time.Second
)

// Sighting is the latest heartbeat of a peer that a front knows of.
type Sighting struct {
	// Peer is the Hash of the peer's address.
	Peer uint32
	// Beat tells heartbeats of a peer apart: a later one has a higher number, also after a
	// restart unless the clock was set back. It wraps around.
	Beat uint32
	// Age is how long ago the heartbeat was sent.
	Age time.Duration
	// Leaving is true if the peer is shutting down.
	Leaving bool
}

// Hash returns the hash that stands for a peer's address in sightings.
func Hash(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// beatNumber returns the Beat of a heartbeat.
func beatNumber(b Heartbeat) uint32 {
	return uint32(b.Incarnation/uint64(beatUnit.Milliseconds()) + b.Sequence)
}

// sign is a sign of life: a peer's heartbeat, received from it or known from others.
type sign struct {
	known   bool
	beat    uint32
	at      time.Duration
	leaving bool
}

// see records a sign of life unless it is older than the last one. Only a higher number makes
// a sign newer: by age alone the delays on its way through several fronts would add up, and a
// peer that has stopped could count as live for ever.
func (t *Table) see(now time.Duration, e *peer, s sign) {
	if t.alive(now, e) && int32(s.beat-e.sign.beat) <= 0 {
		return
	}
	if e.sign.known && s.beat == e.sign.beat {
		return
	}
	if !t.alive(now, e) {
		e.since = now
	}
	s.at = max(s.at, e.sign.at)
	e.sign = s
}

// ObserveSightings records what a peer has passed on of other peers. Sightings of peers whose
// address this front doesn't know are ignored, as are those too old for a live peer.
func (t *Table) ObserveSightings(now time.Duration, ss []Sighting) {
	for _, s := range ss {
		e := t.byHash[s.Peer]
		if e == nil || s.Age < 0 || s.Age > t.aliveFor() {
			continue
		}
		t.see(now, e, sign{known: true, beat: s.Beat, at: now - s.Age, leaving: s.Leaving})
	}
}

// Sightings returns a random sample of the latest heartbeats that are known of live peers, for
// the next heartbeat to carry. It returns none for some time after this front was suspended.
func (t *Table) Sightings(now time.Duration, r *rand.Rand) []Sighting {
	if t.sighted > 0 && now-t.sighted > longestPause {
		t.mutedUntil = now + t.aliveFor()
	}
	t.sighted = now
	if now < t.mutedUntil {
		return nil
	}
	var ss []Sighting
	n := min(maxSightings, max(minSightings, len(t.order)/sightingShare))
	// Those that are a good part of the way to being out of date tell most peers nothing new.
	for i := 0; i < len(t.order) && len(ss) < n; i++ {
		j := i + r.IntN(len(t.order)-i)
		t.order[i], t.order[j] = t.order[j], t.order[i]
		if e := t.order[i]; e.seenWithin(now, t.aliveFor()/3) {
			ss = append(ss, Sighting{Peer: e.hash, Beat: e.sign.beat, Age: now - e.sign.at, Leaving: e.sign.leaving})
		}
	}
	return ss
}
