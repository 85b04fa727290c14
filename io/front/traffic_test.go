package front

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/wire"
)

// The sizes of the parts of a heartbeat add up to that of the whole, and name its lists.
func TestSizesOfAHeartbeatsParts(t *testing.T) {
	m := &wire.Beat{
		Peer: "192.0.2.1:7600", Incarnation: 1, Sequence: 2,
		Uses:      []*wire.TargetUse{{Target: 1, Running: 3}, {Target: 2, Running: 1}},
		Peers:     []string{"192.0.2.2:7600"},
		Sightings: &wire.Sightings{Peers: []uint32{1}, Beats: []uint32{2}, AgesMs: []uint32{3}},
	}
	names, sum := "", 0
	for _, s := range fieldSizes(m) {
		names += s.name + " "
		sum += s.bytes
		if s.bytes <= 0 {
			t.Errorf("%s takes %d bytes", s.name, s.bytes)
		}
	}
	if names != "sender uses peers sightings " || sum != proto.Size(m) {
		t.Errorf("got %swith %d bytes, want sender, uses, peers and sightings with %d", names, sum, proto.Size(m))
	}
	if ss := fieldSizes(nil); len(ss) > 0 {
		t.Errorf("got %v without a heartbeat", ss)
	}
	c := traffic{}
	c.count(m, 2, 1)
	c.count(&wire.Beat{Peer: m.Peer, StreamsOnly: true}, 0, 3)
	if c.sample != m || c.near != 2*sum || c.far <= sum {
		t.Errorf("got %d and %d bytes and the parts of %v, want those of the heartbeat", c.near, c.far, c.sample)
	}
}
