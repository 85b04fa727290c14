package queue

// Reorder moves the queued requests to the positions that the shares of their workspaces give them
// now. Standing returns whether a workspace is over its share of a tier, and the step of its level;
// see fair.Shares.Standing.
func (q *Queue[T]) Reorder(standing func(tierRank int, workspace uint32) (over bool, step int)) {
	for _, c := range q.ordered {
		c.short.reorder(standing)
		c.long.reorder(standing)
	}
}

func (l *lane[T]) reorder(standing func(tierRank int, workspace uint32) (over bool, step int)) {
	var changed []*Handle[T]
	l.each(func(h *Handle[T]) {
		if o, v := standing(h.key.TierRank, h.key.Workspace); o != h.key.OverShare || v != h.key.Step {
			changed = append(changed, h)
		}
	})
	for _, h := range changed {
		l.heap(h.key).Remove(h.node)
	}
	for _, h := range changed {
		h.key.OverShare, h.key.Step = standing(h.key.TierRank, h.key.Workspace)
		h.node = l.heap(h.key).Push(h)
	}
}

// LenOverShare returns the number of queued requests of workspaces over their share.
func (q *Queue[T]) LenOverShare() int {
	n := 0
	for _, c := range q.ordered {
		n += c.short.over.Len() + c.long.over.Len()
	}
	return n
}
