package gate

import (
	"slices"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/heap"
)

// space is the queued work of one workspace in one tier.
type space struct {
	name  string
	share float64
	// early gives the earliest deadline, large the job that takes the most time
	// among those that may be shed, patient among those that must wait.
	early, large, patient *heap.Heap[*job]
	// work is the predicted time of the jobs on one slot.
	work time.Duration
	// served is the virtual time of the workspace: the predicted time of what was
	// dispatched for it, divided by its share.
	served float64
	turn   *heap.Node[*space]
}

// lane holds the queued jobs of one tier. Workspaces take turns by the time that
// they were served in proportion to their shares; within a workspace the earliest
// deadline goes first.
type lane struct {
	rank   call.Rank
	spaces map[string]*space
	turns  *heap.Heap[*space]
	// early gives the earliest deadline of all workspaces.
	early *heap.Heap[*job]
	work  time.Duration
	// now is the virtual time of the last dispatch. A workspace that was idle goes
	// on from there, so that it can't save up turns.
	now float64
	// sheddable is the number of jobs that may be shed.
	sheddable int
}

// queue holds the jobs that wait, one lane per tier, highest tier first.
type queue struct {
	lanes []*lane
	// count and waiting are the numbers of jobs that may be shed and that must wait.
	count, waiting int
}

func newQueue() *queue {
	return &queue{}
}

func (q *queue) len() int { return q.count + q.waiting }

// lane returns the lane of rank r, making it if there is none.
func (q *queue) lane(r call.Rank) *lane {
	i, ok := slices.BinarySearchFunc(q.lanes, r, func(l *lane, r call.Rank) int {
		return int(l.rank) - int(r)
	})
	if ok {
		return q.lanes[i]
	}
	l := &lane{rank: r, spaces: make(map[string]*space), turns: heap.New(beforeSpace), early: heap.New(earlier)}
	q.lanes = slices.Insert(q.lanes, i, l)
	return l
}

// space returns the workspace of a job, making it if there is none.
func (l *lane) space(j *job) *space {
	n := j.offer.Workspace
	s, ok := l.spaces[n]
	if !ok {
		s = &space{name: n, early: heap.New(earlier), large: heap.New(larger), patient: heap.New(larger)}
		l.spaces[n] = s
	}
	s.share = j.terms.Share
	if s.share <= 0 {
		s.share = 1
	}
	return s
}

// earlier orders jobs of one tier: by deadline, then by arrival.
func earlier(a, b *job) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
}

// larger orders jobs of one workspace by how early they are shed: the one that
// takes the most time makes room for the most others.
func larger(a, b *job) bool {
	if a.own != b.own {
		return a.own > b.own
	}
	return earlier(b, a)
}

// beforeSpace orders workspaces by the service they have had.
func beforeSpace(a, b *space) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.name < b.name
}

// excess returns the job that is shed first if there are more than limit jobs, or
// nil. Jobs that must wait have as many places of their own, so that they can't
// keep a higher tier out.
func (q *queue) excess(limit int) *job {
	if q.count > limit {
		return q.last(0)
	}
	if q.waiting > limit {
		return q.lastWaiting()
	}
	return nil
}

// push adds a job whose predicted time at the target is own.
func (q *queue) push(j *job, own time.Duration) {
	l := q.lane(j.terms.Rank)
	s := l.space(j)
	j.lane, j.space, j.own = l, s, own
	j.early = l.early.Push(j)
	j.inSpace = s.early.Push(j)
	l.work += own
	s.work += own
	if s.turn == nil {
		s.served = max(s.served, l.now)
		s.turn = l.turns.Push(s)
	}
	if j.terms.Wait {
		j.inOrder = s.patient.Push(j)
		q.waiting++
		return
	}
	j.inOrder = s.large.Push(j)
	l.sheddable++
	q.count++
}

// remove takes a job out; jobs that are not queued are left alone.
func (q *queue) remove(j *job) {
	l, s := j.lane, j.space
	if l == nil {
		return
	}
	j.lane = nil
	l.early.Remove(j.early)
	s.early.Remove(j.inSpace)
	l.work -= j.own
	s.work -= j.own
	if s.early.Len() == 0 {
		l.turns.Remove(s.turn)
		s.turn = nil
		if s.served <= l.now {
			delete(l.spaces, s.name)
		}
	}
	if s.patient.Remove(j.inOrder) {
		q.waiting--
		return
	}
	s.large.Remove(j.inOrder)
	l.sheddable--
	q.count--
}

// take removes a job that is dispatched and charges its workspace for it.
func (q *queue) take(j *job) {
	l, s := j.lane, j.space
	if l == nil {
		return
	}
	l.now = max(l.now, s.served)
	if s.turn != nil {
		l.turns.Remove(s.turn)
		s.served += j.own.Seconds() / s.share
		s.turn = l.turns.Push(s)
	}
	q.remove(j)
}

// first returns the job that is dispatched next, or nil.
func (q *queue) first() *job {
	for _, l := range q.lanes {
		if s, ok := l.turns.Peek(); ok {
			j, _ := s.early.Peek()
			return j
		}
	}
	return nil
}

// below reports whether a job below rank r may be shed.
func (q *queue) below(r call.Rank) bool {
	return slices.ContainsFunc(q.lanes, func(l *lane) bool { return l.rank.Below(r) && l.sheddable > 0 })
}

// last returns the queued job below rank r that is shed first, or nil: of the
// lowest tier, the workspace with the most queued work for its share, its largest
// job. No tier is above rank 0. Jobs that must wait are not shed.
func (q *queue) last(r call.Rank) *job {
	for _, l := range slices.Backward(q.lanes) {
		if !l.rank.Below(r) {
			return nil
		}
		if s := l.fullest((*space).sheddable); s != nil {
			return s.sheddable()
		}
	}
	return nil
}

// lastWaiting is last for jobs that must wait.
func (q *queue) lastWaiting() *job {
	for _, l := range slices.Backward(q.lanes) {
		if s := l.fullest((*space).waiting); s != nil {
			return s.waiting()
		}
	}
	return nil
}

func (s *space) sheddable() *job {
	j, _ := s.large.Peek()
	return j
}

func (s *space) waiting() *job {
	j, _ := s.patient.Peek()
	return j
}

// fullest returns the workspace with the most queued work for its share among
// those for which pick finds a job.
func (l *lane) fullest(pick func(*space) *job) *space {
	var f *space
	for _, s := range l.spaces {
		if pick(s) == nil {
			continue
		}
		if f == nil || s.load() > f.load() || (s.load() == f.load() && s.name < f.name) {
			f = s
		}
	}
	return f
}

// load returns the queued work of a workspace in proportion to its share.
func (s *space) load() float64 { return s.work.Seconds() / s.share }

// larger returns a queued job of j's tier and workspace that may be shed and takes
// clearly more time than j, or nil.
func (q *queue) larger(j *job, own time.Duration) *job {
	s, ok := q.lane(j.terms.Rank).spaces[j.offer.Workspace]
	if !ok {
		return nil
	}
	if v := s.sheddable(); v != nil && v.own > own+own/4 {
		return v
	}
	return nil
}

// ahead returns the predicted time of the work that goes before j: all of higher
// tiers, and of its own tier what is served before its workspace has had its turns.
func (q *queue) ahead(j *job) time.Duration {
	var w time.Duration
	for _, l := range q.lanes {
		if l.rank.Below(j.terms.Rank) {
			break
		}
		if l.rank == j.terms.Rank {
			return w + l.ahead(j)
		}
		w += l.work
	}
	return w
}

func (l *lane) ahead(j *job) time.Duration {
	s := l.space(j)
	var w time.Duration
	if h, ok := s.early.Peek(); ok && earlier(h, j) {
		w = s.work
	}
	// While the workspace has its turns for w, others are served in proportion.
	turns := w.Seconds() / s.share
	start := max(s.served, l.now)
	for _, o := range l.spaces {
		if o != s {
			most := (start + turns - o.served) * o.share
			w += min(o.work, time.Duration(max(most, 0)*float64(time.Second)))
		}
	}
	if s.early.Len() == 0 && s.served <= l.now {
		delete(l.spaces, s.name)
	}
	return w
}

// work returns the predicted time of all queued work.
func (q *queue) work() time.Duration {
	var w time.Duration
	for _, l := range q.lanes {
		w += l.work
	}
	return w
}

// all returns the queued jobs, highest tier first, by deadline.
func (q *queue) all() []*job {
	var s []*job
	for _, l := range q.lanes {
		k := len(s)
		l.early.Each(func(j *job) { s = append(s, j) })
		slices.SortFunc(s[k:], func(a, b *job) int {
			if earlier(a, b) {
				return -1
			}
			return 1
		})
	}
	return s
}
