package queue

import (
	"math"
	"time"

	"kingcupstand/core/heap"
)

// Time constants with which the counts of requests decay.
const (
	// rateTimeConstant is about the length of a burst, which lasts a few seconds.
	rateTimeConstant = 4 * time.Second
	// fairnessTimeConstant is that of the counts by which the least served shares are
	// enforced. It is longer than a burst, so that long requests can give way for the whole
	// of it and be made up for in the lull that follows.
	fairnessTimeConstant = 20 * time.Second
)

// minLongShare is the least served share of the long requests of a class, relative to that
// of the short ones. The longest are the likeliest not to end in time, so that a smaller
// share would leave the longest tenth served less than half as often as the whole class.
const minLongShare = 1.0

type classKey struct {
	tierRank, routeRank int
	pin                 string
}

// class holds the requests of one tier rank, route rank and pin.
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

func (c *class[T]) len() int { return c.short.len() + c.long.len() }

// recent and past return the counts of the class's requests.
func (c *class[T]) recent(now time.Duration) served {
	return c.short.recent.get(now).plus(c.long.recent.get(now))
}

func (c *class[T]) past(now time.Duration) served {
	return c.short.past.get(now).plus(c.long.past.get(now))
}

// heads returns the first requests of the lanes in the order in which they are served: those
// of workspaces within their share, then the others.
func (c *class[T]) heads(now time.Duration) []*Handle[T] {
	return append(c.first(now, c.short.within, c.long.within), c.first(now, c.short.over, c.long.over)...)
}

// first returns the first short and the first long request in the order in which they are
// served: the short one comes first, unless the long ones would be served less than
// minLongShare allows, or only it can still meet its goal, or its workspace is less over its
// share.
func (c *class[T]) first(now time.Duration, short, long *heap.Heap[*Handle[T]]) []*Handle[T] {
	a, okA := short.Peek()
	b, okB := long.Peek()
	switch {
	case !okA && !okB:
		return nil
	case !okA:
		return []*Handle[T]{b}
	case !okB:
		return []*Handle[T]{a}
	}
	longFirst := c.long.past.get(now).share() < minLongShare*c.short.past.get(now).share()
	switch {
	case a.key.Late != b.key.Late:
		longFirst = a.key.Late
	case a.key.Step != b.key.Step:
		longFirst = a.key.Step > b.key.Step
	}
	if longFirst {
		return []*Handle[T]{b, a}
	}
	return []*Handle[T]{a, b}
}

// lane holds the requests of one class that are of similar length.
type lane[T any] struct {
	// within holds the requests of workspaces within their share, and over the others.
	within, over *heap.Heap[*Handle[T]]
	// recent and past count the requests with rateTimeConstant and fairnessTimeConstant.
	recent, past servedCount
}

func newLane[T any]() lane[T] {
	before := func(a, b *Handle[T]) bool { return a.key.before(b.key) }
	return lane[T]{
		within: heap.New(before),
		over:   heap.New(before),
		recent: servedCount{timeConstant: rateTimeConstant},
		past:   servedCount{timeConstant: fairnessTimeConstant},
	}
}

// heap returns the heap of a request.
func (l *lane[T]) heap(k SortKey) *heap.Heap[*Handle[T]] {
	if k.OverShare {
		return l.over
	}
	return l.within
}

func (l *lane[T]) len() int { return l.within.Len() + l.over.Len() }

// each calls f for every request, in no particular order.
func (l *lane[T]) each(f func(*Handle[T])) {
	l.within.Each(f)
	l.over.Each(f)
}

// push adds a request.
func (l *lane[T]) push(now time.Duration, h *Handle[T]) {
	l.recent.add(now, served{pushed: 1})
	l.past.add(now, served{pushed: 1})
	h.node = l.heap(h.key).Push(h)
}

// pop removes a request to serve it.
func (l *lane[T]) pop(now time.Duration, h *Handle[T]) {
	l.recent.add(now, served{popped: 1})
	l.past.add(now, served{popped: 1})
	l.heap(h.key).Remove(h.node)
}

// ahead returns the number of requests that come before k.
func (l *lane[T]) ahead(k SortKey) int {
	n := 0
	l.each(func(h *Handle[T]) {
		if h.key.before(k) {
			n++
		}
	})
	return n
}

// served holds numbers of requests.
type served struct{ pushed, popped float64 }

func (s served) plus(o served) served { return served{s.pushed + o.pushed, s.popped + o.popped} }

// share returns the served share: the part of the requests that were popped.
func (s served) share() float64 { return s.popped / max(1, s.pushed) }

// servedCount counts requests with exponential decay. Divided by the time constant, the
// counts are recent rates.
type servedCount struct {
	timeConstant time.Duration
	value        served
	updated      time.Duration
}

func (c *servedCount) get(now time.Duration) served {
	f := math.Exp(-float64(now-c.updated) / float64(c.timeConstant))
	return served{f * c.value.pushed, f * c.value.popped}
}

func (c *servedCount) add(now time.Duration, s served) {
	c.value, c.updated = c.get(now).plus(s), now
}
