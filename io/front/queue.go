package front

import (
	"context"
	"errors"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
	"kingcupstand/io/actor"
)

var (
	errMaxWait      = errors.New("no slot within the maximum wait")
	errOverload     = errors.New("expected wait exceeds the maximum wait")
	errDisconnected = errors.New("caller disconnected")
	errDrained      = errors.New("all targets that could take the request are in drained data centres")
	errVersionGone  = errors.New("no target is left of the version that began the stream")
)

// pending is what the scheduler holds for a queued request.
type pending struct {
	// granted has room for one grant, so that the control loop never blocks on it.
	granted chan grant
}

// grant is a slot at a target, or the reason why there is none.
type grant struct {
	choice pool.Choice
	// waited is the time spent in the queue.
	waited time.Duration
	// listAge is the age of the target list that the choice was made from.
	listAge time.Duration
	// err is nil if a slot was granted; refusal is set otherwise.
	err     error
	refusal sched.Refusal
}

// acquire queues the request and waits for a slot, at most for the given time. It returns
// at once if the scheduler sheds the request because its expected wait is longer, or if no
// target may go on with its stream.
func (q *request) acquire(ctx context.Context, w pool.Criteria, limit time.Duration) grant {
	f := q.front
	p := &pending{granted: make(chan grant, 1)}
	var waiter *sched.Waiter[*pending]
	a := sched.Request{Criteria: w, TierRank: q.tierRank, RouteRank: q.route.Rank, Workspace: q.workspaceHash(), Late: q.late, Hold: q.expectedHold, MaxWait: limit, TimeLeft: time.Until(q.deadline)}
	refused := actor.Ask(f.loop, func(now time.Duration, s *state) *grant {
		if s.pool.DrainedOnly(w) {
			return drainedRefusal(w)
		}
		if w.Pinned && !s.pool.Admits(w) {
			return &grant{err: errVersionGone, refusal: sched.Refusal{RetryAfter: versionRetry}}
		}
		waiter = s.sched.Enqueue(now, a, p)
		s.changed = true
		f.dispatchQueued(now, s, w.Service)
		if len(p.granted) > 0 {
			return nil
		}
		q.countOverShare(s, a)
		if r, shed := s.sched.Shed(now, waiter); shed {
			return &grant{err: errOverload, refusal: r, waited: r.Waited}
		}
		return nil
	})
	if refused != nil {
		return *refused
	}
	select {
	case g := <-p.granted:
		return g
	default:
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	err := errMaxWait
	select {
	case g := <-p.granted:
		return g
	case <-ctx.Done():
		err = errDisconnected
	case <-t.C:
	}
	return actor.Ask(f.loop, func(now time.Duration, s *state) grant {
		r, removed := s.sched.Remove(now, waiter)
		if !removed {
			return <-p.granted // granted just before the wait ended
		}
		s.changed = true
		return grant{err: err, refusal: r, waited: r.Waited}
	})
}

// dispatchQueued grants free slots of a service to queued requests.
func (f *Front) dispatchQueued(now time.Duration, s *state, service string) {
	for {
		g, ok := s.sched.Next(now, service)
		if !ok {
			return
		}
		s.changed = true
		g.Waiter.Value.granted <- grant{choice: g.Choice, waited: g.Waited, listAge: s.roster.Age(now)}
	}
}

// dispatchAll grants free slots of all services to queued requests.
func (f *Front) dispatchAll(now time.Duration, s *state) {
	for _, name := range s.sched.Services() {
		f.dispatchQueued(now, s, name)
	}
}
