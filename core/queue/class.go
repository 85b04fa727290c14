package queue

import (
	"math"
	"time"

	"kingcupstand/core/heap"
)

// rateTimeConstant is the time constant with which the counts of requests decay. It is
// about the length of a burst, which lasts a few seconds.
const rateTimeConstant = 4 * time.Second

// minLongShare is the least served share of the long requests of a class, relative to that
// of the short ones. It is above a half, because a class counts as unfair to its longest
// requests if they are served less than half as often as the whole class.
const minLongShare = 0.6

type item[T any] struct {
	key   SortKey
	value T
}

type classKey struct{ tierRank, routeRank int }

// class holds the requests of one tier rank and route rank.
type class[T any] struct {
	key classKey
	// short holds the requests that are expected to occupy their slot no longer than the
	// mean of the class, or whose hold time is unknown; long holds the others.
	short, long lane[T]
	// hold is the exponentially weighted average of the expected hold times; it is 0 while
	// none is known.
	hold time.Duration
}

func newClass[T any](k classKey) *class[T] {
	return &class[T]{key: k, short: newLane[T](), long: newLane[T]()}
}

// lane returns the lane of a request and includes its hold time in the average.
func (c *class[T]) lane(hold time.Duration) *lane[T] {
	if hold <= 0 {
		return &c.short
	}
	if c.hold == 0 {
		c.hold = hold
	}
	c.hold += time.Duration(holdTimeWeight * float64(hold-c.hold))
	if hold > c.hold {
		return &c.long
	}
	return &c.short
}

func (c *class[T]) len() int { return c.short.heap.Len() + c.long.heap.Len() }

// pushed and popped return the decayed counts of requests.
func (c *class[T]) pushed(now time.Duration) float64 {
	return c.short.pushed.get(now) + c.long.pushed.get(now)
}

func (c *class[T]) popped(now time.Duration) float64 {
	return c.short.popped.get(now) + c.long.popped.get(now)
}

// lanes returns the lanes in the order in which they are served: the short requests come
// first, unless the long ones would be served less than minLongShare allows, or only they
// can still meet their goal.
func (c *class[T]) lanes(now time.Duration) [2]*lane[T] {
	a, okA := c.short.heap.Peek()
	b, okB := c.long.heap.Peek()
	longFirst := c.long.share(now) < minLongShare*c.short.share(now)
	switch {
	case !okA || !okB:
		longFirst = okB
	case a.key.Late != b.key.Late:
		longFirst = a.key.Late
	}
	if longFirst {
		return [2]*lane[T]{&c.long, &c.short}
	}
	return [2]*lane[T]{&c.short, &c.long}
}

// lane holds the requests of one class that are of similar length.
type lane[T any] struct {
	heap   *heap.Heap[item[T]]
	pushed decayingCount
	popped decayingCount
}

func newLane[T any]() lane[T] {
	return lane[T]{heap: heap.New(func(a, b item[T]) bool { return a.key.before(b.key) })}
}

// share returns the served share: the part of the requests that were popped.
func (l *lane[T]) share(now time.Duration) float64 {
	return l.popped.get(now) / max(1, l.pushed.get(now))
}

// ahead returns the number of requests that come before k.
func (l *lane[T]) ahead(k SortKey) int {
	n := 0
	l.heap.Each(func(i item[T]) {
		if i.key.before(k) {
			n++
		}
	})
	return n
}

// decayingCount counts events with exponential decay. Divided by rateTimeConstant, the
// count is the recent rate of the events.
type decayingCount struct {
	value   float64
	updated time.Duration
}

func (c *decayingCount) get(now time.Duration) float64 {
	return c.value * math.Exp(-float64(now-c.updated)/float64(rateTimeConstant))
}

func (c *decayingCount) add(now time.Duration) { c.value, c.updated = c.get(now)+1, now }
