package bench_test

import (
	"testing"

	"kingcupstand/internal/bench"
)

// Bounds of the users' rules on who is served.
const (
	// starved is the part of all callers' served part below which a kind is starved.
	starved = 0.25
	// urgency is by how much a kind may be served less often than a less urgent one.
	urgency = 0.05
	// largest is the part of its kind's served part that the largest tenth gets.
	largest = 0.5
	// spared is the part of callers that may be refused while a third of the slots is
	// free: hardly any, as if one line stood before all of them.
	spared = 0.001
	// nearly is the part that fronts earn of what one front would.
	nearly = 0.95
)

// TestRushes plays each load pattern: fronts earn more than the baselines, never
// more than is possible, and nobody is starved.
func TestRushes(t *testing.T) {
	for _, r := range bench.Patterns() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			o := bench.RunPattern(r, bench.Fronts, seed)
			for _, p := range []bench.Policy{bench.RoundRobin, bench.LeastLoad} {
				if b := bench.RunPattern(r, p, seed); o.Worth <= b.Worth {
					t.Errorf("worth %.3f, %s earns %.3f", o.Worth, p, b.Worth)
				}
			}
			if b := r.Bound(seed); o.Worth > b {
				t.Errorf("worth %.3f is above the bound of %.3f", o.Worth, b)
			}
			if r.Name == "calm" && o.Refused > spared {
				t.Errorf("refused %.4f of the callers, with %.2f of the slots free", o.Refused, o.IdleSlots)
			}
			for i, v := range o.Served {
				if v < starved*o.AllServed {
					t.Errorf("kind %d is served %.3f, all are served %.3f", i, v, o.AllServed)
				}
				if i > 0 && v > o.Served[i-1]+urgency {
					t.Errorf("kind %d is served %.3f, the more urgent one %.3f", i, v, o.Served[i-1])
				}
				if o.LargestServed[i] < largest*v {
					t.Errorf("the largest of kind %d are served %.3f, all of it %.3f", i, o.LargestServed[i], v)
				}
			}
		})
	}
}

// TestDivisionHelpsInOverload compares with the fronts of before slots were divided
// among them, where that is meant to help: in a long overload, also if one front has
// half of the callers.
func TestDivisionHelpsInOverload(t *testing.T) {
	for _, r := range bench.Patterns() {
		if r.Name != "long-overload" && r.Name != "uneven-connections" {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			if o, b := bench.RunPattern(r, bench.Fronts, seed), bench.RunPattern(r, bench.Unassigned, seed); o.Worth <= b.Worth {
				t.Errorf("worth %.3f, undivided %.3f", o.Worth, b.Worth)
			}
		})
	}
}

// TestRushDeterministic plays a pattern twice.
func TestRushDeterministic(t *testing.T) {
	r := bench.Patterns()[1]
	if a, b := bench.RunPattern(r, bench.Fronts, seed), bench.RunPattern(r, bench.Fronts, seed); a.Worth != b.Worth || a.Refused != b.Refused {
		t.Errorf("got %+v, then %+v", a, b)
	}
}

// TestFrontsComeNearToOneLine compares with a single front that sees all callers, as
// slots are meant to be used as if one line stood before them.
func TestFrontsComeNearToOneLine(t *testing.T) {
	for _, r := range bench.Patterns() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			one, many := bench.RunPattern(r.WithFronts(1), bench.Unassigned, seed), bench.RunPattern(r, bench.Fronts, seed)
			t.Logf("one front %.3f, all %.3f", one.Worth, many.Worth)
			if many.Worth < nearly*one.Worth {
				t.Errorf("worth %.3f, one front would earn %.3f", many.Worth, one.Worth)
			}
		})
	}
}
