package gate

import (
	"time"

	"kingcupstand/core/call"
)

// Load returns the load report that entries route by.
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
		ShedBelow:     g.hold.rank(now),
	}
	for _, q := range g.queue.tiers {
		if q.byDeadline.Len() > 0 {
			l.Tiers = append(l.Tiers, TierLoad{Rank: q.rank, Work: q.work})
		}
	}
	return l
}

// Load is an agent's load report.
type Load struct {
	Incarnation uint64
	// Uptime is the agent's uptime when the report was made.
	Uptime  time.Duration
	Leaving bool
	// Running and RunningTokens count the running requests and their tokens.
	Running       int
	RunningTokens int
	Queued        int
	// Batch is the maximum of Running.
	Batch int
	// Tiers are the tiers that have queued requests, highest tier first.
	Tiers []TierLoad
	Speed Speed
	// ShedBelow is the rank of the tier below which requests are refused, or 0.
	ShedBelow call.Rank
}

// TierLoad is the queued work of one tier: its predicted service time on one slot.
type TierLoad struct {
	Rank call.Rank
	Work time.Duration
}
