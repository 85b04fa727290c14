package bench

import (
	"math/rand/v2"
	"time"
)

// Spread simulates how a configuration revision propagates by gossip from one process to
// all others.
type Spread struct {
	// Processes is the number of processes.
	Processes int
	// Interval is the time between two rounds of a process; Peers is the number of peers
	// that it syncs with in a round.
	Interval time.Duration
	Peers    int
	// LossRate is the fraction of syncs that fail.
	LossRate float64
}

// SpreadResult is the result of a simulated propagation.
type SpreadResult struct {
	// Time is the time from the first process with the revision to the last.
	Time time.Duration
	// Syncs and Documents are the numbers of syncs and of transferred documents in that
	// time.
	Syncs, Documents int
}

// Run gives the revision to one process and lets the others receive it by syncs only, as
// when the configuration service is unreachable for them. The processes' rounds begin at
// random offsets within the interval.
func (s Spread) Run(seed uint64) SpreadResult {
	c := newClock()
	r := rand.New(rand.NewPCG(seed, 0))
	has := make([]bool, s.Processes)
	has[0] = true
	left := s.Processes - 1
	var out SpreadResult
	var sync func(i int)
	sync = func(i int) {
		for range s.Peers {
			j := r.IntN(s.Processes)
			if left == 0 || j == i || r.Float64() < s.LossRate {
				continue
			}
			out.Syncs++
			if has[i] != has[j] {
				has[i], has[j] = true, true
				left--
				out.Documents++
				out.Time = c.now
			}
		}
		if left > 0 {
			c.after(s.Interval, func() { sync(i) })
		}
	}
	for i := range s.Processes {
		c.after(time.Duration(r.Int64N(int64(s.Interval))), func() { sync(i) })
	}
	c.run(time.Hour)
	return out
}
