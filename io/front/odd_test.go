package front

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"kingcupstand/core/limit"
	"kingcupstand/core/origin"
	"kingcupstand/internal/prop"
	"kingcupstand/io/actor"
	"kingcupstand/io/gossip"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// datagram is the largest UDP payload in bytes.
const datagram = 65507

// Guards against fronts that lose each other: whatever a front has accepted from the operator, targets
// and callers, its peers accept the heartbeat that follows.
func TestPropertyPeersAcceptHeartbeats(t *testing.T) {
	amounts := []float64{0, 1, 5e9, 1e19, 1e300, math.MaxFloat64, -1, math.Inf(1), math.NaN()}
	lengths := []int{0, 1, 199, 200, 201, 5000}
	prop.Check(t, func(r *rapid.T) {
		f := sharingFront(t, rapid.Bool().Draw(r, "shares"))
		d := &spec.Plan{Revision: 2, Services: []*spec.PlanService{{Name: "llm", Engine: &spec.PlanEngine{}}}}
		for i := range rapid.IntRange(0, 5).Draw(r, "workspaces") {
			d.Workspaces = append(d.Workspaces, &spec.PlanWorkspace{
				Name: fmt.Sprint("w", i), Rate: rapid.SampledFrom(amounts).Draw(r, "rate"), Burst: rapid.SampledFrom(amounts).Draw(r, "burst"),
			})
		}
		f.SetPlan(d)
		l := &spec.Directory{Revision: 5}
		for i := range rapid.IntRange(0, 10).Draw(r, "targets") {
			e := listedTarget(i+1, letters(rapid.SampledFrom(lengths).Draw(r, "version")))
			e.Slots = rapid.SampledFrom([]uint32{0, 1, 8, 1 << 16, math.MaxUint32}).Draw(r, "slots")
			e.Id += letters(rapid.SampledFrom(lengths).Draw(r, "id"))
			l.Replicas = append(l.Replicas, e)
		}
		f.ReplaceTargets(l)
		prompt := float64(rapid.SampledFrom([]int{0, 1 << 31, 1 << 40}).Draw(r, "prompt"))
		requests, limited := rapid.IntRange(0, 3).Draw(r, "requests"), rapid.Bool().Draw(r, "limited")
		b := actor.Ask(f.loop, func(now time.Duration, s *state) []byte {
			for _, w := range d.Workspaces {
				s.quota.Take(now, w.Name, prompt)
			}
			for _, e := range s.pool.Targets("llm") {
				for range requests {
					s.pool.Begin(now, e.ID, int(prompt))
				}
				if e.Version != "" {
					s.origins.Add(now, origin.ID(e.ID), origin.Origin{Service: e.Service, Version: e.Version})
				}
				s.pool.ObserveLimit(now, now, e.ID, limit.Rate{Named: limited, PerSecond: 1e9})
			}
			m := f.heartbeat(now, s)
			for _, v := range s.origins.Unreported() {
				m.Streams = addStream(m.Streams, v)
			}
			b, err := proto.Marshal(m)
			if err != nil {
				t.Error(err)
			}
			return b
		})
		f.loop.Stop()
		if _, err := gossip.Parse(b); err != nil || len(b) > datagram {
			r.Fatalf("a heartbeat of %d bytes is refused: %v", len(b), err)
		}
	})
}

func letters(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'v'
	}
	return string(b)
}

// Guards against a long time that peers take for a short one: a stream of a route with a timeout of 49 days
// would count as begun a moment ago, and go on at a version that didn't begin it.
func TestTimesInMessagesDoNotWrap(t *testing.T) {
	for d, want := range map[time.Duration]uint32{
		-time.Second: 0, 0: 0, 1500 * time.Microsecond: 1, math.MaxUint32 * time.Millisecond: math.MaxUint32,
		(math.MaxUint32 + 1001) * time.Millisecond: math.MaxUint32, math.MaxInt64: math.MaxUint32,
	} {
		if got := milliseconds(d); got != want {
			t.Errorf("%v: got %d ms, want %d", d, got, want)
		}
	}
}

// Guards against fronts that follow nothing any more after a plan or a peer's list with the largest revision:
// none is later.
func TestLargestRevisionEndsNoChanges(t *testing.T) {
	f := sharingFront(t, false)
	f.ReplaceTargets(&spec.Directory{Revision: 1, Complete: 1, Replicas: []*spec.Replica{listedTarget(1, "v1")}})
	for _, d := range []*spec.Directory{
		{Revision: math.MaxUint64, Complete: math.MaxUint64},
		{Revision: 2, Complete: math.MaxUint64},
		{Revision: 3, Complete: 3, Era: math.MaxUint64},
	} {
		b, err := proto.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		f.acceptDirectory("192.0.2.2:1", &wire.FetchReply{Directory: b})
	}
	f.PutTarget(2, listedTarget(2, "v1"))
	if ids := usable(f); len(ids) != 2 {
		t.Errorf("the front uses %v, want i-1 and i-2", ids)
	}
	later, err := proto.Marshal(&spec.Directory{Revision: 9, Complete: 9, Replicas: []*spec.Replica{listedTarget(3, "v1")}})
	if err != nil {
		t.Fatal(err)
	}
	f.acceptDirectory("192.0.2.2:1", &wire.FetchReply{Directory: later})
	if ids := usable(f); len(ids) != 1 || ids[0] != "i-3" {
		t.Errorf("the front uses %v, want i-3 of a peer's later list", ids)
	}
	for _, r := range []uint64{math.MaxUint64, 7} {
		f.SetPlan(&spec.Plan{Revision: r})
	}
	if r := f.plan.Load().Revision(); r != 7 {
		t.Errorf("plan %d is in force, want 7", r)
	}
}
