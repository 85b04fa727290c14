package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"kingcupstand/core/event"
	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/io/actor"
)

// takeoverInterval is how long a silent exchange waits after no other target could take its
// request over, before it tries again.
const takeoverInterval = 200 * time.Millisecond

var errNoRetryBudget = errors.New("retry budget spent")

// takeover moves a request from a target that has fallen silent to another one. The exchange
// with the silent target goes on until the other target has begun to answer, because a sound
// target may be silent for a while, and a stream that is left without a successor is lost. Its
// methods may be called concurrently.
type takeover struct {
	mu sync.Mutex
	// received counts the reads that brought data, and at is the place after the last event that
	// was forwarded. busy is true between the two.
	received int
	at       event.Sequence
	busy     bool
	// ended is true once the request is not moved any more, and moved once it has been.
	ended, moved bool
	// cancel ends the attempts to move the request; nil if there are none.
	cancel context.CancelFunc
	// opening is true while a target that is to take the request over is being asked.
	opening bool
	// next is the exchange with the target that has taken the request over; nil if none has.
	next *exchange
	// failed are the exchanges that did not take it over, with their results.
	failed []failedExchange
	// runs counts the calls of runTakeover, which end before the exchange does.
	runs sync.WaitGroup
}

// failedExchange is an exchange that has ended without a response for the caller.
type failedExchange struct {
	exchange *exchange
	result   result
}

// silence is the state of an exchange at the beginning of a silence.
type silence struct {
	received int
	at       event.Sequence
}

// start begins attempts to move the request, and returns a context that ends with the silence.
// It returns false if the target is not silent or the exchange has ended. Each successful call
// is followed by one of runs.Done.
func (t *takeover) start(ctx context.Context) (context.Context, silence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.busy || t.moved {
		return nil, silence{}, false
	}
	t.runs.Add(1)
	t.stop()
	ctx, t.cancel = context.WithCancel(ctx)
	return ctx, silence{t.received, t.at}, true
}

// stop ends the attempts to move the request. The lock must be held.
func (t *takeover) stop() {
	if t.cancel != nil {
		t.cancel()
		t.cancel = nil
	}
}

// progress records that data has arrived. It returns false if the request has been moved, so
// that the data must not be used. Otherwise a call of forwarded follows.
func (t *takeover) progress() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.moved {
		return false
	}
	t.received++
	t.busy = true
	t.stop()
	return true
}

// forwarded records the place after the last event that was forwarded.
func (t *takeover) forwarded(at event.Sequence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy, t.at = false, at
}

// move reports whether the request is moved, which it is if the silence s has lasted until now
// and the exchange has not ended, or has failed meanwhile.
func (t *takeover) move(s silence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.received != s.received {
		return false
	}
	t.moved = t.moved || !t.ended
	return t.moved
}

// hasEnded reports whether the exchange has ended.
func (t *takeover) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// settle ends the attempts to move the request because its response is complete or is being
// forwarded. It returns false if the request has been moved.
func (t *takeover) settle() bool {
	t.end(false)
	return !t.moved
}

// end ends the attempts to move the request and waits for them. If the exchange has failed in a
// silence, the request is moved to a target that is already being asked.
func (t *takeover) end(failed bool) {
	t.mu.Lock()
	if failed && t.opening && t.cancel != nil && !t.ended {
		t.moved = true
	}
	t.ended = true
	if !t.moved {
		t.stop()
	}
	t.mu.Unlock()
	t.runs.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop()
}

// ask records that a target is being asked to take the request over. It returns false if the
// silence, whose context is ctx, is over. A failed request is then sent again as any other: a target
// that were asked now would be left at once, and no attempt might remain for it.
func (t *takeover) ask(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || ctx.Err() != nil {
		return false
	}
	t.opening = true
	return true
}

// answer records that n has taken the request over, or that f has failed to.
func (t *takeover) answer(n *exchange, f ...failedExchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opening, t.next = false, n
	t.failed = append(t.failed, f...)
}

// failures returns the exchanges that have failed to take the request over.
func (t *takeover) failures() []failedExchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.failed)
}

// runTakeover reports a silent target to the pool. If the request may be sent to another target,
// it tries to move it there until the target goes on.
func (e *exchange) runTakeover() {
	t := &e.takeover
	ctx, s, ok := t.start(e.parent)
	if !ok {
		return
	}
	defer t.runs.Done()
	q := e.request
	// A stream whose events have no ids that can be compared can only be begun anew.
	movable := e.movable() && (s.received == 0 || s.at.Joinable())
	e.reportSilence(movable)
	for ; movable && ctx.Err() == nil; movable = e.movable() {
		err := e.tryTakeover(ctx, s)
		if err == nil || t.hasEnded() {
			return
		}
		q.front.log("kept", "request stays at silent target", "request-id", q.call.ID, "target", e.choice.ID, "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(takeoverWait(err)):
		}
	}
}

// takeoverWait returns how long to wait after an attempt to move a request has failed. A third target is
// asked at once if the second fell silent, too: that has taken much of the request's time.
func takeoverWait(err error) time.Duration {
	if errors.Is(err, errStalled) {
		return 0
	}
	return takeoverInterval
}

// reportSilence reports a silent target to the pool. Movable is true if the request may be sent
// to another target.
func (e *exchange) reportSilence(movable bool) {
	q := e.request
	q.front.log("stalled", "target silent", "request-id", q.call.ID, "target", e.choice.ID, "predicted-ms", e.choice.ExpectedFirstByte.Milliseconds(),
		"silent-since-ms", time.Since(e.started).Milliseconds(), "moved", movable)
	q.front.loop.Post(func(now time.Duration, s *state) { s.pool.MarkStalled(now, e.choice.ID) })
}

// movable reports whether the request may be sent to another target.
func (e *exchange) movable() bool {
	return e.request.route.Repeatable() && !e.request.probing && e.attemptsUnused() > 0 && len(e.takeover.failures()) < e.dispatchesLeft
}

// attemptsUnused returns how many more targets may get the request.
func (e *exchange) attemptsUnused() int {
	n := e.attemptsLeft
	for _, f := range e.takeover.failures() {
		if f.result.sent {
			n--
		}
	}
	return n
}

// tryTakeover sends the request to another target, and moves it there once the target has begun
// to answer it. It returns nil if the request has been moved.
func (e *exchange) tryTakeover(ctx context.Context, s silence) error {
	q, t := e.request, &e.takeover
	g, err := e.reserve(ctx, s)
	if err != nil {
		return err
	}
	n := q.newExchange(e.parent, g.choice, s.at, e.sends+1)
	n.continues = e.continues || s.received > 0
	n.criteria = e.criteria
	n.criteria.Exclude = append(e.excluded(), n.choice.ID)
	n.second = true
	// If the other target falls silent, too, a third one is asked instead. Without a further
	// attempt, either of the two may still answer.
	further := e.attemptsUnused() > 1
	k := time.AfterFunc(n.firstByteStall(), func() {
		n.reportSilence(further)
		if further {
			n.cancel(errStalled)
		}
	})
	stop := context.AfterFunc(ctx, func() { n.cancel(errSilenceEnded) })
	v := n.open()
	k.Stop()
	if n.opened && stop() && e.leave(s) {
		t.answer(n)
		q.front.log("moved", "request moved from silent target", "request-id", q.call.ID, "target", e.choice.ID, "to", n.choice.ID, "waited-ms", g.waited.Milliseconds())
		return nil
	}
	if v.err == nil {
		v.err = errSilenceEnded
	}
	v = n.end(v)
	t.answer(nil, failedExchange{n, v})
	return v.err
}

// leave cancels the exchange with the silent target unless it has gone on. It reports whether
// the exchange is left.
func (e *exchange) leave(s silence) bool {
	if !e.takeover.move(s) {
		return false
	}
	e.cancel(errStalled)
	return true
}

// excluded returns the targets that have had the request, or refused it.
func (e *exchange) excluded() []string {
	ids := slices.Clone(e.criteria.Exclude)
	for _, f := range e.takeover.failures() {
		ids = append(ids, f.exchange.choice.ID)
	}
	return ids
}

// reserve waits for a slot at another target, which is being asked from then on, and takes a retry
// from the budget.
func (e *exchange) reserve(ctx context.Context, s silence) (grant, error) {
	q := e.request
	if !actor.Ask(q.front.loop, func(now time.Duration, s *state) bool { return s.budget.Remaining(now, q.service) >= 1 }) {
		return grant{}, errNoRetryBudget
	}
	c := e.criteria
	c.Exclude = e.excluded()
	c.TimeLeft = time.Until(q.deadline)
	limit := c.TimeLeft
	if q.route.Kind == plan.Stream {
		limit = q.streamStall()
		if s.received > 0 {
			c.Pinned, c.Version = true, e.choice.Version
		}
	}
	g := q.acquire(ctx, c, limit)
	if g.err != nil {
		return grant{}, g.err
	}
	if !e.takeover.ask(ctx) {
		q.release(g.choice, q.service)
		return grant{}, errSilenceEnded
	}
	if !q.takeRetry(errStalled, []string{e.choice.ID}) {
		e.takeover.answer(nil)
		q.release(g.choice, q.service)
		return grant{}, errNoRetryBudget
	}
	return g, nil
}

// takeoverCriteria returns the criteria for a target that takes the request over from a target.
func (q *request) takeoverCriteria(from pool.Choice) pool.Criteria {
	c := q.criteria()
	c.Exclude = append(slices.Clone(q.excluded), from.ID)
	q.pin(&c, from.Version)
	return c
}

// adopt records what the exchanges did that were to take the request over. It returns the
// result of the exchange that the request was moved from, if it is moved to none.
func (q *request) adopt(t *takeover, v result) result {
	for _, f := range t.failed {
		q.recordDispatch(f.exchange, f.result)
	}
	if t.next == nil {
		return v
	}
	q.recordDispatch(t.next, result{sent: true, mayHaveRun: true})
	if v.done {
		t.next.cancel(errSilenceEnded)
		t.next.end(result{sent: true, mayHaveRun: true, err: errSilenceEnded})
		return v
	}
	q.next = t.next
	return v
}
