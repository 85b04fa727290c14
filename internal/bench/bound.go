package bench

import (
	"slices"
	"time"
)

// boundInterval is the time resolution of the bound. Arrivals are rounded down and
// deadlines rounded up to a multiple of it, which can only raise the bound.
const boundInterval = 500 * time.Millisecond

// Bound returns a weighted goodput, from 0 to 1, that no schedule can exceed, not even
// one that knows all arrivals in advance. It relaxes the problem: the engines are
// pooled, requests may be divided arbitrarily, and every shared prefix is cached. The
// bound is computed for prompt tokens and for output tokens alone, and the lower of the
// two is returned.
func (s Scenario) Bound(seed uint64) float64 {
	rs := s.requests(seed)
	prompt := s.bound(rs, func(r *request) float64 { return float64(r.prompt - r.shared) }, func(e engineSpec) float64 { return float64(e.prefill) })
	output := s.bound(rs, func(r *request) float64 { return float64(r.output) }, func(e engineSpec) float64 { return float64(e.batch) })
	return min(prompt, output)
}

// bound solves the relaxed problem for one resource. The feasible amounts form a
// polymatroid (the work between two times is at most the capacity between them), for
// which the greedy order by weight per size is optimal.
func (s Scenario) bound(rs []*request, size func(*request) float64, perStep func(engineSpec) float64) float64 {
	capacity := 0.0
	for _, e := range s.Deployment.Engines {
		capacity += perStep(e) * float64(boundInterval) / float64(e.step)
	}
	n := int((s.length+time.Minute)/boundInterval) + 2
	f := newSlackTable(n, capacity)
	weight := func(r *request) float64 {
		if r.weight > 0 {
			return r.weight
		}
		return s.Deployment.Tiers[r.rank-1].weight
	}
	order := slices.Clone(rs)
	slices.SortStableFunc(order, func(a, b *request) int {
		x, y := weight(a)/size(a), weight(b)/size(b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	var all, got float64
	for _, r := range order {
		all += weight(r)
		got += weight(r) * f.reserve(int(r.at/boundInterval), int(r.deadline/boundInterval)+1, size(r)) / size(r)
	}
	return ratio(got, all)
}

// slackTable holds for each pair of interval boundaries a < b the capacity between them
// that is not reserved by requests which must be served between them.
type slackTable struct {
	n     int
	slack []float64
}

func newSlackTable(n int, capacity float64) *slackTable {
	f := &slackTable{n: n, slack: make([]float64, n*n)}
	for a := range n {
		for b := a; b < n; b++ {
			f.slack[a*n+b] = float64(b-a) * capacity
		}
	}
	return f
}

// reserve reserves as much of w as is feasible between the interval boundaries from and to
// and returns the amount.
func (f *slackTable) reserve(from, to int, w float64) float64 {
	to = min(to, f.n-1)
	for a := range from + 1 {
		for _, v := range f.slack[a*f.n+to : (a+1)*f.n] {
			w = min(w, v)
		}
	}
	if w <= 0 {
		return 0
	}
	for a := range from + 1 {
		row := f.slack[a*f.n+to : (a+1)*f.n]
		for i := range row {
			row[i] -= w
		}
	}
	return w
}

// PrefixHitBound returns the largest fraction of the shareable prompt tokens that can be found
// cached: all but those of the first request of each prefix, if nothing is ever evicted.
func (s Scenario) PrefixHitBound(seed uint64) float64 {
	seen := make(map[uint64]bool)
	var all, first float64
	for _, r := range s.requests(seed) {
		all += float64(r.shared)
		if !seen[r.prefix] {
			first += float64(r.shared)
		}
		seen[r.prefix] = true
	}
	return 1 - ratio(first, all)
}
