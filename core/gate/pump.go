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
// makes way for requests that are about to become hopeless.
func (g *Gate) pump(now time.Duration) {
	for !g.draining {
		g.dropHopeless(now)
		j := g.next(now)
		switch {
		case j == nil:
			return
		case g.fits(j):
			g.start(now, j)
		case !g.makeWay(now):
			return
		}
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

// slack returns how long j can still wait.
func (g *Gate) slack(now time.Duration, j *job) time.Duration {
	return j.deadline - now - g.speed.own(j.offer)
}

// dropHopeless refuses queued requests that would be late even if dispatched
// now. While a lower tier runs they are kept: it gives way first.
func (g *Gate) dropHopeless(now time.Duration) {
	for _, l := range g.queue.lanes {
		for {
			j, ok := l.early.Peek()
			if !ok || g.slack(now, j) >= 0 || g.victim(l.rank) != nil {
				break
			}
			g.shed(now, j)
		}
	}
}

// makeWay cuts one running request that stands in the way of an urgent one of a
// higher tier. The freed slot goes to whatever is first in the queue, so that an
// urgent request of a middle tier does not overtake a higher one. It reports
// false if there is nothing to cut.
func (g *Gate) makeWay(now time.Duration) bool {
	for _, l := range g.queue.lanes {
		j, ok := l.early.Peek()
		if !ok || !g.urgent(now, j) {
			continue
		}
		if v := g.victim(l.rank); v != nil {
			g.cancel(v, call.ReasonPreempted)
			return true
		}
	}
	return false
}

// urgent reports whether j is about to become hopeless.
func (g *Gate) urgent(now time.Duration, j *job) bool {
	return g.slack(now, j) <= max(g.speed.own(j.offer)/slackDivisor, minSlack)
}
