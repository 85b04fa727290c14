// Package gate decides what one agent's target runs. It is the only gate to the
// target: it keeps the queue, orders it by tier and deadline, dispatches each
// request at most once, and makes room for higher tiers.
//
// A Gate is a deterministic state machine. Events and the time go in, Actions
// come out; it has no goroutine, clock, socket or random source. The time is the
// agent's uptime.
//
// # Usage
//
//	g := gate.New("engine-3", incarnation, limits, policy, speed)
//	for _, a := range g.Step(now, gate.Arrive{Offer: o}) {
//		switch a := a.(type) {
//		case gate.Dispatch: // send the request of a.Conn to the target
//		case gate.Refuse:   // answer a.Conn with a.Ending
//		case gate.Hold:     // tell a.Conn that it is queued
//		case gate.Cancel:   // close the target's answer for a.Conn
//		case gate.Drained:  // nothing runs any more after a Drain event
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

// StreamID identifies one offer stream at the agent. Conns are never used again.
type StreamID uint64

// Offer is a request as an entry offers it.
type Offer struct {
	Stream    StreamID
	ID        call.ID
	Workspace string
	Tier      string
	// Budget is the time left until the deadline.
	Budget time.Duration
	// Prompt, Cached and Output are estimates in tokens. Cached counts the part
	// of Prompt that the target is believed to have in its prefix cache.
	Prompt, Cached, Output int
	// Idempotent is false for requests that change something when they run.
	Idempotent bool
	// Streamed is true if the answer comes token by token, so that its first token
	// shows the end of the prompt's computation.
	Streamed bool
}

// uncached returns the prompt tokens that the target must compute.
func (o Offer) uncached() int { return max(o.Prompt-o.Cached, 0) }

// tokens returns the tokens that the request occupies in a batch.
func (o Offer) tokens() int { return o.Prompt + o.Output }

// Terms are what the contract says of one workspace's tier.
type Terms struct {
	Rank call.Rank
	// Wait is true if overload makes the tier wait instead of being refused.
	Wait bool
	// Preemptible is true if running requests may be cut before other victims.
	Preemptible bool
	// Share is the workspace's part of the capacity; 0 counts as 1.
	Share float64
}

// Policy looks up contract terms. Implementations are immutable.
type Policy interface {
	// Terms reports false if the contract does not allow the tier.
	Terms(workspace, tier string) (Terms, bool)
}

// Limits bound a gate. All fields must be above zero.
type Limits struct {
	// Batch is the most requests given to the target at once.
	Batch int
	// BatchTokens is the most tokens given to the target at once. A single
	// larger request runs alone.
	BatchTokens int
	// Queue is the most requests held that may be shed, and as many again that
	// must wait.
	Queue int
	// IDs is the most request ids remembered.
	IDs int
	// IDLife is the longest lifetime of a request id.
	IDLife time.Duration
	// ShedHold is how long lower tiers are refused after a tier was shed.
	ShedHold time.Duration
}

// state is where a job is in its life.
type state uint8

const (
	queued state = iota
	running
	// closing jobs were told to stop; they no longer occupy a slot.
	closing
)

// job is one offer that was neither refused nor finished.
type job struct {
	offer    Offer
	terms    Terms
	deadline time.Duration
	state    state
	started  time.Duration
	// presumed is when the prompt of an answer that is not streamed is taken for
	// computed.
	presumed time.Duration
	first    time.Duration
	// answering is true from the first token on, which came at first.
	answering bool
	seq       uint64
	// lane is nil unless the job is queued; the rest is its place there.
	lane                    *lane
	space                   *space
	own                     time.Duration
	early, inSpace, inOrder *heap.Node[*job]
}

// Gate is the state of one agent. It is not safe for concurrent use.
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
	// prefilling counts the prompt tokens of running requests that have not got
	// their first token.
	prefilling int
	floor      floor
	seq        uint64
	draining   bool
	drained    bool
	out        []Action
}

// New returns the gate of the named target's agent.
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

// Step takes one event at the given uptime and returns what is to be done.
func (g *Gate) Step(now time.Duration, e Event) []Action {
	g.out = g.out[:0]
	g.ledger.expire(now)
	g.presume(now)
	e.apply(g, now)
	g.pump(now)
	g.reportDrained()
	return g.out
}

// presume takes the prompts of answers that are not streamed for computed once
// their predicted time is over, as no first token will show it.
func (g *Gate) presume(now time.Duration) {
	for _, j := range g.slots {
		if !j.answering && !j.offer.Streamed && now >= j.presumed {
			j.answering = true
			g.prefilling -= j.offer.uncached()
		}
	}
}

func (g *Gate) emit(a Action) {
	g.out = append(g.out, a)
}

// reportDrained emits Drained once, when nothing runs after a Drain event.
// Closing jobs count as running until the target's answer is closed.
func (g *Gate) reportDrained() {
	if g.draining && !g.drained && len(g.jobs) == 0 {
		g.drained = true
		g.emit(Drained{})
	}
}

// arrive judges a new offer and queues it if it may run.
func (g *Gate) arrive(now time.Duration, o Offer) {
	if e, ok := g.judgeID(now, o); !ok {
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
	case g.speed.own(o) > o.Budget:
		g.release(j, call.ReasonDeadlineUnreachable)
	case g.floor.blocks(now, t.Rank) && !t.Wait:
		g.release(j, call.ReasonOverload)
	default:
		g.admit(now, j)
	}
}

// judgeID decides whether this incarnation may run the id at all. The ending it
// returns otherwise claims no more than what the ledger shows.
func (g *Gate) judgeID(now time.Duration, o Offer) (call.Outcome, bool) {
	t, err := call.ParseID(o.ID)
	if err != nil {
		return call.Unknown(call.ReasonWrongIncarnation), false
	}
	if t.Target() != g.target || t.Incarnation() != g.incarnation {
		return call.Unknown(call.ReasonWrongIncarnation), false
	}
	if t.Expiry() <= now || t.Expiry() > now+g.limits.IDLife {
		return call.Unknown(call.ReasonExpired), false
	}
	if e, known := g.ledger.judge(o.ID); known {
		return e, false
	}
	if !g.ledger.add(o.ID, t.Expiry()) {
		return call.Unknown(call.ReasonOverload).WithRetryAfter(g.retryAfter()), false
	}
	return call.Outcome{}, true
}

// forget removes j from the queue or its slot.
func (g *Gate) forget(j *job) {
	g.queue.remove(j)
	g.vacate(j)
	delete(g.jobs, j.offer.Stream)
}

// vacate frees the slot of j, if it has one.
func (g *Gate) vacate(j *job) {
	if _, ok := g.slots[j.offer.Stream]; !ok {
		return
	}
	delete(g.slots, j.offer.Stream)
	g.slotTokens -= j.offer.tokens()
	if !j.answering {
		g.prefilling -= j.offer.uncached()
	}
}

// start dispatches a queued job. This is the only place that emits Dispatch, and
// the ledger lets each id through once.
func (g *Gate) start(now time.Duration, j *job) {
	if !g.ledger.begin(j.offer.ID) {
		g.forget(j)
		g.emit(Refuse{Stream: j.offer.Stream, Outcome: call.Unknown(call.ReasonDuplicate)})
		return
	}
	g.queue.take(j)
	j.state = running
	j.started = now
	g.slots[j.offer.Stream] = j
	g.slotTokens += j.offer.tokens()
	g.prefilling += j.offer.uncached()
	j.presumed = now + g.speed.Time(g.prefilling, 0)
	g.emit(Dispatch{Stream: j.offer.Stream})
}

// fits reports whether the target has a free slot for j, and computes so little
// of other prompts that j's own is not held up for long: the target knows no
// tiers, so what waits inside it can't be overtaken.
func (g *Gate) fits(j *job) bool {
	if len(g.slots) == 0 {
		return true
	}
	if len(g.slots) >= g.limits.Batch || g.slotTokens+j.offer.tokens() > g.limits.BatchTokens {
		return false
	}
	return g.prefilling == 0 || g.speed.Time(g.prefilling+j.offer.uncached(), 0) <= prefillWindow
}

// prefillWindow is the most prompt work that a target is given at once, unless
// it is a single prompt.
const prefillWindow = 150 * time.Millisecond

// depart handles the loss of an offer stream: nobody waits for the answer.
func (g *Gate) depart(c StreamID) {
	j, ok := g.jobs[c]
	if !ok {
		return
	}
	switch {
	case j.state == queued:
		// Nothing was dispatched and the stream that held the right is gone, so a
		// resubmission of the id may still run.
		g.forget(j)
		g.ledger.remove(j.offer.ID)
	case j.state == running && j.offer.Idempotent:
		g.cancel(j, call.ReasonCallerGone)
	}
}

// finish handles the end of a target's answer.
func (g *Gate) finish(now time.Duration, f Finish) {
	j, ok := g.jobs[f.Stream]
	if !ok || j.state == queued {
		return
	}
	g.forget(j)
	switch {
	case f.Complete:
		g.ledger.set(j.offer.ID, whole)
		g.speed = g.speed.observe(j, now, f)
	case f.Unsent:
		g.ledger.set(j.offer.ID, released)
	default:
		g.ledger.set(j.offer.ID, cut)
	}
}

// reconfigure puts a policy in force for queued and running work as well.
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
		g.queue.push(j, g.speed.own(j.offer))
	}
	for _, j := range g.slots {
		if t, ok := p.Terms(j.offer.Workspace, j.offer.Tier); ok {
			j.terms = t
		}
	}
}

// drain hands all queued work back and takes no more.
func (g *Gate) drain() {
	g.draining = true
	for _, j := range g.queue.all() {
		g.release(j, call.ReasonLeaving)
	}
}
