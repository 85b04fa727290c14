package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/io/actor"
)

var errWithheld = errors.New("target wants no requests since it was chosen")

// fromTarget reports whether a response is certainly the target's. A misdirected request (421)
// has reached another process.
func (r Reply) fromTarget(status int) bool {
	return status != http.StatusMisdirectedRequest && (r.HasLimit || r.Leaving || r.HasReceipt || r.NotRun)
}

// observeNotices records what a response states about its target, before the body is read: it holds
// whatever becomes of the response.
func (e *exchange) observeNotices(status int, r Reply) {
	if !r.fromTarget(status) {
		e.logIgnoredPause(r)
		return
	}
	e.observePause(status, r)
	e.observeWarming(r)
	if !r.Leaving {
		return
	}
	f, c, id := e.request.front, e.choice, e.request.call.ID
	f.loop.Post(func(now time.Duration, s *state) {
		if s.pool.ObserveLeaving(c) {
			f.log("leaving", "target leaves", "target", c.ID, "address", c.Address, "born", c.Born, "request-id", id, "status", status)
			f.withholdTargets(now, s)
			f.rejectDrained(now, s)
			f.assignSlots(now, s)
		}
	})
}

// observePause records for how long the target wants nothing from this front.
func (e *exchange) observePause(status int, r Reply) {
	f, c, id := e.request.front, e.choice, e.request.call.ID
	if r.RetryAfterErr != nil {
		f.log("pause", "pause of a target ignored", "target", c.ID, "request-id", id, "error", r.RetryAfterErr.Error())
		return
	}
	if !r.HasRetryAfter {
		return
	}
	f.loop.Post(func(now time.Duration, s *state) {
		if v, ok := s.pool.ObservePause(now, c, r.RetryAfter); ok {
			f.log("pause", "target pauses", "target", c.ID, "address", c.Address, "born", c.Born, "request-id", id, "status", status,
				"pause-ms", (v.Until - now).Milliseconds(), "was-ms", max(0, v.Was-now).Milliseconds(), "until", time.Now().Add(v.Until-now).UTC())
			f.withholdTargets(now, s)
		}
	})
}

// logIgnoredPause logs that a response names a time for which the target wants nothing, and begins
// no pause because something else may have made it.
func (e *exchange) logIgnoredPause(r Reply) {
	if r.HasRetryAfter {
		e.request.front.log("pause", "pause of a target ignored", "target", e.choice.ID, "request-id", e.request.call.ID, "error", "response is not certainly the target's")
	}
}

// pauseLeft returns the time until the first target that suits the request ends its pause; 0 if
// one is in no pause, or if the request's context has ended.
func (q *request) pauseLeft(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	c := q.criteria()
	return actor.Ask(q.front.loop, func(now time.Duration, s *state) time.Duration { return s.pool.PauseLeft(now, c) })
}

// withholdTargets publishes which targets must get no requests.
func (f *Front) withholdTargets(now time.Duration, s *state) {
	m := s.pool.Withheld(now)
	f.withheldTargets.Store(&m)
	paused := 0
	for _, until := range m {
		if until != pool.Forever {
			paused++
		}
	}
	f.meter.leaving.Update(float64(s.pool.CountLeaving()))
	f.meter.paused.Update(float64(paused))
}

// withheld reports whether a target must get no requests. It may have been chosen before that
// was known, and the request has waited for a connection since.
func (f *Front) withheld(id string) bool {
	until, ok := (*f.withheldTargets.Load())[id]
	return ok && f.loop.Now() < until
}

// handleNotRun handles a response which guarantees that the request has not run, unless it is
// cut off. A misdirected request (421) reached another process than the target. The connection isn't
// kept then: the request may come to that process once more, under the process's own id, and a
// duplicate of this response would name it.
func (e *exchange) handleNotRun(a *http.Response) result {
	if err := discard(a.Body); err != nil {
		e.broken = true
		return result{sent: true, mayHaveRun: true, err: fmt.Errorf("read response body: %w", err)}
	}
	if a.StatusCode == http.StatusMisdirectedRequest {
		e.outcome = pool.Misdirected
	} else {
		e.keep(a)
		e.outcome = pool.Rejected
	}
	return result{sent: true, err: fmt.Errorf("status %d: %w", a.StatusCode, errNotRun)}
}
