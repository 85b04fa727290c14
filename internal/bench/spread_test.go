package bench_test

import (
	"testing"
	"time"

	"kingcupstand/internal/bench"
)

// maxSpread is the users' limit for the time until a change has taken effect in all
// processes.
const maxSpread = 8 * time.Second

// TestSpreadTime compares the time that a revision takes to spread with the users' limit,
// for the fleet sizes of today and of two years from now, with no and with half of the
// syncs lost.
func TestSpreadTime(t *testing.T) {
	for _, n := range []int{20, 100, 300, 1030} {
		for _, lost := range []float64{0, 0.5} {
			for seed := range uint64(5) {
				r := bench.Spread{Processes: n, Interval: 500 * time.Millisecond, Peers: 4, LossRate: lost}.Run(seed)
				if r.Time > maxSpread || r.Documents != n-1 {
					t.Errorf("%d processes, %.0f %% of syncs lost, seed %d: got %+v", n, 100*lost, seed, r)
				}
				if seed == 0 {
					t.Logf("%d processes, %.0f %% of syncs lost: in effect after %s, %d syncs", n, 100*lost, r.Time, r.Syncs)
				}
			}
		}
	}
}
