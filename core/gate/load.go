package gate

import (
	"time"

	"kingcupstand/core/call"
)

// Load returns the report that entries route by.
func (g *Gate) Load(now time.Duration) Load {
	l := Load{
		Incarnation:   g.incarnation,
		Uptime:        now,
		Leaving:       g.draining,
		Running:       len(g.slots),
		RunningTokens: g.slotTokens,
		Queued:        g.queue.len(),
		Batch:         g.limits.Batch,
		Speed:         g.speed,
		ShedBelow:     g.floor.rank(now),
	}
	for _, q := range g.queue.lanes {
		if q.early.Len() > 0 {
			l.Tiers = append(l.Tiers, TierLoad{Rank: q.rank, Work: q.work})
		}
	}
	return l
}

// Load is an agent's report of its own state.
type Load struct {
	Incarnation   uint64
	Uptime        time.Duration
	Leaving       bool
	Running       int
	RunningTokens int
	Queued        int
	Batch         int
	Tiers         []TierLoad
	Speed         Speed
	// ShedBelow is the tier whose lower tiers are refused, or 0.
	ShedBelow call.Rank
}

// TierLoad is the queued work of one tier: its predicted time on one slot.
type TierLoad struct {
	Rank call.Rank
	Work time.Duration
}
