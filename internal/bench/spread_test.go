package bench_test

import (
	"testing"
	"time"

	"kingcupstand/internal/bench"
)

// inForce is the users' bound on the time until a change is in force everywhere.
const inForce = 8 * time.Second

// TestSpread holds the spread of a revision to the users' bound, at the sizes of
// today and of two years from now, with half of all syncs lost.
func TestSpread(t *testing.T) {
	for _, n := range []int{20, 100, 300, 1030} {
		for _, lost := range []float64{0, 0.5} {
			for seed := range uint64(5) {
				r := bench.Spread{Processes: n, Interval: 500 * time.Millisecond, Peers: 4, LossRate: lost}.Run(seed)
				if r.Time > inForce || r.Documents != n-1 {
					t.Errorf("%d processes, %.0f %% lost, seed %d: %+v", n, 100*lost, seed, r)
				}
				if seed == 0 {
					t.Logf("%d processes, %.0f %% lost: in force after %s, %d syncs", n, 100*lost, r.Time, r.Syncs)
				}
			}
		}
	}
}
