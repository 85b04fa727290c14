package peers_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kingcupstand/core/peers"
)

// Fronts that know one seed, which most of them share, all hear each other soon,
// also if the other seeds are down.
func TestFrontsFindEachOther(t *testing.T) {
	const n = 20
	r := rand.New(rand.NewPCG(1, 2))
	ps := map[string]*peers.Table{}
	name := func(i int) string { return fmt.Sprintf("192.0.2.%d:7600", i) }
	for i := range n {
		ps[name(i)] = peers.New(name(i), []string{name(0), "198.51.100.1:7600"})
	}
	for round := range 20 {
		now := time.Duration(round) * 250 * time.Millisecond
		for a, p := range ps {
			b := peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: uint64(round + 1), Peers: p.Sample(now, r)}
			for _, to := range p.Recipients(r) {
				if o := ps[to]; o != nil {
					o.Observe(now, b)
				}
			}
		}
	}
	for a, p := range ps {
		if heard, _ := p.Count(19 * 250 * time.Millisecond); heard != n {
			t.Errorf("%s hears %d of %d", a, heard, n)
		}
	}
}

func TestSilentPeerMayStillServe(t *testing.T) {
	p := peers.New("self", nil)
	p.Observe(0, peers.Heartbeat{Peer: "a", Incarnation: 1, Sequence: 1})
	p.Observe(0, peers.Heartbeat{Peer: "b", Incarnation: 1, Sequence: 1, Leaving: true})
	for _, c := range []struct {
		now        time.Duration
		heard, all int
	}{
		{0, 3, 3},
		{peers.AliveFor + 1, 1, 2}, // b said that it leaves
		{peers.ServingFor + 1, 1, 1},
	} {
		if h, a := p.Count(c.now); h != c.heard || a != c.all {
			t.Errorf("at %v: heard %d of %d, want %d of %d", c.now, h, a, c.heard, c.all)
		}
	}
}

func TestOldBeats(t *testing.T) {
	p := peers.New("self", nil)
	for _, c := range []struct {
		now                   time.Duration
		incarnation, sequence uint64
		want                  bool
	}{
		{0, 5, 2, true},
		{0, 5, 2, false},                   // twice
		{0, 5, 1, false},                   // out of order
		{0, 4, 9, false},                   // from the life before
		{0, 6, 1, true},                    // started anew
		{2 * peers.AliveFor, 3, 1, true},   // started anew with a clock that was set back
		{2 * peers.AliveFor, 3, 1, false},  // twice
		{2*peers.AliveFor + 1, 3, 2, true}, // goes on
	} {
		if got := p.Observe(c.now, peers.Heartbeat{Peer: "a", Incarnation: c.incarnation, Sequence: c.sequence}); got != c.want {
			t.Errorf("incarnation %d sequence %d: got %v", c.incarnation, c.sequence, got)
		}
	}
	if p.Observe(0, peers.Heartbeat{Peer: "self", Incarnation: 1, Sequence: 1}) {
		t.Error("a front hears itself")
	}
}

func TestNewerDocuments(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := peers.New("self", nil)
	p.Observe(0, peers.Heartbeat{Peer: "a", Incarnation: 1, Sequence: 1, Plan: 7, Directory: 3})
	if a, ok := p.Newer(0, 6, 3, r); !ok || a != "a" {
		t.Errorf("newer plan: %q, %v", a, ok)
	}
	if _, ok := p.Newer(0, 7, 3, r); ok {
		t.Error("the same revisions count as newer")
	}
	if _, ok := p.Newer(2*peers.AliveFor, 6, 3, r); ok {
		t.Error("a silent peer is asked")
	}
}

// One newer peer may be heard and still not answer, as when only its datagrams get
// through, and a small one must not be asked by all at once.
func TestNewerDocumentsComeFromDifferentPeers(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := peers.New("self", nil)
	for _, a := range []string{"a", "b", "c"} {
		p.Observe(0, peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: 1, Plan: 7})
	}
	p.Observe(0, peers.Heartbeat{Peer: "old", Incarnation: 1, Sequence: 1, Plan: 6})
	asked := map[string]int{}
	for range 30 {
		a, _ := p.Newer(0, 6, 0, r)
		asked[a]++
	}
	if asked["a"] < 3 || asked["b"] < 3 || asked["c"] < 3 || asked["old"] > 0 {
		t.Errorf("peers asked in 30 tries: %v", asked)
	}
}

// Whatever part of the fronts hears each other, some of them come first in it.
func TestSomeFrontsComeFirst(t *testing.T) {
	p := peers.New("b", nil)
	for _, a := range []string{"a", "c", "d"} {
		p.Observe(0, peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: 1})
	}
	if n := p.Position(0); n != 1 {
		t.Errorf("%d before b, want 1", n)
	}
	if n := p.Position(2 * peers.AliveFor); n != 0 {
		t.Errorf("%d before b when a is not heard, want 0", n)
	}
}
