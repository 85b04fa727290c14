package bench

import (
	"time"

	"kingcupstand/core/heap"
)

// timer is a function to be called at a time. Timers of the same time are called in the
// order of seq.
type timer struct {
	at  time.Duration
	seq int
	do  func()
}

// clock is a discrete-event simulation clock. Events of the same time are run in the
// order in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    int
	timers *heap.Heap[timer]
}

func newClock() *clock {
	return &clock{timers: heap.New(func(a, b timer) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.seq < b.seq
	})}
}

// after schedules f to be called d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	c.timers.Push(timer{at: c.now + d, seq: c.seq, do: f})
}

// run calls all timers that are due up to end, in order, and advances the time.
func (c *clock) run(end time.Duration) {
	for {
		t, ok := c.timers.Peek()
		if !ok || t.at > end {
			return
		}
		c.timers.Pop()
		c.now = t.at
		t.do()
	}
}
