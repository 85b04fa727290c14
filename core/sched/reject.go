package sched

import "time"

// Rejected is a request that was removed from the queue.
type Rejected[T any] struct {
	Waiter  *Waiter[T]
	Refusal Refusal
}

// Reject removes the queued requests of a service for which drop is true, because no target can
// take them any more.
func (s *Scheduler[T]) Reject(now time.Duration, service string, drop func(Request) bool) []Rejected[T] {
	q := s.queue(service).waiters
	var ws []*Waiter[T]
	q.Each(func(w *Waiter[T]) {
		if drop(w.request) {
			ws = append(ws, w)
		}
	})
	var rs []Rejected[T]
	for _, w := range ws {
		q.Remove(w.handle)
		waited := now - w.enqueued
		rs = append(rs, Rejected[T]{w, Refusal{Waited: waited, RetryAfter: LatestRetry(w.request.TimeLeft - waited)}})
	}
	return rs
}

// LatestRetry returns the longest delay that a caller keeps to which has the given time left.
func LatestRetry(left time.Duration) time.Duration {
	return max(minRetryDelay, min(maxRetryDelay, time.Duration(retryDelayShare*float64(left))))
}
