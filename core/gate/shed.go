package gate

import (
	"time"

	"kingcupstand/core/call"
)

// admit queues j, unless it would be late behind the work that goes before it.
func (g *Gate) admit(now time.Duration, j *job) {
	for g.hopeless(now, j) {
		v := g.queue.larger(j, g.speed.own(j.offer))
		if v == nil {
			g.shed(now, j)
			return
		}
		g.shed(now, v)
	}
	g.jobs[j.offer.Stream] = j
	g.queue.push(j, g.speed.own(j.offer))
	g.emit(Queued{Stream: j.offer.Stream})
	g.trim(now)
}

// trim brings the queue back to its limit. Before a request is shed, running
// requests of lower tiers give their slots to the queue.
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

// hopeless reports whether j would miss its deadline behind the work that goes
// before it, with no lower tier left that could give way. A prediction is no
// reason to refuse work that must wait: the storm may pass.
func (g *Gate) hopeless(now time.Duration, j *job) bool {
	if j.terms.Wait || g.lowerPresent(j.terms.Rank) {
		return false
	}
	w := g.queue.ahead(j) / time.Duration(g.limits.Batch)
	return now+w+g.speed.own(j.offer) > j.deadline
}

// release refuses j and binds this agent never to dispatch it.
func (g *Gate) release(j *job, r call.Reason) {
	g.forget(j)
	g.ledger.set(j.offer.ID, released)
	e := call.NotRun(r)
	if r == call.ReasonOverload || r == call.ReasonDeadlinePassed || r == call.ReasonContractChanged {
		e = e.WithRetryAfter(g.retryAfter())
	}
	g.emit(Refuse{Stream: j.offer.Stream, Outcome: e, Released: true})
}

// shed refuses j for want of capacity. Lower tiers must not run in its place, so
// they are refused first, and for a while after.
func (g *Gate) shed(now time.Duration, j *job) {
	for v := g.queue.last(j.terms.Rank); v != nil; v = g.queue.last(j.terms.Rank) {
		g.release(v, call.ReasonOverload)
	}
	g.floor = g.floor.raise(now, j.terms.Rank, g.limits.ShedHold)
	r := call.ReasonOverload
	if now >= j.deadline {
		r = call.ReasonDeadlinePassed
	}
	g.release(j, r)
}

// cancel stops a running job to use its slot for another.
func (g *Gate) cancel(j *job, r call.Reason) {
	j.state = closing
	g.vacate(j)
	g.ledger.set(j.offer.ID, cut)
	e := call.Incomplete(r).WithRetryAfter(g.retryAfter())
	g.emit(Cancel{Stream: j.offer.Stream, Outcome: e})
}

// lowerPresent reports whether work of a tier below r runs here, or is queued
// here and could be refused.
func (g *Gate) lowerPresent(r call.Rank) bool {
	return g.victim(r) != nil || g.queue.below(r)
}

// victim returns the running job below rank r that is cut first: protected jobs
// last, then the lowest tier, then the least prefill thrown away.
func (g *Gate) victim(r call.Rank) *job {
	var v *job
	for _, j := range g.slots {
		if j.terms.Rank.Below(r) && (v == nil || cutBefore(j, v)) {
			v = j
		}
	}
	return v
}

// cutBefore orders running jobs by how early they are cut.
func cutBefore(a, b *job) bool {
	if a.terms.protected() != b.terms.protected() {
		return !a.terms.protected()
	}
	if a.terms.Rank != b.terms.Rank {
		return a.terms.Rank.Below(b.terms.Rank)
	}
	if a.wasted() != b.wasted() {
		return a.wasted() < b.wasted()
	}
	return a.seq > b.seq
}

// protected reports whether running requests are cut only when nothing else is left.
func (t Terms) protected() bool {
	return t.Wait || !t.Preemptible
}

// wasted returns the prefill, in tokens, that is thrown away if j is cut.
func (j *job) wasted() int {
	return j.offer.uncached()
}

// retryAfter estimates when the queue of now will be gone.
func (g *Gate) retryAfter() time.Duration {
	d := g.queue.work() / time.Duration(g.limits.Batch)
	return min(max(d.Round(time.Second), minRetryAfter), maxRetryAfter)
}

// Bounds of the times that callers are told to come back after.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)
