package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/retry"
	"kingcupstand/internal/prop"
)

// The pattern is a service that fails all its answers while callers' load changes:
// in no window do all fronts together repeat more than the terms allow.
func TestRepeatsStayWithinTheTermsInEveryWindow(t *testing.T) {
	terms := retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	prop.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "fronts")
		bs := make([]*retry.Budget, n)
		for i := range bs {
			bs[i] = retry.New(terms)
			bs[i].SetFronts(n)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(100, 1500).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			b := bs[rapid.IntRange(0, n-1).Draw(t, "front")]
			b.CountRequest(now, "s")
			requests = append(requests, now)
			if b.Take(now, "s") {
				repeats = append(repeats, now)
			}
		}
		for _, from := range repeats {
			q, r := 0, 0
			for _, at := range requests {
				// The requests of the window before it count if they are more.
				if at >= from-terms.Window && at <= from+terms.Window {
					q++
				}
			}
			for _, at := range repeats {
				if at >= from && at < from+terms.Window {
					r++
				}
			}
			if float64(r) > terms.Ratio*float64(q)+terms.Slack {
				t.Fatalf("%d repeats for %d requests from %v on", r, q, from)
			}
		}
	})
}

func TestUnspentBudgetAllowsRepeats(t *testing.T) {
	b := retry.New(retry.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	n := 0
	for b.Take(0, "s") {
		n++
	}
	if n != 8 {
		t.Errorf("%d repeats, want 8 of a slack of 10", n)
	}
	if !b.Take(11*time.Second, "s") {
		t.Error("nothing is left a window later")
	}
}
