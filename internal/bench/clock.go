package bench

import (
	"time"

	"kingcupstand/core/heap"
)

// timer is something that happens at a time.
type timer struct {
	at  time.Duration
	seq int
	do  func()
}

// clock is virtual time. What happens at one time happens in the order in which
// it was planned.
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

// after plans f.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	c.timers.Push(timer{at: c.now + d, seq: c.seq, do: f})
}

// run lets time pass until the end.
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
