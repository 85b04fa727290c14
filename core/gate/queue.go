package gate

import (
	"slices"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/heap"
)

// workspaceQueue holds the queued jobs of one workspace in one tier.
type workspaceQueue struct {
	name  string
	share float64
	// byDeadline holds all jobs, the earliest deadline first. sheddable and waiting
	// hold the jobs that may be shed and those that must wait, the costliest first.
	byDeadline, sheddable, waiting *heap.Heap[*job]
	// work is the sum of the jobs' costs: their predicted service time on one slot.
	work time.Duration
	// vtime is the virtual time of the workspace in seconds: the cost of its
	// dispatched jobs, divided by its share.
	vtime float64
	node  *heap.Node[*workspaceQueue]
}

// tierQueue holds the queued jobs of one tier and implements weighted fair queueing
// among the workspaces: the workspace with the least virtual time is served first,
// and within it the job with the earliest deadline.
type tierQueue struct {
	rank       call.Rank
	workspaces map[string]*workspaceQueue
	// active holds the workspaces with queued jobs, the least virtual time first.
	active *heap.Heap[*workspaceQueue]
	// byDeadline holds the jobs of all workspaces, the earliest deadline first.
	byDeadline *heap.Heap[*job]
	work       time.Duration
	// vtime is the virtual time of the last dispatch. A workspace that was idle
	// continues from there, so that it accumulates no credit while idle.
	vtime float64
	// sheddable is the number of jobs that may be shed.
	sheddable int
}

// queue holds the queued jobs, one tierQueue per tier, highest tier first.
type queue struct {
	tiers []*tierQueue
	// sheddable and waiting are the numbers of jobs that may be shed and that must
	// wait.
	sheddable, waiting int
}

func newQueue() *queue {
	return &queue{}
}

func (q *queue) len() int { return q.sheddable + q.waiting }

// tier returns the queue of rank r, creating it if necessary.
func (q *queue) tier(r call.Rank) *tierQueue {
	i, ok := slices.BinarySearchFunc(q.tiers, r, func(t *tierQueue, r call.Rank) int {
		return int(t.rank) - int(r)
	})
	if ok {
		return q.tiers[i]
	}
	t := &tierQueue{rank: r, workspaces: make(map[string]*workspaceQueue), active: heap.New(lessServed), byDeadline: heap.New(earlier)}
	q.tiers = slices.Insert(q.tiers, i, t)
	return t
}

// workspace returns the queue of a job's workspace, creating it if necessary, and
// sets its share to that of the job.
func (t *tierQueue) workspace(j *job) *workspaceQueue {
	n := j.offer.Workspace
	s, ok := t.workspaces[n]
	if !ok {
		s = &workspaceQueue{name: n, byDeadline: heap.New(earlier), sheddable: heap.New(costlier), waiting: heap.New(costlier)}
		t.workspaces[n] = s
	}
	s.share = j.terms.Share
	if s.share <= 0 {
		s.share = 1
	}
	return s
}

// earlier orders the jobs of a tier by deadline, then by arrival.
func earlier(a, b *job) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
}

// costlier orders jobs for shedding: the one with the longest service time comes
// first, as it makes room for the most others.
func costlier(a, b *job) bool {
	if a.cost != b.cost {
		return a.cost > b.cost
	}
	return earlier(b, a)
}

// lessServed orders workspaces by virtual time, then by name.
func lessServed(a, b *workspaceQueue) bool {
	if a.vtime != b.vtime {
		return a.vtime < b.vtime
	}
	return a.name < b.name
}

// excess returns the job to shed first if the queue is over its limit, or nil. The
// limit applies separately to jobs that may be shed and to those that must wait, so
// that the latter can't keep a higher tier out.
func (q *queue) excess(limit int) *job {
	if q.sheddable > limit {
		return q.shedFirst(0)
	}
	if q.waiting > limit {
		return q.shedFirstWaiting()
	}
	return nil
}

// push adds a job with the given predicted service time.
func (q *queue) push(j *job, cost time.Duration) {
	t := q.tier(j.terms.Rank)
	s := t.workspace(j)
	j.tier, j.workspace, j.cost = t, s, cost
	j.tierNode = t.byDeadline.Push(j)
	j.workspaceNode = s.byDeadline.Push(j)
	t.work += cost
	s.work += cost
	if s.node == nil {
		s.vtime = max(s.vtime, t.vtime)
		s.node = t.active.Push(s)
	}
	if j.terms.Wait {
		j.costNode = s.waiting.Push(j)
		q.waiting++
		return
	}
	j.costNode = s.sheddable.Push(j)
	t.sheddable++
	q.sheddable++
}

// remove removes a job. It does nothing if the job is not queued.
func (q *queue) remove(j *job) {
	t, s := j.tier, j.workspace
	if t == nil {
		return
	}
	j.tier = nil
	t.byDeadline.Remove(j.tierNode)
	s.byDeadline.Remove(j.workspaceNode)
	t.work -= j.cost
	s.work -= j.cost
	if s.byDeadline.Len() == 0 {
		t.active.Remove(s.node)
		s.node = nil
		if s.vtime <= t.vtime {
			delete(t.workspaces, s.name)
		}
	}
	if s.waiting.Remove(j.costNode) {
		q.waiting--
		return
	}
	s.sheddable.Remove(j.costNode)
	t.sheddable--
	q.sheddable--
}

// dispatch removes a job that is being dispatched and adds its cost to the virtual
// time of its workspace.
func (q *queue) dispatch(j *job) {
	t, s := j.tier, j.workspace
	if t == nil {
		return
	}
	t.vtime = max(t.vtime, s.vtime)
	if s.node != nil {
		t.active.Remove(s.node)
		s.vtime += j.cost.Seconds() / s.share
		s.node = t.active.Push(s)
	}
	q.remove(j)
}

// first returns the job to dispatch next, or nil: in the highest tier that has
// queued jobs, the job with the earliest deadline of the workspace with the least
// virtual time.
func (q *queue) first() *job {
	for _, t := range q.tiers {
		if s, ok := t.active.Peek(); ok {
			j, _ := s.byDeadline.Peek()
			return j
		}
	}
	return nil
}

// sheddableBelow reports whether a job below rank r may be shed.
func (q *queue) sheddableBelow(r call.Rank) bool {
	return slices.ContainsFunc(q.tiers, func(t *tierQueue) bool { return t.rank.Below(r) && t.sheddable > 0 })
}

// shedFirst returns the queued job below rank r that is to be shed first, or nil:
// in the lowest tier, the costliest job of the workspace with the largest backlog.
// Every tier is below rank 0. Jobs that must wait are not shed.
func (q *queue) shedFirst(r call.Rank) *job {
	for _, t := range slices.Backward(q.tiers) {
		if !t.rank.Below(r) {
			return nil
		}
		if s := t.largestBacklog((*workspaceQueue).costliestSheddable); s != nil {
			return s.costliestSheddable()
		}
	}
	return nil
}

// shedFirstWaiting is like shedFirst for jobs of all tiers that must wait.
func (q *queue) shedFirstWaiting() *job {
	for _, t := range slices.Backward(q.tiers) {
		if s := t.largestBacklog((*workspaceQueue).costliestWaiting); s != nil {
			return s.costliestWaiting()
		}
	}
	return nil
}

func (s *workspaceQueue) costliestSheddable() *job {
	j, _ := s.sheddable.Peek()
	return j
}

func (s *workspaceQueue) costliestWaiting() *job {
	j, _ := s.waiting.Peek()
	return j
}

// largestBacklog returns the workspace with the largest backlog among those for
// which pick returns a job.
func (t *tierQueue) largestBacklog(pick func(*workspaceQueue) *job) *workspaceQueue {
	var f *workspaceQueue
	for _, s := range t.workspaces {
		if pick(s) == nil {
			continue
		}
		if f == nil || s.backlog() > f.backlog() || (s.backlog() == f.backlog() && s.name < f.name) {
			f = s
		}
	}
	return f
}

// backlog returns the queued work of a workspace divided by its share.
func (s *workspaceQueue) backlog() float64 { return s.work.Seconds() / s.share }

// costlier returns a queued job of j's tier and workspace that may be shed and is
// clearly costlier than j, by more than a quarter of j's cost, or nil.
func (q *queue) costlier(j *job, cost time.Duration) *job {
	s, ok := q.tier(j.terms.Rank).workspaces[j.offer.Workspace]
	if !ok {
		return nil
	}
	if v := s.costliestSheddable(); v != nil && v.cost > cost+cost/4 {
		return v
	}
	return nil
}

// ahead returns the predicted service time on one slot of the work that is
// dispatched before j: all work of higher tiers, and the work of its own tier that
// fair queueing serves before j.
func (q *queue) ahead(j *job) time.Duration {
	var w time.Duration
	for _, t := range q.tiers {
		if t.rank.Below(j.terms.Rank) {
			break
		}
		if t.rank == j.terms.Rank {
			return w + t.ahead(j)
		}
		w += t.work
	}
	return w
}

// ahead returns the part of the tier's work that is dispatched before j. If any job
// of j's workspace has an earlier deadline, all queued work of the workspace is
// counted.
func (t *tierQueue) ahead(j *job) time.Duration {
	s := t.workspace(j)
	var w time.Duration
	if h, ok := s.byDeadline.Peek(); ok && earlier(h, j) {
		w = s.work
	}
	// While the workspace is served for w, the others advance by the same virtual
	// time.
	span := w.Seconds() / s.share
	start := max(s.vtime, t.vtime)
	for _, o := range t.workspaces {
		if o != s {
			most := (start + span - o.vtime) * o.share
			w += min(o.work, time.Duration(max(most, 0)*float64(time.Second)))
		}
	}
	if s.byDeadline.Len() == 0 && s.vtime <= t.vtime {
		delete(t.workspaces, s.name)
	}
	return w
}

// work returns the predicted service time of all queued jobs on one slot.
func (q *queue) work() time.Duration {
	var w time.Duration
	for _, t := range q.tiers {
		w += t.work
	}
	return w
}

// all returns the queued jobs, highest tier first, by deadline within a tier.
func (q *queue) all() []*job {
	var s []*job
	for _, t := range q.tiers {
		k := len(s)
		t.byDeadline.Each(func(j *job) { s = append(s, j) })
		slices.SortFunc(s[k:], func(a, b *job) int {
			if earlier(a, b) {
				return -1
			}
			return 1
		})
	}
	return s
}
