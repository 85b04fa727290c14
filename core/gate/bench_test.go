package gate

import (
	"runtime"
	"testing"
	"time"
)

// queuedJobs is the number of queued requests in the benchmarks.
const queuedJobs = 10_000

// fullGate returns a gate with queuedJobs queued requests and the next stream id.
func fullGate() (*Gate, StreamID) {
	l := Limits{Batch: 1, BatchTokens: 1000, Queue: 2 * queuedJobs, IDs: 1 << 30, IDLifetime: 2 * time.Hour, ShedHold: time.Second}
	g := New("t", testInc, l, terms{preemptible: true, lowest: 3}, Speed{Prefill: 1, Step: 1})
	for c := StreamID(1); c <= queuedJobs; c++ {
		g.Step(0, Arrive{Offer: longOffer(c)})
	}
	return g, queuedJobs + 1
}

func longOffer(c StreamID) Offer {
	return Offer{
		Stream: c, ID: testID(int(c)), Workspace: "w", Tier: string('1' + byte(c%3)),
		Budget: time.Hour + time.Duration(c*7919%1000)*time.Second, Prompt: 10, Output: 10, Idempotent: true,
	}
}

// BenchmarkQueue measures one arrival and one disconnect with 10,000 queued
// requests.
func BenchmarkQueue(b *testing.B) {
	g, c := fullGate()
	o := longOffer(c)
	b.ReportAllocs()
	for b.Loop() {
		g.Step(0, Arrive{Offer: o})
		g.Step(0, Disconnect{Stream: o.Stream})
	}
}

// BenchmarkTick measures a Tick with 10,000 queued requests.
func BenchmarkTick(b *testing.B) {
	g, _ := fullGate()
	for b.Loop() {
		g.Step(0, Tick{})
	}
}

// BenchmarkMemory reports the bytes held for each queued request, including its id,
// and for each id that is only recorded.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		g, _ := fullGate()
		full := heap()
		g.Step(0, Drain{})
		drained := heap()
		b.ReportMetric(float64(full-before)/queuedJobs, "B/queued")
		b.ReportMetric(float64(drained-before)/queuedJobs, "B/id")
		runtime.KeepAlive(g)
	}
}
