package gate

import (
	"time"

	"kingcupstand/core/call"
)

// A queued request preempts a running one of a lower tier when its slack has shrunk
// to 1/slackDivisor of its predicted service time, or to minSlack if that is more.
const (
	slackDivisor = 4
	minSlack     = 50 * time.Millisecond
)

// schedule refuses queued requests that can no longer meet their deadline, fills
// free slots in tier order and preempts lower tiers in favor of urgent requests.
func (g *Gate) schedule(now time.Duration) {
	for !g.draining {
		g.shedInfeasible(now)
		j := g.next(now)
		switch {
		case j == nil:
			return
		case g.fits(j):
			g.start(now, j)
		case !g.preempt(now):
			return
		}
	}
}

// next returns the job to dispatch next. It returns nil if the queue is empty, or
// if the job must be held back because a higher tier was shed a moment ago.
func (g *Gate) next(now time.Duration) *job {
	j := g.queue.first()
	if j == nil || g.hold.blocks(now, j.terms.Rank) {
		return nil
	}
	return j
}

// slack returns how long j can stay queued and still meet its deadline.
func (g *Gate) slack(now time.Duration, j *job) time.Duration {
	return j.deadline - now - g.speed.cost(j.offer)
}

// shedInfeasible sheds queued requests that would miss their deadline even if they
// were dispatched now. They are kept while a lower tier is running, as that is
// preempted first.
func (g *Gate) shedInfeasible(now time.Duration) {
	for _, t := range g.queue.tiers {
		for {
			j, ok := t.byDeadline.Peek()
			if !ok || g.slack(now, j) >= 0 || g.victim(t.rank) != nil {
				break
			}
			g.shed(now, j)
		}
	}
}

// preempt cancels one running request in favor of an urgent one of a higher tier.
// The freed slot goes to the first job of the queue, so that an urgent request of a
// middle tier does not overtake a higher tier. It reports false if there is nothing
// to preempt.
func (g *Gate) preempt(now time.Duration) bool {
	for _, t := range g.queue.tiers {
		j, ok := t.byDeadline.Peek()
		if !ok || !g.urgent(now, j) {
			continue
		}
		if v := g.victim(t.rank); v != nil {
			g.cancel(v, call.ReasonPreempted)
			return true
		}
	}
	return false
}

// urgent reports whether j is about to miss its deadline.
func (g *Gate) urgent(now time.Duration, j *job) bool {
	return g.slack(now, j) <= max(g.speed.cost(j.offer)/slackDivisor, minSlack)
}
