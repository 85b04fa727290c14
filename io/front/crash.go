package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"kingcupstand/core/poison"
	"kingcupstand/core/pool"
	"kingcupstand/io/actor"
	"kingcupstand/io/dial"
)

const (
	// begunEvents is the number of events after which a target has evidently begun to answer a
	// request without crashing.
	begunEvents = 8
	// crashChecks is how often a front tries to connect to a target that has broken off a
	// response, and crashCheckWait how long it waits after each. The connections of a process
	// that crashes may end shortly before its listener, and a process that is too busy for more
	// connections may close one at once.
	crashChecks    = 3
	crashCheckWait = 50 * time.Millisecond
)

// suspectsCrash reports whether the request may have crashed its target: the target broke off
// the connection, and had hardly begun to answer.
func (e *exchange) suspectsCrash() bool {
	return e.outcome == pool.Broken && e.broken && e.received < begunEvents && e.ctx.Err() == nil
}

// crashCheck is a check whether a target has crashed, with the requests that it had hardly begun
// to answer and the parts of their prompts.
type crashCheck struct {
	choice   pool.Choice
	parts    []string
	requests []poison.Part
}

// checkCrash checks whether a target that has broken off a response has crashed.
func (f *Front) checkCrash(s *state, c pool.Choice, q *request) {
	k := s.crashChecks[c.ID]
	if k == nil {
		k = &crashCheck{choice: c}
		s.crashChecks[c.ID] = k
		go f.runCrashCheck(k)
	}
	for _, p := range q.call.Parts {
		if !slices.Contains(k.parts, p) {
			k.parts = append(k.parts, p)
		}
	}
	if !slices.Contains(k.requests, q.identity) {
		k.requests = append(k.requests, q.identity)
	}
}

// cutOff reports whether a response whose end is the end of the connection was cut off by the end of
// its target's process: the target isn't leaving, and refuses connections.
func (e *exchange) cutOff(a *http.Response) bool { return unframed(a) && e.stays() && e.refuses() }

// stays reports whether the target is listed and isn't leaving.
func (e *exchange) stays() bool {
	q, c := e.request, e.choice
	return actor.Ask(q.front.loop, func(_ time.Duration, s *state) bool {
		return slices.ContainsFunc(s.pool.Targets(q.service), func(t pool.Target) bool { return t.ID == c.ID && !t.Leaving })
	})
}

// refuses reports whether the target's host refuses connections. If it can't be reached, the result is true
// for a request that another target may answer.
func (e *exchange) refuses() bool {
	refused, reached := e.reach(0)
	return refused || !reached && e.request.route.Repeatable()
}

// gone reports whether the target's process may have ended with a response whose end is the end of the
// connection. A target that leaves may end at any time, and its listener shortly after its connections; it
// may also have closed its listener before the response was whole. Then the response counts as cut off: the
// caller of one that was whole may ask again, that of one that wasn't couldn't know.
func (e *exchange) gone(a *http.Response) bool {
	switch {
	case !unframed(a):
		return false
	case e.stays():
		return e.refuses()
	}
	time.Sleep(crashCheckWait)
	_, reached := e.reach(crashCheckWait)
	return !reached
}

// reach tries to connect to the target. It reports whether the target's host refuses connections, and whether
// it accepts one that stays open for the time wait.
func (e *exchange) reach(wait time.Duration) (refused, reached bool) {
	for range crashChecks {
		err := e.request.front.dialer.Reach(e.parent, e.choice.Address, wait)
		e.request.front.observeRefusal(e.choice, err)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err != nil, err == nil
		}
	}
	return false, false
}

// observeRefusal records that the process of a target has ended, if an error of a connection to it shows that.
func (f *Front) observeRefusal(c pool.Choice, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.loop.Post(func(_ time.Duration, s *state) { s.pool.ObserveEnd(c) })
	}
}

// runCrashCheck tries to connect to a target. It has crashed if its host refuses connections, or
// if what forwards them closes each at once: a target that can't be reached, or goes on, has
// another fault.
func (f *Front) runCrashCheck(k *crashCheck) {
	refused, closed := false, 0
	for n := 0; n < crashChecks && !refused; n++ {
		err := f.dialer.Check(context.Background(), k.choice.Address, crashCheckWait)
		f.observeRefusal(k.choice, err)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			refused = true
		case errors.Is(err, dial.ErrClosed):
			closed++
		default:
			time.Sleep(crashCheckWait)
		}
	}
	crashed := refused || closed == crashChecks
	f.loop.Post(func(now time.Duration, s *state) {
		delete(s.crashChecks, k.choice.ID)
		f.log("crash", "target broke off responses", "target", k.choice.ID, "address", k.choice.Address, "crashed", crashed, "parts", k.parts, "requests", k.requests)
		if crashed {
			f.recordCrash(now, s, poison.CrashOf(k.choice.ID, k.choice.Born), Call{Parts: k.parts}.parts(), k.requests)
		}
	})
}
