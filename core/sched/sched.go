// Package sched decides about turns at a front: who waits for a slot, who is refused
// and when to come back, and which target a request goes to. It needs no network
// and no clock, so load patterns are played against it in virtual time.
//
// # Usage
//
//	d := desk.New[*request](pool, random)
//	t := d.Join(now, desk.Ask{Want: want, Patience: 400 * time.Millisecond, Left: 8 * time.Second}, r)
//	for u, ok := d.Next(now, "service"); ok; u, ok = d.Next(now, "service") { send(u.Ticket.Value, u.Choice) }
//	if f, refused := d.Judge(now, t); refused { answer(r, f.Retry) }
//	if f, left := d.Leave(now, t); left { answer(r, f.Retry) }
//	d.Hear("192.0.2.7:7600", said)
//
// A request whose turn is not expected within its patience is refused at once, and
// told when to come back. All fronts send to all targets, as if one line stood
// before them: a front holds a request back while peers have others waiting whose
// turn comes before it, and knows which slots are its own.
package sched

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/core/queue"
	"kingcupstand/core/share"
)

// demandMemory is the time over which the demand is measured that slots are
// divided by: longer than bursts of a second, as a division that changes often
// fits nobody.
const demandMemory = 3 * time.Second

// pressAfter is how long the most urgent kind waits for a slot that is free or this
// front's own: about a beat of the smallest deployment whose slots are divided, after
// which its turn should have come if all fronts' lines were one.
const pressAfter = 60 * time.Millisecond

// Request is a request's claim to a turn.
type Request struct {
	Criteria pool.Criteria
	// TierRank is the tier; 0 goes first.
	TierRank int
	// RouteRank is the route's rank within the tier; 0 is the most urgent.
	RouteRank int
	// Late is true if the goal has been missed already.
	Late bool
	// MaxWait is how long the turn may take, and Left how long the caller will
	// wait for the whole answer.
	MaxWait  time.Duration
	TimeLeft time.Duration
}

// Waiter is the handle of a request that waits.
type Waiter[T any] struct {
	Value  T
	ask    Request
	joined time.Duration
	place  *queue.Handle[*Waiter[T]]
}

// Grant is a slot at a target, which the pool counts as begun.
type Grant[T any] struct {
	Waiter *Waiter[T]
	Choice pool.Choice
	// Waited is how long the request waited for it.
	Waited time.Duration
}

// Refusal is why a request gets no turn.
type Refusal struct {
	// Ahead and Expected are the requests before it and the wait that it faced.
	Ahead        int
	ExpectedWait time.Duration
	Waited       time.Duration
	// RetryAfter is when the caller may find room.
	RetryAfter time.Duration
}

// serviceQueue is the line before one service.
type serviceQueue[T any] struct {
	line *queue.Queue[*Waiter[T]]
	// demand is how many requests a second have lately wanted a turn.
	demand float64
	at     time.Duration
}

func (q *serviceQueue[T]) want(now time.Duration) float64 {
	return q.demand * math.Exp(-float64(now-q.at)/float64(demandMemory))
}

// Scheduler decides for one front. It is not safe for concurrent use.
type Scheduler[T any] struct {
	pool   *pool.Pool
	random *rand.Rand
	queues map[string]*serviceQueue[T]
	peers  map[string]Report
	fronts int
}

// New returns a Desk that gives out the slots of a pool's targets.
func New[T any](p *pool.Pool, r *rand.Rand) *Scheduler[T] {
	return &Scheduler[T]{pool: p, random: r, queues: map[string]*serviceQueue[T]{}, peers: map[string]Report{}, fronts: 1}
}

// Services returns the names of the services that turns were asked for.
func (d *Scheduler[T]) Services() []string {
	ns := make([]string, 0, len(d.queues))
	for n := range d.queues {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// Waiting returns how many requests wait for a service.
func (d *Scheduler[T]) Waiting(service string) int { return d.queue(service).line.Len() }

// Demand returns how many requests a second have lately wanted a service.
func (d *Scheduler[T]) Demand(now time.Duration, service string) float64 {
	return d.queue(service).want(now)
}

func (d *Scheduler[T]) queue(service string) *serviceQueue[T] {
	q := d.queues[service]
	if q == nil {
		q = &serviceQueue[T]{line: queue.New[*Waiter[T]]()}
		d.queues[service] = q
	}
	return q
}

// Enqueue puts a request in line. Next may give it its turn at once; if it doesn't,
// Judge tells whether waiting makes sense.
func (d *Scheduler[T]) Enqueue(now time.Duration, a Request, v T) *Waiter[T] {
	q := d.queue(a.Criteria.Service)
	q.demand, q.at = q.want(now)+1/demandMemory.Seconds(), now
	t := &Waiter[T]{Value: v, ask: a, joined: now}
	t.place = q.line.Push(now, queue.SortKey{TierRank: a.TierRank, RouteRank: a.RouteRank, Late: a.Late, Arrived: now}, t)
	return t
}

// Shed takes a waiting request out of the line and reports true if its turn would
// come too late.
func (d *Scheduler[T]) Shed(now time.Duration, t *Waiter[T]) (Refusal, bool) {
	f := d.refusal(now, t)
	if f.Ahead == 0 || f.ExpectedWait <= t.ask.MaxWait {
		return Refusal{}, false
	}
	d.queue(t.ask.Criteria.Service).line.Remove(t.place)
	return f, true
}

// Remove takes a request out of the line whose patience has ended or whose caller
// has left. It reports false if the request has had its turn.
func (d *Scheduler[T]) Remove(now time.Duration, t *Waiter[T]) (Refusal, bool) {
	if !d.queue(t.ask.Criteria.Service).line.Remove(t.place) {
		return Refusal{}, false
	}
	return d.refusal(now, t), true
}

// refusal says what speaks against waiting.
func (d *Scheduler[T]) refusal(now time.Duration, t *Waiter[T]) Refusal {
	q := d.queue(t.ask.Criteria.Service)
	slots := float64(d.pool.Load(now, t.ask.Criteria.Service).Slots) / float64(d.fronts)
	f := Refusal{Ahead: q.line.Ahead(t.place), ExpectedWait: q.line.ExpectedWait(now, t.place, slots), Waited: now - t.joined}
	f.RetryAfter = pause(f.ExpectedWait, t.ask.TimeLeft-f.Waited, d.random.Float64())
	return f
}

// Next gives the next request of a service its turn. It reports false if nobody
// waits or no slot is left for who does.
func (d *Scheduler[T]) Next(now time.Duration, service string) (Grant[T], bool) {
	l := d.queue(service).line
	p, t, ok := l.Peek(now)
	if !ok || !d.may(now, service, queue.Priority{TierRank: p.TierRank, Late: p.Late}) {
		return Grant[T]{}, false
	}
	w := t.ask.Criteria
	w.Oversubscribe = t.ask.RouteRank == 0 && !t.ask.Late && now-t.joined >= pressAfter
	c, err := d.pool.Choose(now, w)
	if err != nil {
		return Grant[T]{}, false // full or without targets: the next event tries again
	}
	l.Pop(now)
	d.pool.Begin(now, c.ID, t.ask.Criteria.PromptTokens)
	return Grant[T]{Waiter: t, Choice: c, Waited: now - t.joined}, true
}

// may reports whether a free slot is left for a request after those that wait at
// peers and come before it: who is of a higher rank, or can still be on time where
// this one can't.
func (d *Scheduler[T]) may(now time.Duration, service string, c queue.Priority) bool {
	h, n := pool.Hash(service), 0
	for _, s := range d.peers {
		for w, k := range s.Waiting {
			if w.Service == h && w.Priority.Before(c) {
				n += k
			}
		}
	}
	return n == 0 || d.pool.FreeSlots(now, service) > n
}

// AddHold learns how long a request kept its slot.
func (d *Scheduler[T]) AddHold(service string, t time.Duration) { d.queue(service).line.AddHold(t) }

// WaitKey names what requests wait for.
type WaitKey struct {
	// Service is the hash of its name.
	Service  uint32
	Priority queue.Priority
}

// Report is what fronts tell each other about their lines.
type Report struct {
	// Waiting counts the requests that wait, and Demands the requests a second that
	// want a service, by the hash of its name.
	Waiting map[WaitKey]int
	Demand  map[uint32]float64
}

// Report returns what peers are told.
func (d *Scheduler[T]) Report(now time.Duration) Report {
	s := Report{Waiting: map[WaitKey]int{}, Demand: map[uint32]float64{}}
	for name, q := range d.queues {
		h := pool.Hash(name)
		s.Demand[h] = q.want(now)
		for c, n := range q.line.CountByPriority() {
			s.Waiting[WaitKey{h, c}] = n
		}
	}
	return s
}

// SetPeer takes what a peer said.
func (d *Scheduler[T]) SetPeer(peer string, s Report) { d.peers[peer] = s }

// RemovePeer drops what a silent peer said.
func (d *Scheduler[T]) RemovePeer(peer string) { delete(d.peers, peer) }

// SetFronts says how many fronts are heard, this one included.
func (d *Scheduler[T]) SetFronts(fronts int) { d.fronts = max(1, fronts) }

// AssignSlots computes anew which slots of engines belong to this front.
func (d *Scheduler[T]) AssignSlots(now time.Duration, self string) {
	mine := map[string]int{}
	for name, q := range d.queues {
		var ts []share.Target
		for _, t := range d.pool.Targets(name) {
			if t.Engine {
				ts = append(ts, share.Target{ID: t.ID, Slots: t.Slots})
			}
		}
		if len(ts) == 0 {
			continue
		}
		fs := []share.Front{{Name: self, Weight: q.want(now)}}
		for a, s := range d.peers {
			fs = append(fs, share.Front{Name: a, Weight: s.Demand[pool.Hash(name)]})
		}
		for id, n := range share.Assigned(self, fs, ts) {
			mine[id] = n
		}
	}
	d.pool.SetOwnSlots(mine)
}
