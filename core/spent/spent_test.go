package spent_test

import (
	"testing"
	"time"

	"kingcupstand/core/spent"
)

func TestEstimate(t *testing.T) {
	e := spent.New()
	for _, c := range []struct {
		name string
		now  time.Duration
		wait time.Duration
		want time.Duration
	}{
		{"first attempt", 0, 12 * time.Second, 0},
		{"first attempt with a shorter limit", time.Second, 10500 * time.Millisecond, 0},
		{"later attempt", 2 * time.Second, 8 * time.Second, 4 * time.Second},
		{"unknown wait", 3 * time.Second, 0, 0},
		{"longest wait is still kept", 15 * time.Second, 8 * time.Second, 4 * time.Second},
		{"callers lowered their limit long before", 40 * time.Second, 8 * time.Second, 0},
	} {
		if got := e.Estimate(c.now, "route", c.wait, false); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if got := e.Estimate(0, "other", 3*time.Second, false); got != 0 {
		t.Errorf("first attempt on another route: got %v, want 0", got)
	}
}

// The time limit is known once enough requests were seen that may be first attempts. It is
// longer than all waits, as first attempts differ.
func TestLimit(t *testing.T) {
	e := spent.New()
	for range 100 {
		e.Estimate(0, "route", 9*time.Second, true)
	}
	for i := range 16 {
		if d, ok := e.Limit("route"); ok {
			t.Errorf("after %d requests: got %v, want none", i, d)
		}
		e.Estimate(0, "route", time.Duration(10000+i)*time.Millisecond, false)
	}
	if d, ok := e.Limit("route"); !ok || d < 11900*time.Millisecond || d > 12*time.Second {
		t.Errorf("got %v, %v, want about 11.9s", d, ok)
	}
	if d, ok := e.Limit("other"); ok {
		t.Errorf("another route: got %v", d)
	}
}
