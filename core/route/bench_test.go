package route_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"kingcupstand/core/gate"
	"kingcupstand/core/route"
)

// Size of the benchmarked fleet: the size expected in two years.
const (
	fleetTargets = 660
	fleetModels  = 11
)

// fleet returns a router that has a load report of every target.
func fleet() *route.Router {
	r := route.New("dc-1", "north", 1)
	var ts []route.Target
	for i := range fleetTargets {
		ts = append(ts, route.Target{
			Name: fmt.Sprintf("t%d", i), Peer: fmt.Sprintf("10.0.0.%d:1", i),
			Region: []string{"north", "south"}[i%2], DataCentre: fmt.Sprintf("dc-%d", i%5+1),
			Models: []string{fmt.Sprintf("m%d", i%fleetModels)},
		})
	}
	r.Apply(ts)
	for i, t := range ts {
		r.Report(time.Second, t.Name, gate.Load{
			Incarnation: 1, Uptime: time.Second, Batch: 16, Running: i % 17, RunningTokens: 100 * (i % 17),
			Tiers: []gate.TierLoad{{Rank: 1, Work: time.Duration(i) * time.Millisecond}, {Rank: 3, Work: time.Second}},
			Speed: gate.Speed{Prefill: 100 * time.Microsecond, Step: time.Duration(3+i%4) * time.Millisecond},
		})
	}
	return r
}

var requests = func() []route.Request {
	var qs []route.Request
	for i := range 1000 {
		qs = append(qs, route.Request{Model: fmt.Sprintf("m%d", i%fleetModels), Rank: 2, Prompt: 100 + i, Output: 50, Prefix: uint64(i%200 + 1)})
	}
	return qs
}()

// decide makes one routing decision and records the offer.
func decide(r *route.Router, i int) error {
	q := requests[i%len(requests)]
	now := time.Second + time.Duration(i)*time.Millisecond
	c, err := r.Choose(now, q, nil)
	if err == nil {
		r.Sent(now, c.Target.Name, q)
	}
	return err
}

// BenchmarkChoose measures one decision over 660 targets of 11 models.
func BenchmarkChoose(b *testing.B) {
	r := fleet()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		if err := decide(r, i); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

// TestChooseDoesNotAllocate checks that a decision makes no allocation once all
// prefixes of the requests are recorded.
func TestChooseDoesNotAllocate(t *testing.T) {
	r := fleet()
	i := 0
	for range 2000 {
		_ = decide(r, i)
		i++
	}
	n := testing.AllocsPerRun(1000, func() {
		_ = decide(r, i)
		i++
	})
	if n != 0 {
		t.Errorf("got %v allocations in a decision, want 0", n)
	}
}

// heap returns the bytes in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the bytes that a router holds for each target and for
// each recorded prefix.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		r := fleet()
		targets := heap()
		const n = 8192
		for i := range n {
			r.Sent(time.Second, "t1", route.Request{Prompt: 1, Prefix: uint64(i + 1), PrefixTokens: 1})
		}
		after := heap()
		b.ReportMetric(float64(targets-before)/fleetTargets, "B/target")
		b.ReportMetric(float64(after-targets)/n, "B/prefix")
		runtime.KeepAlive(r)
	}
}
