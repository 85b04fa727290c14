// Package desk decides about turns at a front: who waits for a slot, who is refused
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
package desk

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupstand/core/line"
	"kingcupstand/core/pool"
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

// Ask is a request's claim to a turn.
type Ask struct {
	Want pool.Want
	// Rank is the tier; 0 goes first.
	Rank int
	// Order is the route's rank within the tier; 0 is the most urgent.
	Order int
	// Late is true if the goal has been missed already.
	Late bool
	// Patience is how long the turn may take, and Left how long the caller will
	// wait for the whole answer.
	Patience time.Duration
	Left     time.Duration
}

// Ticket is the handle of a request that waits.
type Ticket[T any] struct {
	Value  T
	ask    Ask
	joined time.Duration
	place  *line.Ticket[*Ticket[T]]
}

// Turn is a slot at a target, which the pool counts as begun.
type Turn[T any] struct {
	Ticket *Ticket[T]
	Choice pool.Choice
	// Waited is how long the request waited for it.
	Waited time.Duration
}

// Refusal is why a request gets no turn.
type Refusal struct {
	// Ahead and Expected are the requests before it and the wait that it faced.
	Ahead    int
	Expected time.Duration
	Waited   time.Duration
	// Retry is when the caller may find room.
	Retry time.Duration
}

// queue is the line before one service.
type queue[T any] struct {
	line *line.Line[*Ticket[T]]
	// demand is how many requests a second have lately wanted a turn.
	demand float64
	at     time.Duration
}

func (q *queue[T]) want(now time.Duration) float64 {
	return q.demand * math.Exp(-float64(now-q.at)/float64(demandMemory))
}

// Desk decides for one front. It is not safe for concurrent use.
type Desk[T any] struct {
	pool   *pool.Pool
	random *rand.Rand
	queues map[string]*queue[T]
	peers  map[string]Said
	fronts int
}

// New returns a Desk that gives out the slots of a pool's targets.
func New[T any](p *pool.Pool, r *rand.Rand) *Desk[T] {
	return &Desk[T]{pool: p, random: r, queues: map[string]*queue[T]{}, peers: map[string]Said{}, fronts: 1}
}

// Services returns the names of the services that turns were asked for.
func (d *Desk[T]) Services() []string {
	ns := make([]string, 0, len(d.queues))
	for n := range d.queues {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// Waiting returns how many requests wait for a service.
func (d *Desk[T]) Waiting(service string) int { return d.queue(service).line.Len() }

// Demand returns how many requests a second have lately wanted a service.
func (d *Desk[T]) Demand(now time.Duration, service string) float64 {
	return d.queue(service).want(now)
}

func (d *Desk[T]) queue(service string) *queue[T] {
	q := d.queues[service]
	if q == nil {
		q = &queue[T]{line: line.New[*Ticket[T]]()}
		d.queues[service] = q
	}
	return q
}

// Join puts a request in line. Next may give it its turn at once; if it doesn't,
// Judge tells whether waiting makes sense.
func (d *Desk[T]) Join(now time.Duration, a Ask, v T) *Ticket[T] {
	q := d.queue(a.Want.Service)
	q.demand, q.at = q.want(now)+1/demandMemory.Seconds(), now
	t := &Ticket[T]{Value: v, ask: a, joined: now}
	t.place = q.line.Join(now, line.Place{Rank: a.Rank, Order: a.Order, Late: a.Late, Arrived: now}, t)
	return t
}

// Judge takes a waiting request out of the line and reports true if its turn would
// come too late.
func (d *Desk[T]) Judge(now time.Duration, t *Ticket[T]) (Refusal, bool) {
	f := d.refusal(now, t)
	if f.Ahead == 0 || f.Expected <= t.ask.Patience {
		return Refusal{}, false
	}
	d.queue(t.ask.Want.Service).line.Leave(t.place)
	return f, true
}

// Leave takes a request out of the line whose patience has ended or whose caller
// has left. It reports false if the request has had its turn.
func (d *Desk[T]) Leave(now time.Duration, t *Ticket[T]) (Refusal, bool) {
	if !d.queue(t.ask.Want.Service).line.Leave(t.place) {
		return Refusal{}, false
	}
	return d.refusal(now, t), true
}

// refusal says what speaks against waiting.
func (d *Desk[T]) refusal(now time.Duration, t *Ticket[T]) Refusal {
	q := d.queue(t.ask.Want.Service)
	slots := float64(d.pool.Load(now, t.ask.Want.Service).Slots) / float64(d.fronts)
	f := Refusal{Ahead: q.line.Ahead(t.place), Expected: q.line.Expect(now, t.place, slots), Waited: now - t.joined}
	f.Retry = pause(f.Expected, t.ask.Left-f.Waited, d.random.Float64())
	return f
}

// Next gives the next request of a service its turn. It reports false if nobody
// waits or no slot is left for who does.
func (d *Desk[T]) Next(now time.Duration, service string) (Turn[T], bool) {
	l := d.queue(service).line
	p, t, ok := l.First(now)
	if !ok || !d.may(now, service, line.Claim{Rank: p.Rank, Late: p.Late}) {
		return Turn[T]{}, false
	}
	w := t.ask.Want
	w.Pressing = t.ask.Order == 0 && !t.ask.Late && now-t.joined >= pressAfter
	c, err := d.pool.Choose(now, w)
	if err != nil {
		return Turn[T]{}, false // full or without targets: the next event tries again
	}
	l.Next(now)
	d.pool.Begin(now, c.ID, t.ask.Want.Prompt)
	return Turn[T]{Ticket: t, Choice: c, Waited: now - t.joined}, true
}

// may reports whether a free slot is left for a request after those that wait at
// peers and come before it: who is of a higher rank, or can still be on time where
// this one can't.
func (d *Desk[T]) may(now time.Duration, service string, c line.Claim) bool {
	h, n := pool.Hash(service), 0
	for _, s := range d.peers {
		for w, k := range s.Waits {
			if w.Service == h && w.Claim.Before(c) {
				n += k
			}
		}
	}
	return n == 0 || d.pool.Free(now, service) > n
}

// Held learns how long a request kept its slot.
func (d *Desk[T]) Held(service string, t time.Duration) { d.queue(service).line.Held(t) }

// Wait names what requests wait for.
type Wait struct {
	// Service is the hash of its name.
	Service uint32
	Claim   line.Claim
}

// Said is what fronts tell each other about their lines.
type Said struct {
	// Waits counts the requests that wait, and Demands the requests a second that
	// want a service, by the hash of its name.
	Waits   map[Wait]int
	Demands map[uint32]float64
}

// Say returns what peers are told.
func (d *Desk[T]) Say(now time.Duration) Said {
	s := Said{Waits: map[Wait]int{}, Demands: map[uint32]float64{}}
	for name, q := range d.queues {
		h := pool.Hash(name)
		s.Demands[h] = q.want(now)
		for c, n := range q.line.Claims() {
			s.Waits[Wait{h, c}] = n
		}
	}
	return s
}

// Hear takes what a peer said.
func (d *Desk[T]) Hear(peer string, s Said) { d.peers[peer] = s }

// Forget drops what a silent peer said.
func (d *Desk[T]) Forget(peer string) { delete(d.peers, peer) }

// Reachable says how many fronts are heard, this one included.
func (d *Desk[T]) Reachable(fronts int) { d.fronts = max(1, fronts) }

// Divide computes anew which slots of engines belong to this front.
func (d *Desk[T]) Divide(now time.Duration, self string) {
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
			fs = append(fs, share.Front{Name: a, Weight: s.Demands[pool.Hash(name)]})
		}
		for id, n := range share.Mine(self, fs, ts) {
			mine[id] = n
		}
	}
	d.pool.Own(mine)
}
