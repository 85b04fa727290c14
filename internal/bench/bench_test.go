package bench_test

import (
	"testing"
	"time"

	"kingcupstand/internal/bench"
)

// Targets of the users, from which the bounds of these tests come.
const (
	topGoodput      = 0.99
	topUnderDeaths  = 0.97
	weightedOfBound = 0.90
	wastedPrefill   = 0.02
	othersLoss      = 0.02
	firstToken      = 760 * time.Millisecond
)

// seed of the runs that CI makes; the bench command tries more.
const seed = 1

// TestTargets holds the policy to the targets in every scenario.
func TestTargets(t *testing.T) {
	for _, s := range bench.Scenarios() {
		t.Run(s.Name+"-"+s.Deployment.Name, func(t *testing.T) {
			t.Parallel()
			r := bench.Run(s, bench.Managed, seed)
			kind := s.Name[0]
			least := topGoodput
			if kind == 'f' || kind == 'h' {
				least = topUnderDeaths
			}
			if r.TopGoodput < least {
				t.Errorf("top-tier goodput %.4f, target %.2f", r.TopGoodput, least)
			}
			if b := s.Bound(seed); r.WeightedGoodput < weightedOfBound*b {
				t.Errorf("weighted goodput %.4f, target %.2f of the bound %.4f", r.WeightedGoodput, weightedOfBound, b)
			}
			if kind <= 'e' && r.WastedPrefill > wastedPrefill {
				t.Errorf("wasted prefill %.4f, target %.2f", r.WastedPrefill, wastedPrefill)
			}
			if (kind == 'a' || kind == 'e') && r.FirstTokenP95 > firstToken {
				t.Errorf("first token %s for 95 in 100, target %s", r.FirstTokenP95, firstToken)
			}
			if kind == 'g' && r.OthersGoodput < 1-othersLoss {
				t.Errorf("goodput of workspaces within their share %.4f, target %.2f", r.OthersGoodput, 1-othersLoss)
			}
			if r.Inversions > 0 {
				t.Errorf("%d requests were shed while a lower tier ran", r.Inversions)
			}
		})
	}
}

// TestDeterministic plays a scenario twice.
func TestDeterministic(t *testing.T) {
	s := bench.Scenarios()[1]
	a, b := bench.Run(s, bench.Managed, seed), bench.Run(s, bench.Managed, seed)
	if a.WeightedGoodput != b.WeightedGoodput || a.WastedTokens != b.WastedTokens || a.FirstTokenP95 != b.FirstTokenP95 {
		t.Errorf("got %+v, then %+v", a, b)
	}
}
