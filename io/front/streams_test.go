package front

import (
	"net"
	"testing"
	"time"

	"kingcupstand/core/origin"
	"kingcupstand/core/peers"
	"kingcupstand/io/actor"
	"kingcupstand/io/gossip"
	"kingcupstand/schema/wire"
)

// listenAsPeers opens the sockets of some fronts, and returns their addresses and what arrives at each.
func listenAsPeers(t *testing.T, f *Front, n int) map[string]chan *wire.Beat {
	t.Helper()
	got := map[string]chan *wire.Beat{}
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		b, err := gossip.New(a, f.telem.Log)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = b.Close() })
		c := make(chan *wire.Beat, 100)
		got[a] = c
		go b.Run(func(m *wire.Beat) { c <- m })
	}
	return got
}

// In a large fleet each keeper of streams gets a message with those that it keeps. Complete heartbeats
// to all keepers would take more bytes than the heartbeats that are due.
func TestKeepersOfALargeFleetGetTheirStreams(t *testing.T) {
	const streams = 20
	f := sharingFront(t, false)
	got := listenAsPeers(t, f, 6)
	var err error
	if f.gossip, err = gossip.New("127.0.0.1:0", f.telem.Log); err != nil {
		t.Fatal(err)
	}
	defer f.gossip.Close()
	sent := actor.Ask(f.loop, func(now time.Duration, s *state) map[string][]*wire.StreamOrigin {
		for a := range got {
			s.peers.Observe(now, peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: 1})
		}
		for i := range uint64(streams) {
			s.origins.Add(now, i+1, origin.Origin{Service: "llm", Version: "v1"})
		}
		ms := f.reportOrigins(now, s)
		f.sendStreams(s, ms, []string{"127.0.0.1:1"})
		return ms
	})
	copies := map[uint64]int{}
	for a := range sent {
		select {
		case m := <-got[a]:
			if !m.StreamsOnly || len(m.Streams) != 1 || len(m.Peers)+len(m.Uses)+len(m.Workspaces) > 0 {
				t.Errorf("%s got %v, want streams of one origin alone", a, m)
			}
			for _, id := range m.Streams[0].Streams {
				copies[id]++
			}
		case <-time.After(2 * time.Second):
			t.Errorf("nothing arrived at %s", a)
		}
	}
	for id := range uint64(streams) {
		if n := copies[id+1]; n < keepers {
			t.Errorf("stream %d arrived at %d peers, want %d", id+1, n, keepers)
		}
	}
}

// A message with streams alone must not pass for the heartbeat of a front that has nothing in flight,
// nor keep the heartbeat with the same number from taking effect.
func TestStreamsOnlyIsNoHeartbeat(t *testing.T) {
	f := sharingFront(t, false)
	const peer = "192.0.2.9:7600"
	list := func(id uint64) []*wire.StreamOrigin {
		return []*wire.StreamOrigin{{Service: "llm", Version: "v1", Streams: []uint64{id}}}
	}
	f.receive(&wire.Beat{Peer: peer, Incarnation: 1, Sequence: 5, StreamsOnly: true, Streams: list(7)})
	if actor.Ask(f.loop, func(now time.Duration, s *state) bool { return s.peers.Alive(now, peer) }) {
		t.Error("the sender counts as live by a message that is no heartbeat")
	}
	f.receive(&wire.Beat{Peer: peer, Incarnation: 1, Sequence: 5, Streams: list(8)})
	known := actor.Ask(f.loop, func(now time.Duration, s *state) (n int) {
		for _, id := range []uint64{7, 8} {
			if _, ok := s.origins.Find(now, id); ok {
				n++
			}
		}
		return n
	})
	if known != 2 {
		t.Errorf("%d of 2 streams are known", known)
	}
}
