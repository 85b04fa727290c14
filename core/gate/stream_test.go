package gate

import (
	"testing"
	"time"
)

// TestNotStreamed dispatches a second prompt while the first one's answer, which
// shows no first token, is still being generated.
func TestNotStreamed(t *testing.T) {
	l := testLimits
	l.BatchTokens = 10_000
	g := New("t", testInc, l, terms{lowest: 3}, testSpeed)
	arrive := func(now time.Duration, c StreamID) {
		g.Step(now, Arrive{Offer: Offer{
			Stream: c, ID: testID(int(c)), Workspace: "w", Tier: "1", Budget: time.Hour, Prompt: 140, Output: 500, Idempotent: true,
		}})
	}
	arrive(0, 1)
	arrive(0, 2)
	if n := len(g.slots); n != 1 {
		t.Errorf("%d prompts at once", n)
	}
	g.Step(150*time.Millisecond, Tick{})
	if n := len(g.slots); n != 2 {
		t.Errorf("%d requests run once the first prompt must be computed, expected 2", n)
	}
}
