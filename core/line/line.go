// Package line orders the requests that wait at a front for a slot of one service.
//
// # Usage
//
//	l := line.New[*request]()
//	n := l.Join(line.Place{Rank: 1, Arrived: now}, r)
//	l.Each(func(p line.Place, r *request) bool { return take(r) })
//	l.Leave(n)
//
// The lowest rank goes first. Within a rank, requests that can still be on time
// go before those that can't, then the order of arrival counts.
package line

import (
	"time"

	"kingcupstand/core/heap"
)

// Place is what a request's turn follows from.
type Place struct {
	// Rank is the tier; 0 goes first.
	Rank int
	// Order is the route's own rank, where the workspace's goes before it.
	Order int
	// Late is true if the request has missed its goal already.
	Late    bool
	Arrived time.Duration
	number  uint64
}

// Before reports whether p's turn comes before q's.
func (p Place) Before(q Place) bool {
	switch {
	case p.Rank != q.Rank:
		return p.Rank < q.Rank
	case p.Order != q.Order:
		return p.Order < q.Order
	case p.Late != q.Late:
		return q.Late
	case p.Arrived != q.Arrived:
		return p.Arrived < q.Arrived
	default:
		return p.number < q.number
	}
}

type waiter[T any] struct {
	place Place
	value T
}

// Ticket is the handle of one waiting request.
type Ticket[T any] struct {
	node *heap.Node[waiter[T]]
}

// Line holds waiting requests. It is not safe for concurrent use.
type Line[T any] struct {
	heap   *heap.Heap[waiter[T]]
	number uint64
}

// New returns an empty Line.
func New[T any]() *Line[T] {
	return &Line[T]{heap: heap.New(func(a, b waiter[T]) bool { return a.place.Before(b.place) })}
}

// Len returns the number of waiting requests.
func (l *Line[T]) Len() int { return l.heap.Len() }

// Join adds a request.
func (l *Line[T]) Join(p Place, v T) *Ticket[T] {
	l.number++
	p.number = l.number
	return &Ticket[T]{node: l.heap.Push(waiter[T]{place: p, value: v})}
}

// Leave takes a request out. It reports false if it was not waiting.
func (l *Line[T]) Leave(t *Ticket[T]) bool { return l.heap.Remove(t.node) }

// First returns the request whose turn it is.
func (l *Line[T]) First() (p Place, v T, ok bool) {
	w, ok := l.heap.Peek()
	return w.place, w.value, ok
}

// Next removes and returns the request whose turn it is.
func (l *Line[T]) Next() (v T, ok bool) {
	w, ok := l.heap.Pop()
	return w.value, ok
}

// Ahead returns how many requests have their turn before p.
func (l *Line[T]) Ahead(p Place) int {
	n := 0
	l.heap.Each(func(w waiter[T]) {
		if w.place.Before(p) {
			n++
		}
	})
	return n
}

// Ranks counts the waiting requests by rank.
func (l *Line[T]) Ranks() map[int]int {
	m := map[int]int{}
	l.heap.Each(func(w waiter[T]) { m[w.place.Rank]++ })
	return m
}
