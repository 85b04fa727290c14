package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/retry"
	"kingcupstand/internal/prop"
)

// A service fails every request while the load changes. In no window may the retries of
// all fronts together exceed the bound.
func TestRetriesStayWithinBoundInEveryWindow(t *testing.T) {
	limits := retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	prop.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "fronts")
		bs := make([]*retry.Budget, n)
		for i := range bs {
			bs[i] = retry.New(limits)
			bs[i].SetFronts(n)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(100, 1500).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			b := bs[rapid.IntRange(0, n-1).Draw(t, "front")]
			b.CountRequest(now, "s")
			requests = append(requests, now)
			if b.Take(now, "s") {
				retries = append(retries, now)
			}
		}
		for _, from := range retries {
			q, r := 0, 0
			for _, at := range requests {
				// Requests of the window before count too, as retries may be due to them.
				if at >= from-limits.Window && at <= from+limits.Window {
					q++
				}
			}
			for _, at := range retries {
				if at >= from && at < from+limits.Window {
					r++
				}
			}
			if float64(r) > limits.Ratio*float64(q)+limits.Slack {
				t.Fatalf("got %d retries for %d requests from %v on, which exceeds the bound", r, q, from)
			}
		}
	})
}

func TestUnspentBudgetAllowsRetries(t *testing.T) {
	b := retry.New(retry.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	n := 0
	for b.Take(0, "s") {
		n++
	}
	if n != 8 {
		t.Errorf("got %d retries, want 8 of a slack of 10", n)
	}
	if !b.Take(11*time.Second, "s") {
		t.Error("no retry is left one window later")
	}
}
