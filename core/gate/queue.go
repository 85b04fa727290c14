package gate

import (
	"slices"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/heap"
)

// lane holds the queued jobs of one tier in two orders.
type lane struct {
	rank call.Rank
	// early gives the earliest deadline, which is dispatched first.
	early *heap.Heap[*job]
	// late and patient give the latest deadline among jobs that may be shed, and
	// among jobs that must wait.
	late, patient *heap.Heap[*job]
	// work is the predicted time of the lane's jobs on one slot.
	work time.Duration
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
	later := func(a, b *job) bool { return earlier(b, a) }
	l := &lane{rank: r, early: heap.New(earlier), late: heap.New(later), patient: heap.New(later)}
	q.lanes = slices.Insert(q.lanes, i, l)
	return l
}

// earlier orders jobs of one tier: by deadline, then by arrival.
func earlier(a, b *job) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
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
	j.lane = l
	j.own = own
	j.early = l.early.Push(j)
	l.work += own
	if j.terms.Wait {
		j.late = l.patient.Push(j)
		q.waiting++
		return
	}
	j.late = l.late.Push(j)
	q.count++
}

// remove takes a job out; jobs that are not queued are left alone.
func (q *queue) remove(j *job) {
	l := j.lane
	if l == nil {
		return
	}
	j.lane = nil
	l.early.Remove(j.early)
	l.work -= j.own
	if j.terms.Wait {
		l.patient.Remove(j.late)
		q.waiting--
		return
	}
	l.late.Remove(j.late)
	q.count--
}

// first returns the job that is dispatched next, or nil.
func (q *queue) first() *job {
	for _, l := range q.lanes {
		if j, ok := l.early.Peek(); ok {
			return j
		}
	}
	return nil
}

// last returns the queued job below rank r that is shed first, or nil. No tier
// is above rank 0. Jobs that must wait are not shed.
func (q *queue) last(r call.Rank) *job {
	for _, l := range slices.Backward(q.lanes) {
		if !l.rank.Below(r) {
			return nil
		}
		if j, ok := l.late.Peek(); ok {
			return j
		}
	}
	return nil
}

// lastWaiting returns the waiting job with the lowest tier and latest deadline.
func (q *queue) lastWaiting() *job {
	for _, l := range slices.Backward(q.lanes) {
		if j, ok := l.patient.Peek(); ok {
			return j
		}
	}
	return nil
}

// ahead returns the predicted time of all work that goes before j.
func (q *queue) ahead(j *job) time.Duration {
	var w time.Duration
	for _, l := range q.lanes {
		if l.rank.Below(j.terms.Rank) {
			break
		}
		h, ok := l.early.Peek()
		if l.rank == j.terms.Rank && (!ok || earlier(j, h)) {
			break
		}
		w += l.work
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

// all returns the queued jobs, highest tier first, in dispatch order.
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
