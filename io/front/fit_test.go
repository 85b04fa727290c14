package front

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kingcupstand/core/origin"
	"kingcupstand/core/peers"
	"kingcupstand/io/gossip"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// Guards against a front that its peers lose, as its heartbeats are longer than a datagram: it has requests at
// thousands of targets. The busiest targets are in the heartbeat.
func TestHeartbeatsAboutManyTargetsArrive(t *testing.T) {
	f := sharingFront(t, false)
	got := listenAsPeers(t, f, 1)
	var err error
	if f.gossip, err = gossip.New("127.0.0.1:0", f.telem.Log); err != nil {
		t.Fatal(err)
	}
	defer f.gossip.Close()
	l := &spec.Directory{Revision: 1}
	for i := range 9000 {
		l.Replicas = append(l.Replicas, listedTarget(i+1, "v1"))
	}
	f.ReplaceTargets(l)
	for a, beats := range got {
		receive := func(done func(*wire.Beat) bool) {
			for {
				select {
				case m := <-beats:
					if done(m) {
						return
					}
				case <-time.After(5 * time.Second):
					t.Fatal("nothing arrives")
				}
			}
		}
		f.loop.Post(func(now time.Duration, s *state) {
			s.peers.Observe(now, peers.Heartbeat{Peer: a, Incarnation: 1, Sequence: 1})
			for _, e := range s.pool.Targets("llm") {
				s.pool.Begin(now, e.ID, 1<<30)
			}
			s.pool.Begin(now, "i-77", 1)
			for i := range uint64(2000) {
				s.origins.Add(now, i, origin.Origin{Service: "llm", Version: fmt.Sprint("v", i%2)})
			}
			f.sendDue(now+time.Second, s, nil, 2)
		})
		var uses []*wire.TargetUse
		streams := 0
		receive(func(m *wire.Beat) bool {
			if !m.StreamsOnly {
				uses = m.Uses
			}
			for _, o := range m.Streams {
				streams += len(o.Streams)
			}
			return uses != nil && streams == 2000
		})
		busiest := slices.MaxFunc(uses, func(a, b *wire.TargetUse) int { return int(a.Running) - int(b.Running) })
		if len(uses) < 3000 || busiest.Running != 2 {
			t.Errorf("got %d targets, up to %d requests at one", len(uses), busiest.Running)
		}
		f.loop.Post(func(_ time.Duration, s *state) {
			f.sendReport(s, origin.Report{Origin: origin.Origin{Service: "llm", Version: "v1"}, Streams: make([]uint64, 10000), All: true, To: []string{a}})
		})
		complete := 0
		streams = 0
		receive(func(m *wire.Beat) bool {
			if m.AllStreams {
				complete++
			}
			streams += len(m.Streams[0].Streams)
			return streams == 10000
		})
		if complete != 1 {
			t.Errorf("got %d complete reports, want one and its rest", complete)
		}
	}
}
