package gate

import (
	"testing"
	"time"
)

// TestUnstreamedPrefillEndsAtPredictedTime checks that a second prompt is
// dispatched while the first response is still being generated. An unstreamed
// response shows no first token, so the end of its prefill must be predicted;
// otherwise the second prompt would wait for the whole response.
func TestUnstreamedPrefillEndsAtPredictedTime(t *testing.T) {
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
		t.Errorf("got %d requests running during the first prefill, want 1", n)
	}
	g.Step(150*time.Millisecond, Tick{})
	if n := len(g.slots); n != 2 {
		t.Errorf("got %d requests running after the predicted prefill time, want 2", n)
	}
}
