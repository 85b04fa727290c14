package queue

// Each calls f with every queued request, in any order. F must not change the queue.
func (q *Queue[T]) Each(f func(T)) {
	for _, c := range q.ordered {
		for _, l := range []*lane[T]{&c.short, &c.long} {
			l.each(func(h *Handle[T]) { f(h.value) })
		}
	}
}
