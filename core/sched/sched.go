// Package sched schedules the requests of one front: it queues a request until a
// target has a free slot, refuses a request that would wait too long, and chooses the
// target that a request is sent to. It does no I/O and reads no clock, so it can be
// tested and benchmarked in virtual time.
//
// # Usage
//
//	s := sched.New[*request](p, random)
//	w := s.Enqueue(now, sched.Request{
//		Criteria: criteria,
//		MaxWait:  400 * time.Millisecond,
//		TimeLeft: 8 * time.Second,
//	}, r)
//	for g, ok := s.Next(now, "chat"); ok; g, ok = s.Next(now, "chat") {
//		send(g.Waiter.Value, g.Choice)
//	}
//
// If w was not dispatched:
//
//	if f, refused := s.Shed(now, w); refused {
//		refuse(r, f.RetryAfter)
//	}
//
// When the maximum wait of w has passed, or its caller has disconnected:
//
//	if f, removed := s.Remove(now, w); removed {
//		refuse(r, f.RetryAfter)
//	}
//
// When a request has ended, or a heartbeat has arrived from another front, which may
// leave free slots for Next to grant:
//
//	p.End(now, g.Choice.ID, 0, pool.Good)
//	s.AddHold("chat", now-started)
//	s.SetPeer("192.0.2.7:7600", report)
//
// # Admission
//
// A request is refused at once if its expected queue wait exceeds its maximum wait,
// unless it is the first of its class. The refusal contains the delay after which the
// caller should retry.
//
// # Several fronts
//
// Every front sends to every target. The fronts exchange reports of their queues, so
// that together they behave as if they shared one queue per service: a front holds a
// request back while the free slots are needed by requests that wait at its peers and
// that it yields to (queue.Queue.Yields). AssignSlots divides the slots of engines, and the limits that
// targets name, among the fronts. Without it, two fronts that have not yet received each
// other's latest report would send to the same free slot.
package sched

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupstand/core/fair"
	"kingcupstand/core/pool"
	"kingcupstand/core/queue"
	"kingcupstand/core/share"
)

// demandTimeConstant is the time constant of the measured demand, by which slots are
// assigned to fronts. It is longer than bursts of about a second, because an assignment
// that changes often matches the demand of no front.
const demandTimeConstant = 3 * time.Second

// oversubscribeAfter is how long a request of the most urgent class that is not late waits
// for a slot that this front may use, before it may be sent to an engine that is full or
// whose free slots belong to other fronts. It is about one heartbeat interval of the
// smallest deployment that enforces the assignment of slots; with a single queue for all
// fronts the request would have been dispatched by then.
const oversubscribeAfter = 60 * time.Millisecond

// allowGapsAfter is the share of its maximum wait that a request waits for a target where
// its prompt would not cause a long gap in running streams. After that any target will do.
const allowGapsAfter = 0.5

// Request holds the scheduling attributes of a request.
type Request struct {
	Criteria pool.Criteria
	// TierRank is the rank of the tier; 0 is the highest priority.
	TierRank int
	// RouteRank is the rank of the route within the tier; 0 is the most urgent.
	RouteRank int
	// Workspace is the hash of the workspace's name, as in the shares; see SetShares.
	Workspace uint32
	// Late is true if the request can no longer meet its latency goal; see MaxWait.
	Late bool
	// Hold is how long the request is expected to occupy its slot; 0 if it is unknown.
	Hold time.Duration
	// MaxWait is the longest acceptable time in the queue, and TimeLeft the time until
	// the caller's deadline for the complete response.
	MaxWait  time.Duration
	TimeLeft time.Duration
}

// Waiter is the handle of a queued request.
type Waiter[T any] struct {
	Value    T
	request  Request
	enqueued time.Duration
	handle   *queue.Handle[*Waiter[T]]
}

// Grant is a request with the target that it must be sent to. The pool already
// counts it as in flight there, until the caller reports its end with pool.Pool.End.
type Grant[T any] struct {
	Waiter *Waiter[T]
	Choice pool.Choice
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Refusal describes why a request was refused.
type Refusal struct {
	// Ahead is the number of requests of its class that were ahead of it, and
	// ExpectedWait the further queue wait that was expected.
	Ahead        int
	ExpectedWait time.Duration
	// Waited is the time that the request had spent in the queue.
	Waited time.Duration
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// serviceQueue is the queue of one service, with its demand.
type serviceQueue[T any] struct {
	waiters *queue.Queue[*Waiter[T]]
	// demand is the exponentially decaying request rate per second as of updated.
	demand  float64
	updated time.Duration
}

// demandAt returns the recent number of requests per second.
func (q *serviceQueue[T]) demandAt(now time.Duration) float64 {
	return q.demand * math.Exp(-float64(now-q.updated)/float64(demandTimeConstant))
}

// Scheduler schedules the requests of one front. It is not safe for concurrent use.
type Scheduler[T any] struct {
	pool   *pool.Pool
	random *rand.Rand
	queues map[string]*serviceQueue[T]
	peers  map[string]Report
	// waiting is the sum of what the peers have reported to be queued.
	waiting map[uint32]map[queue.Priority]int
	// dataCentre is the hash of this front's data centre. regional is true if the slots of a
	// data centre's engines belong to its own fronts.
	dataCentre uint32
	regional   bool
	// fronts is the number of live fronts, and total that of all that may be serving.
	fronts, total int
	shares        fair.Shares
}

// New returns a Scheduler that dispatches to the targets of a pool.
func New[T any](p *pool.Pool, r *rand.Rand) *Scheduler[T] {
	return &Scheduler[T]{pool: p, dataCentre: p.DataCentre(), random: r, queues: map[string]*serviceQueue[T]{}, peers: map[string]Report{}, waiting: map[uint32]map[queue.Priority]int{}, fronts: 1, total: 1}
}

// Services returns the sorted names of the services that have had requests.
func (s *Scheduler[T]) Services() []string {
	ns := make([]string, 0, len(s.queues))
	for n := range s.queues {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// Waiting returns the number of queued requests of a service.
func (s *Scheduler[T]) Waiting(service string) int { return s.queue(service).waiters.Len() }

// Demand returns the recent number of requests per second for a service.
func (s *Scheduler[T]) Demand(now time.Duration, service string) float64 {
	return s.queue(service).demandAt(now)
}

// queue returns the queue of a service, which it creates if necessary.
func (s *Scheduler[T]) queue(service string) *serviceQueue[T] {
	q := s.queues[service]
	if q == nil {
		q = &serviceQueue[T]{waiters: queue.New[*Waiter[T]]()}
		s.queues[service] = q
	}
	return q
}

// DropServices drops the queues of the services without targets and queued requests that aren't used,
// and returns the names of these services.
func (s *Scheduler[T]) DropServices(used func(name string) bool) (dropped []string) {
	for name, q := range s.queues {
		if q.waiters.Len() == 0 && !s.pool.HasTargets(name) && !used(name) {
			delete(s.queues, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// Enqueue adds a request to the queue of its service. The caller then calls Next,
// which may dispatch the request at once, and Shed if it did not.
func (s *Scheduler[T]) Enqueue(now time.Duration, r Request, v T) *Waiter[T] {
	q := s.queue(r.Criteria.Service)
	q.demand, q.updated = q.demandAt(now)+1/demandTimeConstant.Seconds(), now
	w := &Waiter[T]{Value: v, request: r, enqueued: now}
	over, step := s.shares.Standing(r.TierRank, r.Workspace)
	w.handle = q.waiters.Push(now, queue.SortKey{
		TierRank: r.TierRank, RouteRank: r.RouteRank, Pin: r.Criteria.Version, Late: r.Late, Hold: r.Hold, Arrived: now,
		Workspace: r.Workspace, OverShare: over, Step: step,
	}, w)
	return w
}

// Shed removes a queued request and reports true if its expected queue wait exceeds
// its maximum wait. A request that is first in its class is shed only if all targets that
// suit it are in a longer pause. The request must still be queued.
func (s *Scheduler[T]) Shed(now time.Duration, w *Waiter[T]) (Refusal, bool) {
	f := s.refusal(now, w)
	longest := w.request.MaxWait
	if f.ExpectedWait <= longest || f.Ahead == 0 && s.pool.PauseLeft(now, w.request.Criteria) <= longest {
		return Refusal{}, false
	}
	s.queue(w.request.Criteria.Service).waiters.Remove(w.handle)
	return f, true
}

// Remove removes a request whose maximum wait has passed or whose caller has
// disconnected. It reports false if the request is not queued, usually because it has
// been dispatched.
func (s *Scheduler[T]) Remove(now time.Duration, w *Waiter[T]) (Refusal, bool) {
	if !s.queue(w.request.Criteria.Service).waiters.Remove(w.handle) {
		return Refusal{}, false
	}
	return s.refusal(now, w), true
}

// refusal returns the refusal that the request would get now.
func (s *Scheduler[T]) refusal(now time.Duration, w *Waiter[T]) Refusal {
	q := s.queue(w.request.Criteria.Service)
	slots := float64(s.pool.Load(now, w.request.Criteria.Service).Slots) / float64(s.fronts)
	f := Refusal{Ahead: q.waiters.Ahead(w.handle), ExpectedWait: q.waiters.ExpectedWait(now, w.handle, slots), Waited: now - w.enqueued}
	f.RetryAfter = retryDelay(f.ExpectedWait, w.request.TimeLeft-f.Waited, s.random.Float64())
	if p := s.pool.PauseLeft(now, w.request.Criteria); p > 0 {
		f.ExpectedWait, f.RetryAfter = max(f.ExpectedWait, p), max(f.RetryAfter, p)
	}
	return f
}

// Next dequeues the first request of a service that a target can take, and chooses the
// target. It reports false if there is none. A request may have to wait for requests at
// peers, or for a certain target, for example a fast one for a long response. Others of its
// tier then go past it, but none of a lower tier.
func (s *Scheduler[T]) Next(now time.Duration, service string) (Grant[T], bool) {
	q := s.queue(service).waiters
	hs := q.Heads(now)
	for _, h := range hs {
		if h.Key.TierRank > hs[0].Key.TierRank {
			break
		}
		if !s.mayDispatch(now, service, h.Priority) {
			continue
		}
		w := h.Value
		c, err := s.pool.Choose(now, s.criteria(now, w, passes(hs, h)))
		if err != nil {
			continue // full or without targets; Next is called again after the next event
		}
		q.Take(now, h)
		s.pool.Begin(now, c.ID, w.request.Criteria.PromptTokens)
		return Grant[T]{Waiter: w, Choice: c, Waited: now - w.enqueued}, true
	}
	return Grant[T]{}, false
}

// criteria returns the criteria by which the target is chosen, which depend on how long
// the request has waited. Passes is true if others of its class come before it.
func (s *Scheduler[T]) criteria(now time.Duration, w *Waiter[T], passes bool) pool.Criteria {
	waited := now - w.enqueued
	c := w.request.Criteria
	c.TimeLeft -= waited
	c.Oversubscribe = w.request.RouteRank == 0 && !w.request.Late && waited >= oversubscribeAfter && !passes
	c.AllowGaps = waited >= time.Duration(allowGapsAfter*float64(w.request.MaxWait))
	return c
}

// mayDispatch reports whether a free slot remains for a request of priority p once all
// requests that wait at peers, and that it yields to, have got one.
func (s *Scheduler[T]) mayDispatch(now time.Duration, service string, p queue.Priority) bool {
	n, q := 0, s.queue(service).waiters
	for w, k := range s.waiting[pool.Hash(service)] {
		if q.Yields(p, w) {
			n += k
		}
	}
	return n == 0 || s.pool.FreeSlots(now, service) > n
}

// AddHold records how long a request of a service occupied its slot.
func (s *Scheduler[T]) AddHold(service string, d time.Duration) { s.queue(service).waiters.AddHold(d) }

// WaitKey groups queued requests in a Report.
type WaitKey struct {
	// Service is the hash of the service's name; see pool.Hash.
	Service  uint32
	Priority queue.Priority
}

// Report is the state of a front's queues that it sends to its peers.
type Report struct {
	// DataCentre is the hash of the front's data centre; 0 if it is unknown.
	DataCentre uint32
	// Waiting is the number of queued requests by service and priority, and Demand the
	// recent number of requests per second by the hash of the service's name.
	Waiting map[WaitKey]int
	Demand  map[uint32]float64
}

// Report returns the report for this front's peers.
func (s *Scheduler[T]) Report(now time.Duration) Report {
	r := Report{DataCentre: s.dataCentre, Waiting: map[WaitKey]int{}, Demand: map[uint32]float64{}}
	for name, q := range s.queues {
		h := pool.Hash(name)
		r.Demand[h] = q.demandAt(now)
		for p, n := range q.waiters.CountByPriority() {
			r.Waiting[WaitKey{h, p}] = n
		}
	}
	return r
}

// SetPeer replaces the report of a peer. The scheduler keeps r, which the caller must not
// change afterwards.
func (s *Scheduler[T]) SetPeer(peer string, r Report) {
	s.RemovePeer(peer)
	s.peers[peer] = r
	s.addWaiting(r, 1)
}

// RemovePeer discards the report of a peer whose heartbeats have stopped.
func (s *Scheduler[T]) RemovePeer(peer string) {
	s.addWaiting(s.peers[peer], -1)
	delete(s.peers, peer)
}

// addWaiting adds the queues of a report to the sum, or takes them off if sign is -1.
func (s *Scheduler[T]) addWaiting(r Report, sign int) {
	for w, n := range r.Waiting {
		m := s.waiting[w.Service]
		if m == nil {
			m = map[queue.Priority]int{}
			s.waiting[w.Service] = m
		}
		if m[w.Priority] += sign * n; m[w.Priority] == 0 {
			delete(m, w.Priority)
		}
		if len(m) == 0 {
			delete(s.waiting, w.Service)
		}
	}
}

// SetFronts sets the number of live fronts and the total of those that may be serving, this
// one included in both.
func (s *Scheduler[T]) SetFronts(live, total int) {
	s.fronts, s.total = max(1, live), max(1, live, total)
}

// SetRegional sets whether the slots of a data centre's engines belong to its own fronts; see
// pool.Pool.SetRegional.
func (s *Scheduler[T]) SetRegional(regional bool) {
	s.regional = regional
	s.pool.SetRegional(regional)
}

// AssignSlots recomputes how many slots of each engine this front owns and how many units of
// each limit that a target names, from its own demand and the demand that its peers have
// reported, and passes the numbers to the pool. Self is this front's name among the peers.
func (s *Scheduler[T]) AssignSlots(now time.Duration, self string) {
	slots, units := map[string]int{}, map[string]int{}
	for name, q := range s.queues {
		es := map[uint32][]share.Target{} // engines by data centre, or all under 0
		var ls []share.Target
		for _, t := range s.pool.Targets(name) {
			if t.Engine {
				d := uint32(0)
				if s.regional {
					d = pool.Hash(t.DataCentre)
				}
				es[d] = append(es[d], share.Target{ID: t.ID, Slots: t.Slots})
			}
		}
		for _, l := range s.pool.Limited(name) {
			ls = append(ls, share.Target{ID: l.ID, Slots: l.Units})
		}
		if len(es)+len(ls) == 0 {
			continue
		}
		fs := []share.Front{{Name: self, Weight: q.demandAt(now)}}
		by := map[uint32][]share.Front{s.dataCentre: fs[:1:1]}
		for a, r := range s.peers {
			f := share.Front{Name: a, Weight: r.Demand[pool.Hash(name)]}
			fs = append(fs, f)
			by[r.DataCentre] = append(by[r.DataCentre], f)
		}
		// Fronts whose data centre has no engine of the service share those of all others.
		var elsewhere []share.Front
		for d, near := range by {
			if es[d] == nil {
				elsewhere = append(elsewhere, near...)
			}
		}
		for d, ts := range es {
			near := slices.Concat(by[d], elsewhere)
			if !s.regional || len(near) == 0 {
				near = fs
			}
			maps.Copy(slots, share.Assigned(self, near, ts))
		}
		maps.Copy(units, share.Assigned(self, fs, ls))
	}
	s.pool.SetOwnSlots(slots)
	s.pool.SetLimitUnits(now, units, s.fronts, s.total)
}
