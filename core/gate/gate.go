// Package gate implements the admission controller and scheduler of one target. The
// agent of a target owns one Gate, and every request to the target passes through
// it.
//
// # Algorithm
//
// Requests are queued by tier, and higher tiers are served first. Within a tier,
// weighted fair queueing divides the target's time among workspaces in proportion
// to their shares. Within a workspace, the earliest deadline goes first.
//
// A queued request is dispatched when the target has a free slot and enough free
// batch tokens, and has so few other prompts left to prefill that the request's own
// is not delayed for long. The target does not know tiers, so requests inside it
// can't be reordered.
//
// Completion times are predicted from averages of the target's measured speed. A
// new request is refused if it can't meet its deadline even at an idle target, or
// behind the work that is ahead of it. A queued request is refused once it would
// miss its deadline even if it were dispatched at once. Under overload, lower tiers
// yield first: queued requests of lower tiers are shed, and running ones are
// preempted when a request of a higher tier is about to miss its deadline or the
// queue is full. After a request was shed, new requests of lower tiers are refused
// and queued ones are not dispatched for [Limits.ShedHold].
//
// Tiers with [Terms.Wait] are not shed in favor of other tiers or on the prediction
// of a queueing delay. They wait as long as they can still meet their deadline and
// their part of the queue is not full.
//
// # Invariants
//
//   - A request id is dispatched at most once. The gate records each id until it
//     expires and refuses new ids when it can't record any more.
//   - An id whose refusal had Released set is never dispatched.
//   - No request is shed for lack of capacity while a request of a lower tier is
//     running, and none of a lower tier is dispatched during the hold that follows.
//   - An outcome claims that a request ran, or did not run, only if the gate's
//     records prove it.
//
// A Gate is a deterministic state machine: events and the time go in, actions come
// out. It has no goroutine, clock, I/O or source of randomness. All times are the
// agent's uptime.
//
// # Usage
//
//	g := gate.New("engine-3", incarnation, limits, policy, speed)
//	for _, a := range g.Step(now, gate.Arrive{Offer: o}) {
//		switch a := a.(type) {
//		case gate.Dispatch: // send the request of a.Stream to the target
//		case gate.Refuse:   // send a.Outcome to the entry of a.Stream
//		case gate.Queued:   // report to the entry of a.Stream that it is queued
//		case gate.Cancel:   // close the target's response for a.Stream
//		case gate.Drained:  // no request is left after a Drain event
//		}
//	}
//
// The returned slice is valid until the next Step.
package gate

import (
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/heap"
)

// StreamID identifies one offer stream at the agent. Values are never reused.
type StreamID uint64

// Offer is a request that an entry offers to the agent.
type Offer struct {
	Stream    StreamID
	ID        call.ID
	Workspace string
	Tier      string
	// Budget is the time left until the deadline.
	Budget time.Duration
	// Prompt, Cached and Output are estimated numbers of tokens. Cached is the part
	// of Prompt that the target is expected to have in its prefix cache.
	Prompt, Cached, Output int
	// Idempotent is false for requests with side effects. They are not canceled
	// when the entry disconnects.
	Idempotent bool
	// Streamed is true if the response is sent token by token, so that its first
	// byte marks the end of prefill.
	Streamed bool
}

// uncached returns the number of prompt tokens that the target must prefill.
func (o Offer) uncached() int { return max(o.Prompt-o.Cached, 0) }

// tokens returns the number of batch tokens that the request occupies.
func (o Offer) tokens() int { return o.Prompt + o.Output }

// Terms are the contract's terms for one tier of a workspace.
type Terms struct {
	Rank call.Rank
	// Wait is true if requests of the tier wait under overload instead of being
	// shed.
	Wait bool
	// Preemptible is true if running requests may be preempted before others.
	// Without it, or with Wait, they are preempted only if no other candidate is
	// left.
	Preemptible bool
	// Share is the workspace's weight in fair queueing; 0 counts as 1.
	Share float64
}

// Policy looks up contract terms. Implementations must be immutable.
type Policy interface {
	// Terms reports false if the contract does not allow the tier.
	Terms(workspace, tier string) (Terms, bool)
}

// Limits bound the work and the memory of a Gate. All fields must be positive.
type Limits struct {
	// Batch is the maximum number of requests running at the target.
	Batch int
	// BatchTokens is the maximum number of tokens of all running requests. A single
	// larger request runs alone.
	BatchTokens int
	// Queue is the maximum number of queued requests that may be shed, and
	// separately of those that must wait.
	Queue int
	// IDs is the maximum number of request ids that are recorded.
	IDs int
	// IDLifetime is the maximum lifetime of a request id.
	IDLifetime time.Duration
	// ShedHold is how long lower tiers are refused after a request was shed.
	ShedHold time.Duration
}

// state is the state of a job.
type state uint8

const (
	queued state = iota
	running
	// canceling jobs wait for the target's response to be closed. They no longer
	// occupy a slot.
	canceling
)

// job is an offer that is queued, running or being canceled.
type job struct {
	offer    Offer
	terms    Terms
	deadline time.Duration
	state    state
	started  time.Duration
	// prefillEnd is the predicted end of prefill, for responses that are not
	// streamed.
	prefillEnd time.Duration
	firstByte  time.Duration
	// prefilled is true once prefill is over: from the first byte on, which arrived
	// at firstByte, or from prefillEnd on if the response is not streamed.
	prefilled bool
	seq       uint64
	// tier is nil unless the job is queued. The fields below it are the job's
	// predicted service time and its places in the queue.
	tier                              *tierQueue
	workspace                         *workspaceQueue
	cost                              time.Duration
	tierNode, workspaceNode, costNode *heap.Node[*job]
}

// Gate is the scheduler of one target. It is not safe for concurrent use.
type Gate struct {
	target      string
	incarnation uint64
	limits      Limits
	policy      Policy
	speed       Speed
	ledger      *ledger
	queue       *queue
	jobs        map[StreamID]*job
	slots       map[StreamID]*job
	slotTokens  int
	// prefillTokens is the number of uncached prompt tokens of running requests
	// that are not prefilled.
	prefillTokens int
	hold          shedHold
	seq           uint64
	draining      bool
	drained       bool
	out           []Action
}

// New returns the gate of the target with the given name. It accepts only request
// ids that were made for this name and incarnation. The speed s is the initial
// estimate.
func New(target string, incarnation uint64, l Limits, p Policy, s Speed) *Gate {
	return &Gate{
		target:      target,
		incarnation: incarnation,
		limits:      l,
		policy:      p,
		speed:       s,
		ledger:      newLedger(l.IDs),
		queue:       newQueue(),
		jobs:        make(map[StreamID]*job),
		slots:       make(map[StreamID]*job),
	}
}

// Step handles one event at the given uptime and returns the actions to carry out,
// in order. The slice is valid until the next call.
func (g *Gate) Step(now time.Duration, e Event) []Action {
	g.out = g.out[:0]
	g.ledger.expire(now)
	g.endPrefill(now)
	e.apply(g, now)
	g.schedule(now)
	g.reportDrained()
	return g.out
}

// endPrefill marks requests whose response is not streamed as prefilled when their
// predicted prefill time is over, as no first token shows it.
func (g *Gate) endPrefill(now time.Duration) {
	for _, j := range g.slots {
		if !j.prefilled && !j.offer.Streamed && now >= j.prefillEnd {
			j.prefilled = true
			g.prefillTokens -= j.offer.uncached()
		}
	}
}

func (g *Gate) emit(a Action) {
	g.out = append(g.out, a)
}

// reportDrained emits Drained once, when no job is left after a Drain event. Jobs
// being canceled count until the target's response is closed.
func (g *Gate) reportDrained() {
	if g.draining && !g.drained && len(g.jobs) == 0 {
		g.drained = true
		g.emit(Drained{})
	}
}

// arrive checks a new offer, and queues or refuses it.
func (g *Gate) arrive(now time.Duration, o Offer) {
	if e, ok := g.checkID(now, o); !ok {
		g.emit(Refuse{Stream: o.Stream, Outcome: e})
		return
	}
	t, ok := g.policy.Terms(o.Workspace, o.Tier)
	j := &job{offer: o, terms: t, deadline: now + o.Budget, seq: g.seq}
	g.seq++
	switch {
	case g.draining:
		g.release(j, call.ReasonLeaving)
	case !ok:
		g.release(j, call.ReasonContractChanged)
	case g.speed.cost(o) > o.Budget:
		g.release(j, call.ReasonDeadlineUnreachable)
	case g.hold.blocks(now, t.Rank) && !t.Wait:
		g.release(j, call.ReasonOverload)
	default:
		g.admit(now, j)
	}
}

// checkID reports whether this incarnation may run the id. If not, it returns an
// outcome that claims no more than what the ledger proves.
func (g *Gate) checkID(now time.Duration, o Offer) (call.Outcome, bool) {
	t, err := call.ParseID(o.ID)
	if err != nil {
		return call.Unknown(call.ReasonWrongIncarnation), false
	}
	if t.Target() != g.target || t.Incarnation() != g.incarnation {
		return call.Unknown(call.ReasonWrongIncarnation), false
	}
	if t.Expiry() <= now || t.Expiry() > now+g.limits.IDLifetime {
		return call.Unknown(call.ReasonExpired), false
	}
	if e, known := g.ledger.outcome(o.ID); known {
		return e, false
	}
	if !g.ledger.add(o.ID, t.Expiry()) {
		return call.Unknown(call.ReasonOverload).WithRetryAfter(g.retryAfter()), false
	}
	return call.Outcome{}, true
}

// remove removes j from the queue or its slot, and from the jobs.
func (g *Gate) remove(j *job) {
	g.queue.remove(j)
	g.freeSlot(j)
	delete(g.jobs, j.offer.Stream)
}

// freeSlot frees the slot of j, if it has one.
func (g *Gate) freeSlot(j *job) {
	if _, ok := g.slots[j.offer.Stream]; !ok {
		return
	}
	delete(g.slots, j.offer.Stream)
	g.slotTokens -= j.offer.tokens()
	if !j.prefilled {
		g.prefillTokens -= j.offer.uncached()
	}
}

// start dispatches a queued job. It is the only function that emits Dispatch, and
// the ledger lets each id pass once.
func (g *Gate) start(now time.Duration, j *job) {
	if !g.ledger.dispatch(j.offer.ID) {
		g.remove(j)
		g.emit(Refuse{Stream: j.offer.Stream, Outcome: call.Unknown(call.ReasonDuplicate)})
		return
	}
	g.queue.dispatch(j)
	j.state = running
	j.started = now
	g.slots[j.offer.Stream] = j
	g.slotTokens += j.offer.tokens()
	g.prefillTokens += j.offer.uncached()
	j.prefillEnd = now + g.speed.Time(g.prefillTokens, 0)
	g.emit(Dispatch{Stream: j.offer.Stream})
}

// fits reports whether the target has a free slot for j and so little prefill in
// progress that j's own is not delayed for long. The target does not know tiers, so
// requests inside it can't be reordered.
func (g *Gate) fits(j *job) bool {
	if len(g.slots) == 0 {
		return true
	}
	if len(g.slots) >= g.limits.Batch || g.slotTokens+j.offer.tokens() > g.limits.BatchTokens {
		return false
	}
	return g.prefillTokens == 0 || g.speed.Time(g.prefillTokens+j.offer.uncached(), 0) <= prefillWindow
}

// prefillWindow is the maximum predicted prefill time of the prompts given to a
// target at once. A single prompt may take longer.
const prefillWindow = 150 * time.Millisecond

// disconnect handles the loss of an offer stream: the entry no longer waits for the
// response.
func (g *Gate) disconnect(c StreamID) {
	j, ok := g.jobs[c]
	if !ok {
		return
	}
	switch {
	case j.state == queued:
		// The id was not dispatched, and the offer under which it could have been
		// is gone, so a resubmission of the id may still run.
		g.remove(j)
		g.ledger.remove(j.offer.ID)
	case j.state == running && j.offer.Idempotent:
		g.cancel(j, call.ReasonCallerGone)
	}
}

// finish handles the end of a target's response.
func (g *Gate) finish(now time.Duration, f Finish) {
	j, ok := g.jobs[f.Stream]
	if !ok || j.state == queued {
		return
	}
	g.remove(j)
	switch {
	case f.Complete:
		g.ledger.set(j.offer.ID, completed)
		g.speed = g.speed.observe(j, now, f)
	case f.Unsent:
		g.ledger.set(j.offer.ID, released)
	default:
		g.ledger.set(j.offer.ID, truncated)
	}
}

// reconfigure replaces the policy, also for queued and running requests. Queued
// requests that the new policy does not allow are released; running ones that it
// does not allow keep their old terms.
func (g *Gate) reconfigure(p Policy) {
	g.policy = p
	for _, j := range g.queue.all() {
		t, ok := p.Terms(j.offer.Workspace, j.offer.Tier)
		if !ok {
			g.release(j, call.ReasonContractChanged)
			continue
		}
		g.queue.remove(j)
		j.terms = t
		g.queue.push(j, g.speed.cost(j.offer))
	}
	for _, j := range g.slots {
		if t, ok := p.Terms(j.offer.Workspace, j.offer.Tier); ok {
			j.terms = t
		}
	}
}

// drain releases all queued requests and starts refusing new ones.
func (g *Gate) drain() {
	g.draining = true
	for _, j := range g.queue.all() {
		g.release(j, call.ReasonLeaving)
	}
}
