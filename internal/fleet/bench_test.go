package fleet_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupstand/internal/fleet"
	"kingcupstand/schema/spec"
)

// Load of BenchmarkOverhead.
const (
	overheadInterval = 2 * time.Millisecond // 500 requests per second
	overheadCalls    = 2000
)

// BenchmarkOverhead compares the median time of a call to an engine that responds
// immediately with that of the same call through an entry and an agent, at 500 requests per
// second.
func BenchmarkOverhead(b *testing.B) {
	f, err := fleet.New(io.Discard, "error")
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}`)
	})
	u, err := f.Serve(h)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := f.StartAgent("engine-1", "dc-1", h, &spec.Target{Kind: "engine", Models: []string{"m"}, Batch: 64}); err != nil {
		b.Fatal(err)
	}
	e, err := f.StartEntry("entry-1", "dc-1")
	if err != nil {
		b.Fatal(err)
	}
	if err := f.Publish(testDocument(1)); err != nil {
		b.Fatal(err)
	}
	if err := f.WaitReady(b.Context()); err != nil {
		b.Fatal(err)
	}
	for timeCall(e.URL) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for b.Loop() {
		direct, through := medianTime(u), medianTime(e.URL)
		b.ReportMetric(float64(direct.Microseconds()), "direct-µs")
		b.ReportMetric(float64(through.Microseconds()), "through-µs")
		b.ReportMetric(float64((through - direct).Microseconds()), "added-µs")
	}
}

var overheadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// timeCall returns the duration of one call, or 0 if it fails.
func timeCall(base string) time.Duration {
	t := time.Now()
	q, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(chatBody("m", 100, "")))
	if err != nil {
		return 0
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	p, err := overheadClient.Do(q)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return 0
	}
	return time.Since(t)
}

// medianTime returns the median duration of calls that are sent at a fixed rate.
func medianTime(base string) time.Duration {
	times := make([]time.Duration, overheadCalls)
	var g sync.WaitGroup
	start := time.Now()
	for i := range times {
		time.Sleep(time.Until(start.Add(time.Duration(i) * overheadInterval)))
		g.Go(func() { times[i] = timeCall(base) })
	}
	g.Wait()
	slices.Sort(times)
	return times[len(times)/2]
}
