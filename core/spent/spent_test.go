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
		if got := e.Estimate(c.now, "route", c.wait); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if got := e.Estimate(0, "other", 3*time.Second); got != 0 {
		t.Errorf("first attempt on another route: got %v, want 0", got)
	}
}
