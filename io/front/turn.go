package front

import (
	"context"
	"errors"
	"math"
	"time"

	"kingcupstand/core/line"
	"kingcupstand/core/pool"
	"kingcupstand/io/ctrl"
)

// Bounds of a wait for a turn.
const (
	// goalPart is the part of a goal that may pass until the first byte is due,
	// the rest is left for the way and for a prediction that is off.
	goalPart = 0.85
	// leastPart of a goal is always waited: fronts' views differ by about a beat.
	leastPart = 1.0 / 8
	// demandMemory is the time over which the demand is measured that slots are
	// divided by; it is longer, as a division that changes often fits nobody.
	demandMemory = 3 * time.Second
	// leastPause is the shortest time after which a refused caller is asked back.
	leastPause = 300 * time.Millisecond
	// longestPause is the longest: a burst lasts a few seconds.
	longestPause = 6 * time.Second
	// pausePart of the time that a caller has left is the most that it is asked to
	// stay away; callers heed no more than a third.
	pausePart = 0.33
)

var (
	errPatience = errors.New("no turn in time")
	errBacklog  = errors.New("too many wait ahead")
	errLeft     = errors.New("caller left")
)

// waiter is one request that waits for a slot.
type waiter struct {
	want    pool.Want
	service string
	granted chan turn
	ticket  *line.Ticket[*waiter]
	arrived time.Duration
}

// turn is a slot at a target, or why there is none.
type turn struct {
	choice pool.Choice
	err    error
	// retry is when a refused caller may find room.
	retry time.Duration
	// ahead and expected are what a refusal was decided by.
	ahead    int
	expected time.Duration
	waited   time.Duration
}

// asked counts a request that wants a turn.
func (q *queue) asked(now time.Duration) {
	q.demand = q.want(now) + 1/demandMemory.Seconds()
	q.demandAt = now
}

// want returns the requests a second that want a turn.
func (q *queue) want(now time.Duration) float64 {
	return q.demand * math.Exp(-float64(now-q.demandAt)/float64(demandMemory))
}

// queue returns the line before a service.
func (s *state) queue(service string) *queue {
	q := s.lines[service]
	if q == nil {
		q = &queue{line: line.New[*waiter]()}
		s.lines[service] = q
	}
	return q
}

// expect returns how long a request will wait for its turn.
func (f *Front) expect(now time.Duration, s *state, q *queue, t *line.Ticket[*waiter]) time.Duration {
	l := s.pool.Load(now, t.Value().service)
	return q.line.Expect(now, t, float64(l.Slots)/float64(max(1, f.fronts.Load())))
}

// turn waits for a slot for at most the given time.
func (q *request) turn(ctx context.Context, w pool.Want, patience time.Duration) turn {
	f := q.front
	wt := &waiter{want: w, service: w.Service, granted: make(chan turn, 1)}
	refused := ctrl.Ask(f.loop, func(now time.Duration, s *state) *turn {
		return f.join(now, s, wt, q, patience)
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
		l := s.queue(wt.service)
		if !l.line.Leave(wt.ticket) {
			return <-wt.granted // the slot came just before
		}
		s.changed = true
		return turn{
			err: why, ahead: l.line.Ahead(wt.ticket), expected: q.front.expect(now, s, l, wt.ticket),
			retry: q.pause(now, s, l, wt.ticket), waited: now - wt.arrived,
		}
	})
}

// join puts a request in line and returns its refusal if its turn would come too
// late.
func (f *Front) join(now time.Duration, s *state, w *waiter, q *request, patience time.Duration) *turn {
	l := s.queue(w.service)
	l.asked(now)
	w.arrived = now
	w.ticket = l.line.Join(now, line.Place{Rank: q.rank, Order: q.route.Rank, Late: q.late, Arrived: now}, w)
	f.pump(now, s, w.service)
	if len(w.granted) > 0 {
		return nil
	}
	s.changed = true
	n := l.line.Ahead(w.ticket)
	e := f.expect(now, s, l, w.ticket)
	if e <= patience || n == 0 {
		return nil
	}
	l.line.Leave(w.ticket)
	return &turn{err: errBacklog, ahead: n, expected: e, retry: q.pause(now, s, l, w.ticket)}
}

// pause returns when a refused caller is asked back. A pause makes most callers
// late, so they are asked back when the rush may be over rather than at once, and
// spread, so that those refused together don't return together.
func (q *request) pause(now time.Duration, s *state, l *queue, t *line.Ticket[*waiter]) time.Duration {
	longest := longestPause
	if !q.deadline.IsZero() {
		longest = min(longest, time.Duration(pausePart*float64(time.Until(q.deadline))))
	}
	e := max(leastPause, q.front.expect(now, s, l, t), longest/2)
	return max(leastPause, min(longest, time.Duration(float64(e)*(1+s.random.Float64()))))
}

// pump gives free slots to those whose turn it is.
func (f *Front) pump(now time.Duration, s *state, service string) {
	l := s.queue(service)
	for {
		p, w, ok := l.line.First(now)
		if !ok || !s.may(now, service, p.Rank) {
			return
		}
		c, err := s.pool.Choose(now, w.want)
		if err != nil {
			return
		}
		l.line.Next(now)
		s.changed = true
		s.pool.Begin(now, c.ID, w.want.Prompt)
		w.granted <- turn{choice: c, waited: now - w.arrived}
	}
}

// may reports whether a free slot is left for a rank after those that wait at
// peers with a higher one.
func (s *state) may(now time.Duration, service string, rank int) bool {
	h := pool.Hash(service)
	n := 0
	for _, k := range s.waits {
		for w, c := range k {
			if w.service == h && w.rank < rank {
				n += c
			}
		}
	}
	return n == 0 || s.pool.Free(now, service) > n
}
