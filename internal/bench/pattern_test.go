package bench_test

import (
	"slices"
	"testing"

	"kingcupstand/internal/bench"
)

// Requirements of the users on fairness and efficiency.
const (
	// starvation is the least fraction served of a kind, relative to that of all callers.
	starvation = 0.25
	// urgencyMargin is by how much the fraction served of a kind may be below that of a
	// less urgent kind.
	urgencyMargin = 0.05
	// largestServed is the least fraction served of the largest tenth of a kind, relative
	// to that of the whole kind.
	largestServed = 0.5
	// calmRefused is the largest fraction of callers that may be refused in the pattern
	// "calm", where a third of the slots is idle: hardly any, as with a single queue for all
	// slots.
	calmRefused = 0.001
	// singleFrontWorth is the least worth of all fronts, relative to that of a single
	// front.
	singleFrontWorth = 0.95
)

// TestFrontsMeetRequirements runs each load pattern. The fronts must reach more worth than
// the baselines, not more than the bound, and starve no kind of request.
func TestFrontsMeetRequirements(t *testing.T) {
	for _, r := range bench.Patterns() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			o := bench.RunPattern(r, bench.Fronts, seed)
			for _, p := range []bench.Policy{bench.RoundRobin, bench.LeastLoad} {
				if b := bench.RunPattern(r, p, seed); o.Worth <= b.Worth {
					t.Errorf("worth %.3f, want more than that of %s, %.3f", o.Worth, p, b.Worth)
				}
			}
			if b := r.Bound(seed); o.Worth > b {
				t.Errorf("worth %.3f, want at most the bound %.3f", o.Worth, b)
			}
			if r.Name == "calm" && o.Refused > calmRefused {
				t.Errorf("refused %.4f of the callers while %.2f of the slots were idle", o.Refused, o.IdleSlots)
			}
			for i, v := range o.Served {
				if v < starvation*o.AllServed {
					t.Errorf("kind %d: fraction served %.3f, of all callers %.3f", i, v, o.AllServed)
				}
				if i > 0 && v > o.Served[i-1]+urgencyMargin {
					t.Errorf("kind %d: fraction served %.3f, of the more urgent kind %.3f", i, v, o.Served[i-1])
				}
				if o.LargestServed[i] < largestServed*v {
					t.Errorf("kind %d: fraction served of the largest %.3f, of the whole kind %.3f", i, o.LargestServed[i], v)
				}
			}
		})
	}
}

// TestAssignmentHelpsInOverload compares fronts with and without slot assignment where
// assignment is meant to help: in a long overload, also if one front has half of the
// callers.
func TestAssignmentHelpsInOverload(t *testing.T) {
	for _, r := range bench.Patterns() {
		if r.Name != "long-overload" && r.Name != "uneven-connections" {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			if o, b := bench.RunPattern(r, bench.Fronts, seed), bench.RunPattern(r, bench.Unassigned, seed); o.Worth <= b.Worth {
				t.Errorf("worth %.3f, want more than the %.3f without slot assignment", o.Worth, b.Worth)
			}
		})
	}
}

// TestPatternIsDeterministic checks that two runs with the same seed give the same
// results.
func TestPatternIsDeterministic(t *testing.T) {
	r := bench.Patterns()[1]
	if a, b := bench.RunPattern(r, bench.Fronts, seed), bench.RunPattern(r, bench.Fronts, seed); a.Worth != b.Worth || a.Refused != b.Refused {
		t.Errorf("first run %+v, second run %+v", a, b)
	}
}

// TestFrontsComeNearSingleFront compares many fronts with a single one that receives all
// callers, because many fronts must use slots almost as well as one queue for all.
func TestFrontsComeNearSingleFront(t *testing.T) {
	for _, r := range bench.Patterns() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			one, many := bench.RunPattern(r.WithFronts(1), bench.Unassigned, seed), bench.RunPattern(r, bench.Fronts, seed)
			t.Logf("worth with one front %.3f, with all %.3f", one.Worth, many.Worth)
			if many.Worth < singleFrontWorth*one.Worth {
				t.Errorf("worth %.3f, with one front %.3f", many.Worth, one.Worth)
			}
		})
	}
}

// TestClassesAreServedAsByOneQueue guards against a class of short requests that gets no slot while
// any front has requests of a more urgent class, though its weight in a single queue gives it one.
func TestClassesAreServedAsByOneQueue(t *testing.T) {
	ps := bench.Patterns()
	r := ps[slices.IndexFunc(ps, func(r bench.Pattern) bool { return r.Name == "waves-of-short-requests" })]
	one, many := bench.RunPattern(r.WithFronts(1), bench.Unassigned, seed), bench.RunPattern(r, bench.Fronts, seed)
	t.Logf("served with one front %.3f, with all %.3f; worth %.3f, %.3f", one.Served, many.Served, one.Worth, many.Worth)
	for i, v := range many.Served {
		if v < singleFrontWorth*one.Served[i] {
			t.Errorf("kind %d: fraction served %.3f, with one front %.3f", i, v, one.Served[i])
		}
	}
}
