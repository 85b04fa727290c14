package bench

import (
	"math/rand/v2"
	"time"
)

// Spread is how a revision gets from one process to all others.
type Spread struct {
	// Processes is the size of the fleet.
	Processes int
	// Interval is the time between a process's syncs, Peers how many it asks.
	Interval time.Duration
	Peers    int
	// LossRate is the part of syncs that fail.
	LossRate float64
}

// SpreadResult is what it took.
type SpreadResult struct {
	// Time is from the first process's revision until the last one's.
	Time time.Duration
	// Syncs and Documents count the messages in that time.
	Syncs, Documents int
}

// Run lets one process learn a revision and the others hear of it by syncs only,
// as when the service is down for them. Each process begins at a time of its own.
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
