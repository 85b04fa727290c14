package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests in flight that are aborted so late that the time for their answers is
// over already.
func TestAbortLeavesTimeForAnswers(t *testing.T) {
	for _, g := range []time.Duration{320 * time.Millisecond, 640 * time.Millisecond, 1610 * time.Millisecond, 8 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := &Front{}
			f.inflight.Store(1)
			s := time.Now()
			end := s.Add(g - reserve(g, exitReserve) - reserve(g, answerReserve))
			f.drain(context.Background(), s.Add(g/2), end)
			if d := time.Since(end); d != 0 {
				t.Errorf("grace period of %v: requests are aborted %v late", g, d)
			}
			if l, want := g-time.Since(s), min(200*time.Millisecond, g/4); l < want {
				t.Errorf("grace period of %v: %v left for answers and exit, want %v", g, l, want)
			}
		})
	}
}
