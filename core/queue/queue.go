// Package queue provides the weighted fair queue in which the requests for one service
// wait at a front for a slot.
//
// # Usage
//
//	q := queue.New[*request]()
//	w := q.Push(now, queue.SortKey{TierRank: 1, RouteRank: 2, Arrived: now, Hold: time.Second}, r)
//	for _, h := range q.Heads(now) {
//		if canSend(h.Key) {
//			q.Take(now, h)
//			send(h.Value)
//			break
//		}
//	}
//	q.Remove(w)
//
// # Order
//
// Tiers have strict priority: a request is never popped while one of a higher tier,
// which has a smaller rank, is queued. Within a tier, the requests of each route rank
// form a class. The next request comes from the class with the smallest served share
// divided by its weight. The served share is the part of the class's requests that were
// popped, measured over a few seconds. Route rank 0 has the weight 1, rank 1
// SecondWeight, and each further rank WeightRatio times the weight of the one before. A
// class whose requests occupy their slots for longer than those of a more urgent one has a
// smaller weight. In a mild overload the most urgent class is therefore served completely,
// and the others get a part of what they need; a class of long requests is the first to
// yield, as each of them takes the place of several short ones. However deep the overload
// is, the served share of a class that has queued requests doesn't stay below a quarter of
// that of all requests, measured over more than a burst: such a class goes first.
//
// Requests that only targets of one version can run form classes of their own, so that they
// don't hold up others while those targets are busy.
//
// Within a class, requests that can still meet their latency goal come before late
// ones. Among those that can, short requests come before long ones, the shortest first, but
// over more than a burst long ones are served as often. Long requests, those of unknown
// length and late ones are first in, first out.
//
// Requests of workspaces over their share (package fair) come after all others of their class. On the
// same side of the share, those on time come before late ones, and those of workspaces that have
// used less for their weight before others, in steps. The order of the classes doesn't depend on
// shares.
package queue

import (
	"cmp"
	"slices"
	"time"

	"kingcupstand/core/heap"
)

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
	// Pin is the version of targets that alone can run the request; "" if any can.
	Pin string
	// Late is true if the request can no longer meet its latency goal.
	Late bool
	// Arrived is the time of arrival, on the clock of the now arguments.
	Arrived time.Duration
	// Hold is how long the request is expected to occupy its slot; 0 if it is unknown.
	Hold time.Duration
	// Workspace is the hash of the workspace's name. OverShare is true if the workspace is over
	// its share, and Step is the step of its level; see fair.Shares.Standing and Queue.Reorder.
	Workspace uint32
	OverShare bool
	Step      int
	// sequence is the order of the calls of Push; it breaks ties.
	sequence uint64
}

// before reports whether k comes before o within a lane. Among the requests within, or over, their
// share the order agrees with Priority.Before: the first of them must be the one that peers hold
// requests back for, or the fronts would wait for each other.
func (k SortKey) before(o SortKey) bool {
	switch {
	case k.OverShare != o.OverShare:
		return o.OverShare
	case k.Late != o.Late:
		return o.Late
	case k.Step != o.Step:
		return k.Step < o.Step
	case !k.Late && k.Hold != o.Hold:
		return k.Hold < o.Hold
	case k.Arrived != o.Arrived:
		return k.Arrived < o.Arrived
	default:
		return k.sequence < o.sequence
	}
}

// Handle is the handle of a queued request.
type Handle[T any] struct {
	class *class[T]
	lane  *lane[T]
	node  *heap.Node[*Handle[T]]
	key   SortKey
	value T
}

// Value returns the request.
func (h *Handle[T]) Value() T { return h.value }

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	classes map[classKey]*class[T]
	// ordered holds the classes from the most to the least urgent. Sums over the classes are
	// always computed in this order, so that equal inputs give equal results.
	ordered  []*class[T]
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
	for _, c := range q.ordered {
		n += c.len()
	}
	return n
}

// Push adds a request with the value v.
func (q *Queue[T]) Push(now time.Duration, k SortKey, v T) *Handle[T] {
	g := classKey{k.TierRank, k.RouteRank, k.Pin}
	c := q.classes[g]
	if c == nil {
		q.removePinned()
		c = newClass[T](g)
		q.classes[g] = c
		q.ordered = append(q.ordered, c)
		slices.SortFunc(q.ordered, func(a, b *class[T]) int {
			return cmp.Or(a.key.tierRank-b.key.tierRank, a.key.routeRank-b.key.routeRank, cmp.Compare(a.key.pin, b.key.pin))
		})
	}
	q.sequence++
	k.sequence = q.sequence
	l := c.lane(k.Hold)
	if l == &c.long {
		k.Hold = 0 // first in, first out: the longest must not always come last
	}
	h := &Handle[T]{class: c, lane: l, key: k, value: v}
	l.push(now, h)
	return h
}

// removePinned removes the empty classes of pinned requests, as versions come and go.
func (q *Queue[T]) removePinned() {
	q.ordered = slices.DeleteFunc(q.ordered, func(c *class[T]) bool {
		if c.key.pin == "" || c.len() > 0 {
			return false
		}
		delete(q.classes, c.key)
		return true
	})
}

// Remove removes a request. It reports false if the request is not queued.
func (q *Queue[T]) Remove(h *Handle[T]) bool { return h.lane.heap(h.key).Remove(h.node) }

// Ahead returns the number of requests of the same class that come before h.
func (q *Queue[T]) Ahead(h *Handle[T]) int {
	n := h.lane.ahead(h.key)
	long, other := h.lane == &h.class.long, &h.class.long
	if long {
		other = &h.class.short
	}
	other.each(func(o *Handle[T]) {
		switch {
		case h.key.OverShare != o.key.OverShare:
			if h.key.OverShare {
				n++
			}
		case long && (!o.key.Late || h.key.Late):
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
// number of slots that serve this queue. The requests that come before it are those ahead
// of it in its class and all of more urgent classes. It is the shorter of two estimates: by
// the rate of pops, and by the rate at which the slots become free. The first estimate
// alone would be too long at the start of a burst, when few requests were popped because
// there were few.
func (q *Queue[T]) ExpectedWait(now time.Duration, h *Handle[T], slots float64) time.Duration {
	ahead := float64(q.Ahead(h) + 1)
	var popped, urgent float64 // decayed counts of all pops, and of pushes to more urgent classes
	for _, c := range q.ordered {
		n := c.recent(now)
		popped += n.popped
		if c.key.moreUrgent(h.class.key) {
			urgent += n.pushed
			ahead += float64(c.len())
		}
	}
	w := defaultWait
	// A request can use all pops that more urgent classes leave, and its lane at least as
	// many as it had.
	if v := max(h.lane.recent.get(now).popped, popped-urgent) / rateTimeConstant.Seconds(); v >= 1 {
		w = time.Duration(ahead / v * float64(time.Second))
	}
	if q.holdTime > 0 && slots > 0 {
		w = min(w, time.Duration(ahead*float64(q.holdTime)/slots))
	}
	return w
}

// moreUrgent reports whether the class k is of a higher tier than o, or more urgent
// within the same tier.
func (k classKey) moreUrgent(o classKey) bool {
	if k.tierRank != o.tierRank {
		return k.tierRank < o.tierRank
	}
	return k.routeRank < o.routeRank
}

// Priority is the part of a SortKey by which requests of different fronts are ordered.
type Priority struct {
	TierRank  int
	Late      bool
	RouteRank int
	// OverShare is true if the workspace is over its share.
	OverShare bool
}

func (k SortKey) priority() Priority {
	return Priority{TierRank: k.TierRank, Late: k.Late, RouteRank: k.RouteRank, OverShare: k.OverShare}
}

// Before reports whether p is the higher priority.
func (p Priority) Before(o Priority) bool {
	switch {
	case p.TierRank != o.TierRank:
		return p.TierRank < o.TierRank
	case p.Late != o.Late:
		return o.Late
	case p.RouteRank != o.RouteRank:
		return p.RouteRank < o.RouteRank
	default:
		return !p.OverShare && o.OverShare
	}
}

// Yields reports whether a request of priority p is held back while one of priority o waits at another
// front: if o is the higher one, unless p is of a class whose requests need less slot time than those
// of o's class, which isn't the most urgent one. The order of such classes is left to their weights at
// each front. Otherwise a class of short requests would get nothing as long as a request of a more
// urgent class waits at any front, as one nearly always does in an overload of many fronts.
func (q *Queue[T]) Yields(p, o Priority) bool {
	if !o.Before(p) {
		return false
	}
	if o.TierRank != p.TierRank || o.Late != p.Late || o.RouteRank == p.RouteRank || o.RouteRank == 0 {
		return true
	}
	h := q.hold(p)
	return h == 0 || h >= q.hold(o)
}

// hold returns the average expected hold time of a priority's class; 0 if it is unknown.
func (q *Queue[T]) hold(p Priority) time.Duration {
	if c := q.classes[classKey{tierRank: p.TierRank, routeRank: p.RouteRank}]; c != nil {
		return c.hold
	}
	return 0
}

// CountByPriority returns the number of queued requests of each priority.
func (q *Queue[T]) CountByPriority() map[Priority]int {
	m := map[Priority]int{}
	for _, c := range q.ordered {
		for _, l := range []*lane[T]{&c.short, &c.long} {
			l.each(func(h *Handle[T]) { m[h.key.priority()]++ })
		}
	}
	return m
}
