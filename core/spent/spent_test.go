package spent_test

import (
	"testing"
	"time"

	"kingcupstand/core/spent"
)

func TestSpent(t *testing.T) {
	p := spent.New()
	for _, c := range []struct {
		name string
		now  time.Duration
		wait time.Duration
		want time.Duration
	}{
		{"first attempt", 0, 12 * time.Second, 0},
		{"first attempt with a shorter limit", time.Second, 10500 * time.Millisecond, 0},
		{"came back", 2 * time.Second, 8 * time.Second, 4 * time.Second},
		{"says nothing", 3 * time.Second, 0, 0},
		{"still remembered", 15 * time.Second, 8 * time.Second, 4 * time.Second},
		{"the limit has been lowered for long", 40 * time.Second, 8 * time.Second, 0},
	} {
		if got := p.Estimate(c.now, "route", c.wait); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if got := p.Estimate(0, "other", 3*time.Second); got != 0 {
		t.Errorf("another route: got %v", got)
	}
}
