package peers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcupstand/core/peers"
)

// beat returns heartbeat n of a peer.
func beat(peer string, n uint64) peers.Heartbeat {
	return peers.Heartbeat{Peer: peer, Incarnation: 1000, Sequence: n}
}

// What a peer did between two of its heartbeats counts as done by a live front if it was known to
// live all the time, from its heartbeats or from what others passed on.
func TestContinuousWhileKnownToLive(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name string
		// gap is the time between the peer's heartbeats, and told when another front passes on
		// a heartbeat of the peer that it has just received.
		gap  time.Duration
		told []time.Duration
		want bool
	}{
		{"next heartbeat", 250 * time.Millisecond, nil, true},
		{"at the limit", peers.AliveFor, nil, true},
		{"too late", peers.AliveFor + time.Millisecond, nil, false},
		{"passed on meanwhile", 3 * time.Second, []time.Duration{time.Second, 2 * time.Second}, true},
		{"passed on after it counted as dead", 3 * time.Second, []time.Duration{2 * time.Second}, false},
	} {
		p, other := peers.New("self", 0, nil), peers.New("other", 0, nil)
		p.Observe(0, beat("a", 1))
		for i, at := range c.told {
			other.Observe(at, beat("a", uint64(i+2)))
			p.ObserveSightings(at, other.Sightings(at, r))
		}
		p.Observe(c.gap, beat("a", 9))
		if got := p.Continuous("a"); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	p := peers.New("self", 0, nil)
	if p.Observe(0, beat("a", 1)); p.Continuous("a") {
		t.Error("continuous after a first heartbeat")
	}
}

// Fronts that take long to handle what they receive must not keep each other's belief in a peer
// alive that has stopped: its last heartbeat only grows older.
func TestStoppedPeerIsNotKeptLiveByRumour(t *testing.T) {
	const delay = 400 * time.Millisecond // on the way and until it is handled, more than an interval
	r := rand.New(rand.NewPCG(1, 2))
	names := []string{"a", "b", "c"}
	ps := map[string]*peers.Table{}
	type message struct {
		to string
		b  peers.Heartbeat
		ss []peers.Sighting
	}
	sent := map[time.Duration][]message{}
	for _, n := range names {
		ps[n] = peers.New(n, 0, nil)
		ps[n].Observe(0, beat("stopped", 7))
	}
	for now := time.Duration(0); now <= 5*time.Second; now += 50 * time.Millisecond {
		for _, m := range sent[now] {
			if ps[m.to].Observe(now, m.b) {
				ps[m.to].ObserveSightings(now, m.ss)
			}
		}
		if now%(250*time.Millisecond) != 0 {
			continue
		}
		for _, n := range names {
			ss := ps[n].Sightings(now, r)
			for _, to := range names {
				if to != n {
					sent[now+delay] = append(sent[now+delay], message{to, beat(n, uint64(now/(250*time.Millisecond))+1), ss})
				}
			}
		}
		for _, n := range names {
			if now > peers.AliveFor+delay && ps[n].Alive(now, "stopped") {
				t.Fatalf("%s counts the stopped peer as live %v after its last heartbeat", n, now)
			}
		}
	}
}

// A front that was suspended passes nothing on for a while: the heartbeats in its socket are as old
// as the suspension.
func TestSuspendedFrontPassesNothingOn(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := peers.New("self", 0, nil)
	p.Observe(time.Second, beat("a", 1))
	if ss := p.Sightings(time.Second, r); len(ss) != 1 {
		t.Fatalf("got %d sightings, want 1", len(ss))
	}
	back := 5 * time.Second
	p.Observe(back, beat("a", 2))
	if ss := p.Sightings(back, r); len(ss) != 0 {
		t.Errorf("got %d sightings right after a suspension, want none", len(ss))
	}
	for now := back; now <= back+peers.AliveFor; now += 250 * time.Millisecond {
		p.Observe(now, beat("a", 2+uint64(now/time.Millisecond)))
		p.Sightings(now, r)
	}
	later := back + peers.AliveFor + 250*time.Millisecond
	p.Observe(later, beat("a", 1<<20))
	if ss := p.Sightings(later, r); len(ss) != 1 {
		t.Errorf("got %d sightings later, want 1", len(ss))
	}
}

// Sightings of peers that this front has not heard of, or that are too old, change nothing.
func TestUselessSightingsAreIgnored(t *testing.T) {
	p := peers.New("self", 0, nil)
	p.Observe(0, beat("a", 1))
	p.ObserveSightings(0, []peers.Sighting{{Peer: peers.Hash("unknown"), Beat: 1}})
	p.ObserveSightings(2*peers.AliveFor, []peers.Sighting{
		{Peer: peers.Hash("a"), Beat: 1 << 20, Age: peers.AliveFor + 1},
		{Peer: peers.Hash("a"), Beat: 1 << 20, Age: -1},
	})
	if live, _ := p.Count(2 * peers.AliveFor); live != 1 {
		t.Errorf("got %d live fronts, want this one only", live)
	}
}
