package gate

import (
	"time"

	"kingcupstand/core/call"
)

// admit queues j, unless it would miss its deadline behind the work ahead of it.
// Costlier requests of the same tier and workspace are shed before j is.
func (g *Gate) admit(now time.Duration, j *job) {
	for g.infeasible(now, j) {
		v := g.queue.costlier(j, g.speed.cost(j.offer))
		if v == nil {
			g.shed(now, j)
			return
		}
		g.shed(now, v)
	}
	g.jobs[j.offer.Stream] = j
	g.queue.push(j, g.speed.cost(j.offer))
	g.emit(Queued{Stream: j.offer.Stream})
	g.trim(now)
}

// trim brings the queue back to its limit. Before a request is shed, running
// requests of lower tiers are preempted, and their slots go to the first jobs of
// the queue.
func (g *Gate) trim(now time.Duration) {
	for {
		j := g.queue.excess(g.limits.Queue)
		if j == nil {
			return
		}
		v := g.victim(j.terms.Rank)
		if v == nil {
			g.shed(now, j)
			continue
		}
		g.cancel(v, call.ReasonPreempted)
		if n := g.next(now); n != nil {
			g.start(now, n)
		}
	}
}

// infeasible reports whether j would miss its deadline behind the work ahead of it,
// with no lower tier left that could yield. Requests that must wait are not refused
// on a prediction, as the overload may pass.
func (g *Gate) infeasible(now time.Duration, j *job) bool {
	if j.terms.Wait || g.lowerCanYield(j.terms.Rank) {
		return false
	}
	w := g.queue.ahead(j) / time.Duration(g.limits.Batch)
	return now+w+g.speed.cost(j.offer) > j.deadline
}

// release refuses j and commits this agent to never dispatching it.
func (g *Gate) release(j *job, r call.Reason) {
	g.remove(j)
	g.ledger.set(j.offer.ID, released)
	e := call.NotRun(r)
	if r == call.ReasonOverload || r == call.ReasonDeadlinePassed || r == call.ReasonContractChanged {
		e = e.WithRetryAfter(g.retryAfter())
	}
	g.emit(Refuse{Stream: j.offer.Stream, Outcome: e, Released: true})
}

// shed refuses j for lack of capacity. Lower tiers must not run in its place, so
// their queued requests are refused first, and new ones for a while after.
func (g *Gate) shed(now time.Duration, j *job) {
	for v := g.queue.shedFirst(j.terms.Rank); v != nil; v = g.queue.shedFirst(j.terms.Rank) {
		g.release(v, call.ReasonOverload)
	}
	g.hold = g.hold.extend(now, j.terms.Rank, g.limits.ShedHold)
	r := call.ReasonOverload
	if now >= j.deadline {
		r = call.ReasonDeadlinePassed
	}
	g.release(j, r)
}

// cancel stops a running job and frees its slot.
func (g *Gate) cancel(j *job, r call.Reason) {
	j.state = canceling
	g.freeSlot(j)
	g.ledger.set(j.offer.ID, truncated)
	e := call.Incomplete(r).WithRetryAfter(g.retryAfter())
	g.emit(Cancel{Stream: j.offer.Stream, Outcome: e})
}

// lowerCanYield reports whether a request of a tier below r is running, or is
// queued and may be shed.
func (g *Gate) lowerCanYield(r call.Rank) bool {
	return g.victim(r) != nil || g.queue.sheddableBelow(r)
}

// victim returns the running job below rank r to preempt first, or nil: protected
// jobs last, then the lowest tier, then the least prefill lost, then the latest
// arrival.
func (g *Gate) victim(r call.Rank) *job {
	var v *job
	for _, j := range g.slots {
		if j.terms.Rank.Below(r) && (v == nil || preemptBefore(j, v)) {
			v = j
		}
	}
	return v
}

// preemptBefore reports whether a is preempted before b.
func preemptBefore(a, b *job) bool {
	if a.terms.protected() != b.terms.protected() {
		return !a.terms.protected()
	}
	if a.terms.Rank != b.terms.Rank {
		return a.terms.Rank.Below(b.terms.Rank)
	}
	if a.lostPrefill() != b.lostPrefill() {
		return a.lostPrefill() < b.lostPrefill()
	}
	return a.seq > b.seq
}

// protected reports whether running requests are preempted only if no other
// candidate is left.
func (t Terms) protected() bool {
	return t.Wait || !t.Preemptible
}

// lostPrefill returns the number of prefilled tokens that are lost if j is
// preempted.
func (j *job) lostPrefill() int {
	return j.offer.uncached()
}

// retryAfter estimates when the current queue will have been served.
func (g *Gate) retryAfter() time.Duration {
	d := g.queue.work() / time.Duration(g.limits.Batch)
	return min(max(d.Round(time.Second), minRetryAfter), maxRetryAfter)
}

// Bounds of the retry delay that callers are given.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)
