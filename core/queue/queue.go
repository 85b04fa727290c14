// Package queue orders the requests that wait at a front for a slot of one service.
//
// # Usage
//
//	l := line.New[*request]()
//	t := l.Join(now, line.Place{Rank: 1, Order: 2, Arrived: now}, r)
//	if p, r, ok := l.First(now); ok { l.Next(now) }
//	l.Leave(t)
//
// The lowest rank goes first. Requests of one rank wait in lanes by their route's
// order. The lane goes first that has got the smallest part of its requests served,
// weighed so that the most urgent lane gets all it asks for while the others get a
// good part of theirs. However deep an overload is, no kind starves, and a more
// urgent kind is not served less often than one below it. Requests that can still
// be on time go before those that can't.
package queue

import (
	"math"
	"time"

	"kingcupstand/core/heap"
)

// Parts of their requests that lanes get served, against those of other lanes.
const (
	// SecondWeight is the part that the second lane gets at least, of the first one's: a
	// little more than a quarter, below which the users' rules call a kind starved.
	SecondWeight = 0.3
	// WeightRatio is the same for each further lane, of the one before it: close to 1, but
	// for the error of parts that are measured over a few seconds.
	WeightRatio = 0.85
)

// memory is the time over which shares are measured: bursts last a few seconds.
const memory = 4 * time.Second

// unmeasured is the wait that is expected while nothing has been measured.
const unmeasured = time.Second

// holdLearn is the weight of one request in the mean time that slots are kept.
const holdLearn = 0.05

// SortKey is what a request's turn follows from.
type SortKey struct {
	// TierRank is the tier; 0 goes first.
	TierRank int
	// RouteRank is the route's own rank within the tier; 0 is the most urgent.
	RouteRank int
	// Late is true if the request has missed its goal already.
	Late    bool
	Arrived time.Duration
	number  uint64
}

// before reports whether p's turn comes before q's in one lane.
func (p SortKey) before(q SortKey) bool {
	switch {
	case p.Late != q.Late:
		return q.Late
	case p.Arrived != q.Arrived:
		return p.Arrived < q.Arrived
	default:
		return p.number < q.number
	}
}

type waiter[T any] struct {
	place SortKey
	value T
}

type key struct{ rank, order int }

// lane holds the requests of one rank and order.
type lane[T any] struct {
	key    key
	heap   *heap.Heap[waiter[T]]
	asked  rate
	turned rate
}

// rate counts events with a fading memory.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) get(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(memory))
}

func (r *rate) add(now time.Duration) { r.value, r.at = r.get(now)+1, now }

// Handle is the handle of one waiting request.
type Handle[T any] struct {
	lane  *lane[T]
	node  *heap.Node[waiter[T]]
	place SortKey
}

// Value returns the request.
func (t *Handle[T]) Value() T { return t.node.Value.value }

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[T any] struct {
	lanes  map[key]*lane[T]
	number uint64
	// hold is the mean time that a request keeps its slot.
	hold time.Duration
}

// New returns an empty Line.
func New[T any]() *Queue[T] {
	return &Queue[T]{lanes: map[key]*lane[T]{}}
}

// Len returns the number of waiting requests.
func (l *Queue[T]) Len() int {
	n := 0
	for _, a := range l.lanes {
		n += a.heap.Len()
	}
	return n
}

// Push adds a request.
func (l *Queue[T]) Push(now time.Duration, p SortKey, v T) *Handle[T] {
	k := key{p.TierRank, p.RouteRank}
	a := l.lanes[k]
	if a == nil {
		a = &lane[T]{key: k, heap: heap.New(func(a, b waiter[T]) bool { return a.place.before(b.place) })}
		l.lanes[k] = a
	}
	l.number++
	p.number = l.number
	a.asked.add(now)
	return &Handle[T]{lane: a, node: a.heap.Push(waiter[T]{place: p, value: v}), place: p}
}

// Remove takes a request out. It reports false if it was not waiting.
func (l *Queue[T]) Remove(t *Handle[T]) bool { return t.lane.heap.Remove(t.node) }

// next returns the lane whose turn it is, or nil.
func (l *Queue[T]) next(now time.Duration) *lane[T] {
	var best *lane[T]
	for _, a := range l.lanes {
		if a.heap.Len() > 0 && (best == nil || l.less(now, a, best)) {
			best = a
		}
	}
	return best
}

// less reports whether a's first request goes before b's.
func (l *Queue[T]) less(now time.Duration, a, b *lane[T]) bool {
	if a.key.rank != b.key.rank {
		return a.key.rank < b.key.rank
	}
	s, t := a.lead(now), b.lead(now)
	if s != t {
		return s < t
	}
	return a.key.order < b.key.order
}

// lead returns the part of the lane's requests that was served, weighed by urgency.
func (a *lane[T]) lead(now time.Duration) float64 {
	w := 1.0
	if a.key.order > 0 {
		w = SecondWeight * math.Pow(WeightRatio, float64(a.key.order-1))
	}
	return a.turned.get(now) / max(1, a.asked.get(now)) / w
}

// Peek returns the request whose turn it is.
func (l *Queue[T]) Peek(now time.Duration) (p SortKey, v T, ok bool) {
	a := l.next(now)
	if a == nil {
		return p, v, false
	}
	w, _ := a.heap.Peek()
	return w.place, w.value, true
}

// Pop removes and returns the request whose turn it is.
func (l *Queue[T]) Pop(now time.Duration) (v T, ok bool) {
	a := l.next(now)
	if a == nil {
		return v, false
	}
	w, _ := a.heap.Pop()
	a.turned.add(now)
	return w.value, true
}

// Ahead returns how many requests of its lane have their turn before a ticket's.
func (l *Queue[T]) Ahead(t *Handle[T]) int {
	n := 0
	t.lane.heap.Each(func(w waiter[T]) {
		if w.place.before(t.place) {
			n++
		}
	})
	return n
}

// AddHold learns how long a request kept its slot.
func (l *Queue[T]) AddHold(d time.Duration) {
	if l.hold == 0 {
		l.hold = d
	}
	l.hold += time.Duration(holdLearn * float64(d-l.hold))
}

// ExpectedWait returns how long a ticket will wait for its turn: by the turns that its
// lane has lately got, or by how fast the given number of slots comes free,
// whichever is sooner. Before a rush a lane's turns only tell how few were asked.
func (l *Queue[T]) ExpectedWait(now time.Duration, t *Handle[T], slots float64) time.Duration {
	e := unmeasured
	if v := t.lane.turned.get(now) / memory.Seconds(); v >= 1 {
		e = time.Duration(float64(l.Ahead(t)+1) / v * float64(time.Second))
	}
	if l.hold > 0 && slots > 0 {
		e = min(e, time.Duration(float64(l.Len())*float64(l.hold)/slots))
	}
	return e
}

// Priority is what a request's turn follows from, beside its route and arrival.
type Priority struct {
	TierRank int
	Late     bool
}

// Before reports whether c's turn comes before o's.
func (c Priority) Before(o Priority) bool {
	return c.TierRank < o.TierRank || (c.TierRank == o.TierRank && !c.Late && o.Late)
}

// CountByPriority counts the waiting requests by their claims.
func (l *Queue[T]) CountByPriority() map[Priority]int {
	m := map[Priority]int{}
	for k, a := range l.lanes {
		a.heap.Each(func(w waiter[T]) { m[Priority{k.rank, w.place.Late}]++ })
	}
	return m
}
