// Package queue provides the weighted fair queue in which the requests for one service
// wait at a front for a slot.
//
// # Usage
//
//	q := queue.New[*request]()
//	h := q.Push(now, queue.SortKey{TierRank: 1, RouteRank: 2, Arrived: now}, r)
//	if k, r, ok := q.Peek(now); ok && canSend(k) {
//		q.Pop(now)
//		send(r)
//	}
//	q.Remove(h)
//
// # Order
//
// Tiers have strict priority: a request is never popped while one of a higher tier,
// which has a smaller rank, is queued. Within a tier, the requests of each route rank
// form a class. The next request comes from the class with the smallest served share
// divided by its weight. The served share is the part of the class's requests that were
// popped, measured over a few seconds. Route rank 0 has the weight 1, rank 1
// SecondWeight, and each further rank WeightRatio times the weight of the one before.
// In a mild overload the most urgent class is therefore served completely, and the others
// get a part of what they need. However deep the overload is, the served share of a class
// that has queued requests doesn't fall below its weight times that of the most urgent
// class: no class starves, and no class is served a larger share than a more urgent one.
//
// Within a class, requests that can still meet their latency goal come before late
// ones, and then the order is first in, first out.
package queue

import (
	"math"
	"time"

	"kingcupstand/core/heap"
)

// Weights of the classes of a tier.
const (
	// SecondWeight is the weight of the second class; the first has the weight 1. It is
	// a little more than 1/4, because a class counts as starved if its served share is
	// less than a quarter of the share that all requests together are served.
	SecondWeight = 0.3
	// WeightRatio is the weight of each further class relative to the one before. It is
	// below 1 only to cover the error of shares that are measured over a few seconds, so
	// that no class is served a larger share than a more urgent one.
	WeightRatio = 0.85
)

// rateTimeConstant is the time constant with which the counts of requests decay. It is
// about the length of a burst, which lasts a few seconds.
const rateTimeConstant = 4 * time.Second

// defaultWait is the queue wait that is expected for a class while fewer than one of its
// requests per second is popped.
const defaultWait = time.Second

// holdTimeWeight is the weight of a new sample in the average hold time.
const holdTimeWeight = 0.05

// SortKey holds the attributes of a request that determine its position.
type SortKey struct {
	// TierRank is the rank of the tier; 0 is the highest priority.
	TierRank int
	// RouteRank is the rank of the route within the tier; 0 is the most urgent.
	RouteRank int
	// Late is true if the request can no longer meet its latency goal.
	Late bool
	// Arrived is the time of arrival, on the clock of the now arguments.
	Arrived time.Duration
	// sequence is the order of the calls of Push; it breaks ties.
	sequence uint64
}

// before reports whether k comes before o within a class.
func (k SortKey) before(o SortKey) bool {
	switch {
	case k.Late != o.Late:
		return o.Late
	case k.Arrived != o.Arrived:
		return k.Arrived < o.Arrived
	default:
		return k.sequence < o.sequence
	}
}

type item[T any] struct {
	key   SortKey
	value T
}

type classKey struct{ tierRank, routeRank int }

// class holds the requests of one tier rank and route rank.
type class[T any] struct {
	key    classKey
	heap   *heap.Heap[item[T]]
	pushed decayingCount
	popped decayingCount
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

// Handle is the handle of a queued request.
type Handle[T any] struct {
	class *class[T]
	node  *heap.Node[item[T]]
	key   SortKey
}

// Value returns the request.
func (h *Handle[T]) Value() T { return h.node.Value.value }

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	classes  map[classKey]*class[T]
	sequence uint64
	// holdTime is the exponentially weighted average of the time that a request
	// occupies its slot; it is 0 before the first sample.
	holdTime time.Duration
}

// New returns an empty Queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{classes: map[classKey]*class[T]{}}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int {
	n := 0
	for _, c := range q.classes {
		n += c.heap.Len()
	}
	return n
}

// Push adds a request with the value v.
func (q *Queue[T]) Push(now time.Duration, k SortKey, v T) *Handle[T] {
	g := classKey{k.TierRank, k.RouteRank}
	c := q.classes[g]
	if c == nil {
		c = &class[T]{key: g, heap: heap.New(func(a, b item[T]) bool { return a.key.before(b.key) })}
		q.classes[g] = c
	}
	q.sequence++
	k.sequence = q.sequence
	c.pushed.add(now)
	return &Handle[T]{class: c, node: c.heap.Push(item[T]{key: k, value: v}), key: k}
}

// Remove removes a request. It reports false if the request is not queued.
func (q *Queue[T]) Remove(h *Handle[T]) bool { return h.class.heap.Remove(h.node) }

// next returns the class of the next request, or nil if the queue is empty.
func (q *Queue[T]) next(now time.Duration) *class[T] {
	var best *class[T]
	for _, c := range q.classes {
		if c.heap.Len() > 0 && (best == nil || q.less(now, c, best)) {
			best = c
		}
	}
	return best
}

// less reports whether the first request of a comes before the first of b.
func (q *Queue[T]) less(now time.Duration, a, b *class[T]) bool {
	if a.key.tierRank != b.key.tierRank {
		return a.key.tierRank < b.key.tierRank
	}
	s, t := a.weightedShare(now), b.weightedShare(now)
	if s != t {
		return s < t
	}
	return a.key.routeRank < b.key.routeRank
}

// weightedShare returns the served share of the class divided by its weight.
func (c *class[T]) weightedShare(now time.Duration) float64 {
	w := 1.0
	if c.key.routeRank > 0 {
		w = SecondWeight * math.Pow(WeightRatio, float64(c.key.routeRank-1))
	}
	return c.popped.get(now) / max(1, c.pushed.get(now)) / w
}

// Peek returns the next request without removing it. It reports false if the queue is
// empty.
func (q *Queue[T]) Peek(now time.Duration) (k SortKey, v T, ok bool) {
	c := q.next(now)
	if c == nil {
		return k, v, false
	}
	i, _ := c.heap.Peek()
	return i.key, i.value, true
}

// Pop removes and returns the next request, which is the one that Peek returns for the
// same time. It reports false if the queue is empty.
func (q *Queue[T]) Pop(now time.Duration) (v T, ok bool) {
	c := q.next(now)
	if c == nil {
		return v, false
	}
	i, _ := c.heap.Pop()
	c.popped.add(now)
	return i.value, true
}

// Ahead returns the number of requests of the same class that come before h.
func (q *Queue[T]) Ahead(h *Handle[T]) int {
	n := 0
	h.class.heap.Each(func(i item[T]) {
		if i.key.before(h.key) {
			n++
		}
	})
	return n
}

// AddHold adds a sample to the average hold time: how long a request occupied its slot.
func (q *Queue[T]) AddHold(d time.Duration) {
	if q.holdTime == 0 {
		q.holdTime = d
	}
	q.holdTime += time.Duration(holdTimeWeight * float64(d-q.holdTime))
}

// ExpectedWait returns how long a request is expected to stay queued, where slots is the
// number of slots that serve this queue. It is the shorter of two estimates: by the recent
// rate of pops from the class, and by the rate at which the slots become free. The first
// estimate alone would be too long at the start of a burst, when the class was popped
// rarely because it had few requests.
func (q *Queue[T]) ExpectedWait(now time.Duration, h *Handle[T], slots float64) time.Duration {
	w := defaultWait
	if v := h.class.popped.get(now) / rateTimeConstant.Seconds(); v >= 1 {
		w = time.Duration(float64(q.Ahead(h)+1) / v * float64(time.Second))
	}
	if q.holdTime > 0 && slots > 0 {
		w = min(w, time.Duration(float64(q.Len())*float64(q.holdTime)/slots))
	}
	return w
}

// Priority is the part of a SortKey by which requests of different fronts are ordered.
type Priority struct {
	TierRank int
	Late     bool
}

// Before reports whether p is the higher priority.
func (p Priority) Before(o Priority) bool {
	return p.TierRank < o.TierRank || (p.TierRank == o.TierRank && !p.Late && o.Late)
}

// CountByPriority returns the number of queued requests of each priority.
func (q *Queue[T]) CountByPriority() map[Priority]int {
	m := map[Priority]int{}
	for k, c := range q.classes {
		c.heap.Each(func(i item[T]) { m[Priority{k.tierRank, i.key.Late}]++ })
	}
	return m
}
