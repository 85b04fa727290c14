package gate

import (
	"testing"
	"time"
)

// TestWaitTierRefusedOnlyWhenDeadlineUnreachable queues more work than fits before
// the deadline of a request that must wait. The request must be queued as long as
// it could still meet its deadline, and refused after that.
func TestWaitTierRefusedOnlyWhenDeadlineUnreachable(t *testing.T) {
	l := testLimits
	l.Batch = 1
	g := New("t", testInc, l, terms{wait: true, lowest: 3}, testSpeed)
	arrive := func(c StreamID, tier string, budget time.Duration) []Action {
		return g.Step(0, Arrive{Offer: Offer{
			Stream: c, ID: testID(int(c)), Workspace: "w", Tier: tier, Budget: budget, Prompt: 100, Idempotent: true,
		}})
	}
	for c := StreamID(1); c <= 4; c++ {
		arrive(c, "1", time.Hour)
	}
	if a := arrive(9, "3", 250*time.Millisecond); len(a) != 1 || a[0] != (Queued{Stream: 9}) {
		t.Errorf("got %v, want Queued for stream 9", a)
	}
	if a := g.Step(140*time.Millisecond, Tick{}); len(a) != 0 {
		t.Errorf("got %v while the deadline can be met, want no action", a)
	}
	a := g.Step(160*time.Millisecond, Tick{})
	if len(a) != 1 {
		t.Fatalf("got %v, want one refusal", a)
	}
	if r, ok := a[0].(Refuse); !ok || r.Stream != 9 || !r.Released {
		t.Errorf("got %v, want a refusal of stream 9 with Released", a[0])
	}
}
