package front

import (
	"context"
	"errors"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
	"kingcupstand/io/ctrl"
)

var (
	errPatience = errors.New("no turn in time")
	errBacklog  = errors.New("too many wait ahead")
	errLeft     = errors.New("caller left")
)

// waiter is one request that waits for a slot.
type waiter struct {
	granted chan turn
}

// turn is a slot at a target, or why there is none.
type turn struct {
	choice pool.Choice
	waited time.Duration
	// listAge is how old the list was that the choice is from.
	listAge time.Duration
	err     error
	refusal sched.Refusal
}

// turn waits for a slot for at most the given time.
func (q *request) turn(ctx context.Context, w pool.Criteria, patience time.Duration) turn {
	f := q.front
	wt := &waiter{granted: make(chan turn, 1)}
	var ticket *sched.Waiter[*waiter]
	a := sched.Request{Criteria: w, TierRank: q.rank, RouteRank: q.route.Rank, Late: q.late, MaxWait: patience, TimeLeft: time.Until(q.deadline)}
	refused := ctrl.Ask(f.loop, func(now time.Duration, s *state) *turn {
		ticket = s.desk.Enqueue(now, a, wt)
		s.changed = true
		f.pump(now, s, w.Service)
		if len(wt.granted) > 0 {
			return nil
		}
		if r, no := s.desk.Shed(now, ticket); no {
			return &turn{err: errBacklog, refusal: r, waited: r.Waited}
		}
		return nil
	})
	if refused != nil {
		return *refused
	}
	select {
	case t := <-wt.granted:
		return t
	default:
	}
	t := time.NewTimer(patience)
	defer t.Stop()
	why := errPatience
	select {
	case g := <-wt.granted:
		return g
	case <-ctx.Done():
		why = errLeft
	case <-t.C:
	}
	return ctrl.Ask(f.loop, func(now time.Duration, s *state) turn {
		r, left := s.desk.Remove(now, ticket)
		if !left {
			return <-wt.granted // the slot came just before
		}
		s.changed = true
		return turn{err: why, refusal: r, waited: r.Waited}
	})
}

// pump gives free slots to those whose turn it is.
func (f *Front) pump(now time.Duration, s *state, service string) {
	for {
		t, ok := s.desk.Next(now, service)
		if !ok {
			return
		}
		s.changed = true
		t.Waiter.Value.granted <- turn{choice: t.Choice, waited: t.Waited, listAge: s.list.Age(now)}
	}
}

// pumpAll gives free slots of all services to those whose turn it is.
func (f *Front) pumpAll(now time.Duration, s *state) {
	for _, name := range s.desk.Services() {
		f.pump(now, s, name)
	}
}
