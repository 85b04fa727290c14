package sched

import (
	"slices"

	"kingcupstand/core/fair"
	"kingcupstand/core/queue"
)

// SetShares replaces the shares of the workspaces, by which the requests of a class are ordered, and
// reorders those that are queued.
func (s *Scheduler[T]) SetShares(h fair.Shares) {
	if h.Enabled() || s.shares.Enabled() {
		for _, q := range s.queues {
			q.waiters.Reorder(h.Standing)
		}
	}
	s.shares = h
}

// WaitingOverShare returns the number of queued requests of a service whose workspaces are over
// their share.
func (s *Scheduler[T]) WaitingOverShare(service string) int {
	return s.queue(service).waiters.LenOverShare()
}

// passes reports whether the request of h is over its share while others of its class are queued
// that are not. It has often waited longer than they have, and would otherwise take the next slot of a full
// target before them.
func passes[T any](hs []queue.Head[T], h queue.Head[T]) bool {
	return h.Key.OverShare && slices.ContainsFunc(hs, func(o queue.Head[T]) bool {
		return !o.Key.OverShare && o.Key.TierRank == h.Key.TierRank && o.Key.RouteRank == h.Key.RouteRank
	})
}
