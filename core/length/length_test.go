package length_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"kingcupstand/core/length"
)

// Hints that are right only at the median, as callers send them, still tell long responses
// from short ones: the estimate is within a factor of two for most requests.
func TestNoisyHints(t *testing.T) {
	const tokensPerEvent, spread = 3.0, 0.5
	r := rand.New(rand.NewPCG(1, 2))
	e := length.New()
	near, all := 0, 0
	for i := range 2000 {
		events := 1 + int(60*math.Exp(r.NormFloat64()))
		hint := 1 + int(float64(events)*tokensPerEvent*math.Exp(spread*r.NormFloat64()))
		if got := e.Expect("route", hint); i > 200 {
			all++
			if f := got / float64(events); f > 0.5 && f < 2 {
				near++
			}
		}
		e.Observe("route", hint, events)
	}
	if near < all*8/10 {
		t.Errorf("%d of %d estimates are within a factor of two, want at least 80%%", near, all)
	}
}

func TestWithoutHint(t *testing.T) {
	e := length.New()
	if n := e.Expect("route", 0); n != 0 {
		t.Errorf("got %v events before any response, want 0", n)
	}
	if n := e.Expect("route", 400); n <= 0 || n >= 400 {
		t.Errorf("got %v events for a hint of 400 tokens, want more than 0 and less than 400", n)
	}
	for range 10 {
		e.Observe("route", 0, 20)
	}
	if n := e.Expect("route", 0); math.Abs(n-20) > 1e-9 {
		t.Errorf("got %v events, want the mean of 20", n)
	}
}
