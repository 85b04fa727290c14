// Package heap provides a generic priority queue from which any item can be removed. It
// is a typed layer over the standard library's container/heap.
//
// # Usage
//
//	h := heap.New(func(a, b int) bool { return a < b })
//	n := h.Push(3)
//	h.Push(1)
//	h.Remove(n)
//	v, ok := h.Pop()
package heap

import stdheap "container/heap"

// Node is the handle of an item in a Heap.
type Node[T any] struct {
	// Value is the item. Its order relative to other items must not change while it is
	// in the heap.
	Value T
	index int
}

// Heap is a priority queue; the least item comes first. It is not safe for concurrent
// use.
type Heap[T any] struct {
	s slice[T]
}

// New returns an empty heap ordered by less.
func New[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{s: slice[T]{less: less}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.s.nodes) }

// Push adds an item and returns its handle. It takes O(log n) time, as Pop and Remove do.
func (h *Heap[T]) Push(v T) *Node[T] {
	n := &Node[T]{Value: v}
	stdheap.Push(&h.s, n)
	return n
}

// Peek returns the first item without removing it. It reports false if the heap is empty.
func (h *Heap[T]) Peek() (v T, ok bool) {
	if h.Len() == 0 {
		return v, false
	}
	return h.s.nodes[0].Value, true
}

// Pop removes and returns the first item. It reports false if the heap is empty.
func (h *Heap[T]) Pop() (v T, ok bool) {
	if h.Len() == 0 {
		return v, false
	}
	n := stdheap.Pop(&h.s).(*Node[T])
	return n.Value, true
}

// Remove removes an item. It reports false if the item is no longer in the heap.
func (h *Heap[T]) Remove(n *Node[T]) bool {
	if n.index < 0 || n.index >= h.Len() || h.s.nodes[n.index] != n {
		return false
	}
	stdheap.Remove(&h.s, n.index)
	return true
}

// Each calls f for every item, in no particular order.
func (h *Heap[T]) Each(f func(T)) {
	for _, n := range h.s.nodes {
		f(n.Value)
	}
}

// slice implements container/heap.Interface and keeps the index of each node up to date.
type slice[T any] struct {
	nodes []*Node[T]
	less  func(a, b T) bool
}

func (s *slice[T]) Len() int           { return len(s.nodes) }
func (s *slice[T]) Less(i, j int) bool { return s.less(s.nodes[i].Value, s.nodes[j].Value) }

func (s *slice[T]) Swap(i, j int) {
	s.nodes[i], s.nodes[j] = s.nodes[j], s.nodes[i]
	s.nodes[i].index = i
	s.nodes[j].index = j
}

func (s *slice[T]) Push(x any) {
	n := x.(*Node[T])
	n.index = len(s.nodes)
	s.nodes = append(s.nodes, n)
}

func (s *slice[T]) Pop() any {
	k := len(s.nodes) - 1
	n := s.nodes[k]
	s.nodes[k] = nil
	s.nodes = s.nodes[:k]
	n.index = -1
	return n
}
