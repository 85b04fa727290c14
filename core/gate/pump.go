package gate

import (
	"time"

	"kingcupstand/core/call"
)

// Slack below which a queued request takes the slot of a lower tier's running
// request: a quarter of its own predicted time, but at least minSlack.
const (
	slackDivisor = 4
	minSlack     = 50 * time.Millisecond
)

// pump refuses what has become hopeless, fills free slots in tier order and
// preempts running lower tiers for requests that are about to become hopeless.
func (g *Gate) pump(now time.Duration) {
	if g.draining {
		return
	}
	g.dropHopeless(now)
	for {
		j := g.next(now)
		if j == nil {
			return
		}
		if !g.fits(j) && !g.preempt(now, j) {
			return
		}
		g.start(now, j)
	}
}

// next returns the queued job that goes first, or nil if it must be held back
// because a higher tier was shed a moment ago.
func (g *Gate) next(now time.Duration) *job {
	j := g.queue.first()
	if j == nil || g.floor.blocks(now, j.terms.Rank) {
		return nil
	}
	return j
}

// dropHopeless refuses queued requests that would be late even if dispatched
// now. While a lower tier is present they are kept: they run late rather than
// being shed before the lower tier.
func (g *Gate) dropHopeless(now time.Duration) {
	for _, l := range g.queue.lanes {
		for {
			j, ok := l.early.Peek()
			if !ok || now+g.speed.own(j.offer) <= j.deadline || g.victim(l.rank) != nil {
				break
			}
			g.shed(now, j)
		}
	}
}

// preempt cuts running lower-tier work until j fits, if j is about to become
// hopeless. It reports whether j fits.
func (g *Gate) preempt(now time.Duration, j *job) bool {
	own := g.speed.own(j.offer)
	slack := j.deadline - now - own
	if slack > max(own/slackDivisor, minSlack) {
		return false
	}
	for !g.fits(j) {
		v := g.victim(j.terms.Rank)
		if v == nil {
			return false
		}
		g.cancel(v, call.ReasonPreempted)
	}
	return true
}
