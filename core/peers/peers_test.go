package peers_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupstand/core/peers"
	"kingcupstand/core/share"
)

// Fronts that share one seed all find each other within 20 heartbeats, although their
// second seed is down.
func TestFrontsFindEachOtherFromOneSeed(t *testing.T) {
	const n = 20
	r := rand.New(rand.NewPCG(1, 2))
	ps := map[string]*peers.Table{}
	name := func(i int) string { return fmt.Sprintf("192.0.2.%d:7600", i) }
	for i := range n {
		ps[name(i)] = peers.New(name(i), 0, []string{name(0), "198.51.100.1:7600"})
	}
	for round := range 20 {
		now := time.Duration(round) * 250 * time.Millisecond
		for a, p := range ps {
			b := peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: uint64(round + 1), Peers: p.Sample(now, r)}
			for _, to := range p.Recipients(r, nil, nil) {
				if o := ps[to]; o != nil {
					o.Observe(now, b)
				}
			}
		}
	}
	for a, p := range ps {
		if live, _ := p.Count(19 * 250 * time.Millisecond); live != n {
			t.Errorf("%s: got %d live fronts, want %d", a, live, n)
		}
	}
}

func TestCountIncludesPeersBehindPartition(t *testing.T) {
	p := peers.New("self", 0, nil)
	p.Observe(0, peers.Heartbeat{Peer: "a", Incarnation: 1, Sequence: 1})
	p.Observe(0, peers.Heartbeat{Peer: "b", Incarnation: 1, Sequence: 1, Leaving: true})
	for _, c := range []struct {
		now         time.Duration
		live, total int
	}{
		{0, 3, 3},
		{peers.AliveFor + 1, 1, 2}, // b announced that it is leaving
		{peers.ServingFor + 1, 1, 1},
	} {
		if l, n := p.Count(c.now); l != c.live || n != c.total {
			t.Errorf("at %v: got %d live of %d, want %d of %d", c.now, l, n, c.live, c.total)
		}
	}
}

func TestHeartbeatsOutOfOrderAreRejected(t *testing.T) {
	p := peers.New("self", 0, nil)
	for _, c := range []struct {
		now                   time.Duration
		incarnation, sequence uint64
		want                  bool
	}{
		{0, 5, 2, true},
		{0, 5, 2, false},                   // duplicate
		{0, 5, 1, false},                   // out of order
		{0, 4, 9, false},                   // from the incarnation before
		{0, 6, 1, true},                    // restarted
		{2 * peers.AliveFor, 3, 1, true},   // restarted with a clock that was set back
		{2 * peers.AliveFor, 3, 1, false},  // duplicate
		{2*peers.AliveFor + 1, 3, 2, true}, // next in sequence
	} {
		if got := p.Observe(c.now, peers.Heartbeat{Peer: "a", Incarnation: c.incarnation, Sequence: c.sequence}); got != c.want {
			t.Errorf("incarnation %d, sequence %d: got %v", c.incarnation, c.sequence, got)
		}
	}
	if p.Observe(0, peers.Heartbeat{Peer: "self", Incarnation: 1, Sequence: 1}) {
		t.Error("a front accepted its own heartbeat")
	}
}

func TestNewerReturnsLivePeerWithNewerRevision(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := peers.New("self", 0, nil)
	p.Observe(0, peers.Heartbeat{Peer: "a", Incarnation: 1, Sequence: 1, Plan: 7, Directory: 3})
	if a, ok := p.Newer(0, 6, 3, r); !ok || a != "a" {
		t.Errorf("newer plan: got %q, %v, want peer a", a, ok)
	}
	if _, ok := p.Newer(0, 7, 3, r); ok {
		t.Error("a peer with the same revisions counts as newer")
	}
	if _, ok := p.Newer(2*peers.AliveFor, 6, 3, r); ok {
		t.Error("a peer that is not live was returned")
	}
}

// A live peer may not respond, as when only its datagrams get through, and a peer on a
// small instance must not be asked by all fronts at once. The choice therefore varies.
func TestNewerVariesThePeer(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := peers.New("self", 0, nil)
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
		t.Errorf("peers returned in 30 calls: got %v, want each of a, b and c at least 3 times and old never", asked)
	}
}

// Documents are large, and links between data centres are scarce: most are fetched from a front of the
// same data centre, if one has them. Others are still asked at times, as it may not respond.
func TestNewerPrefersTheOwnDataCentre(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := peers.New("self", 1, nil)
	for i := range 12 {
		p.Observe(0, peers.Heartbeat{Peer: fmt.Sprint("far-", i), Incarnation: 1, Sequence: 1, Plan: 7, DataCentre: 2})
	}
	p.Observe(0, peers.Heartbeat{Peer: "near-old", Incarnation: 1, Sequence: 1, Plan: 6, DataCentre: 1})
	if a, ok := p.Newer(0, 6, 0, r); !ok || !strings.HasPrefix(a, "far-") {
		t.Errorf("got %q, %v, want one of the others, which alone are newer", a, ok)
	}
	p.Observe(0, peers.Heartbeat{Peer: "near", Incarnation: 1, Sequence: 1, Plan: 7, DataCentre: 1})
	const calls = 400
	near := 0
	for range calls {
		if a, _ := p.Newer(0, 6, 0, r); a == "near" {
			near++
		}
	}
	if near < calls*2/3 || near > calls*9/10 {
		t.Errorf("the near peer is asked in %d of %d calls, want most but not all", near, calls)
	}
}

// On each side of a partition, the live fronts are numbered from 0, so that each side has
// primary watchers.
func TestPositionCountsLivePeersOnly(t *testing.T) {
	p := peers.New("b", 0, nil)
	for _, a := range []string{"a", "c", "d"} {
		p.Observe(0, peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: 1})
	}
	if n := p.Position(0); n != 1 {
		t.Errorf("got %d live peers before b, want 1", n)
	}
	if n := p.Position(2 * peers.AliveFor); n != 0 {
		t.Errorf("got %d peers before b when none is live, want 0", n)
	}
}

// Peers that get the heartbeat anyway take the place of others, so that its cost is bounded.
func TestRecipientsAreBounded(t *testing.T) {
	p := peers.New("self", 0, nil)
	for i := range 100 {
		p.Observe(0, peers.Heartbeat{Peer: fmt.Sprint(i), Sequence: 1})
	}
	besides := map[string]bool{"1": true, "2": true, "3": true}
	as := p.Recipients(rand.New(rand.NewPCG(1, 2)), nil, besides)
	if len(as) != 24-len(besides) {
		t.Errorf("got %d recipients, want 21", len(as))
	}
	for _, a := range as {
		if besides[a] {
			t.Errorf("%s gets the heartbeat twice", a)
		}
	}
}

// In the largest fleet that is planned a heartbeat reaches one peer in 15. The front that
// begins a stream and another one that resumes it still agree on most of its keepers.
func TestFrontsAgreeOnNearestPeers(t *testing.T) {
	const (
		n        = 370
		interval = 250 * time.Millisecond
		rounds   = 80
	)
	r := rand.New(rand.NewPCG(1, 2))
	names, ps := make([]string, n), make([]*peers.Table, n)
	index := map[string]int{}
	for i := range n {
		names[i] = fmt.Sprintf("192.0.2.%d:%d", i%250, i)
		index[names[i]] = i
		ps[i] = peers.New(names[i], 0, nil)
	}
	for i, p := range ps {
		for j := range 24 {
			p.Observe(0, peers.Heartbeat{Peer: names[(i+j+1)%n], Sequence: 1})
		}
	}
	for round := range rounds {
		now := time.Duration(round) * interval
		for i, p := range ps {
			b := peers.Heartbeat{Peer: names[i], Sequence: uint64(round + 2), Peers: p.Sample(now, r)}
			for _, to := range p.Recipients(r, nil, nil) {
				ps[index[to]].Observe(now, b)
			}
		}
	}
	const streams = 500
	now, found := rounds*interval, 0
	for range streams {
		a, b, id := r.IntN(n), r.IntN(n), r.Uint64()
		told := share.Nearest(id, ps[a].Serving(now), 4)
		if slices.ContainsFunc(share.Nearest(id, ps[b].Serving(now), 4), func(p string) bool { return slices.Contains(told, p) }) {
			found++
		}
	}
	if found < streams*95/100 {
		t.Errorf("%d of %d streams are found, want at least 95%%", found, streams)
	}
	t.Logf("%d of %d streams are found", found, streams)
}
