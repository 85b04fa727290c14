package gate

import (
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/heap"
)

// status is the state of an id in the ledger.
type status uint8

const (
	// pending ids are queued.
	pending status = iota
	// dispatched ids are running.
	dispatched
	// completed ids got a complete response.
	completed
	// truncated ids were dispatched, and their response ended early.
	truncated
	// released ids were refused, or dispatched without any byte being sent to the
	// target. Their entry may have offered the request to another agent.
	released
)

// record is the ledger's entry for one id.
type record struct {
	id     call.ID
	status status
	expiry time.Duration
	node   *heap.Node[*record]
}

// ledger records ids until they expire, so that each is dispatched at most once. It
// never evicts an id before its expiry: when it is full, it accepts no new ids.
type ledger struct {
	limit   int
	records map[call.ID]*record
	expiry  *heap.Heap[*record]
}

func newLedger(limit int) *ledger {
	return &ledger{
		limit:   limit,
		records: make(map[call.ID]*record),
		expiry:  heap.New(func(a, b *record) bool { return a.expiry < b.expiry }),
	}
}

// add records a new id as pending. It reports false if the ledger is full.
func (l *ledger) add(id call.ID, expiry time.Duration) bool {
	if len(l.records) >= l.limit {
		return false
	}
	r := &record{id: id, status: pending, expiry: expiry}
	r.node = l.expiry.Push(r)
	l.records[id] = r
	return true
}

// dispatch marks a pending id as dispatched. It reports false for any other id.
func (l *ledger) dispatch(id call.ID) bool {
	r, ok := l.records[id]
	if !ok || r.status != pending {
		return false
	}
	r.status = dispatched
	return true
}

func (l *ledger) set(id call.ID, s status) {
	if r, ok := l.records[id]; ok {
		r.status = s
	}
}

func (l *ledger) remove(id call.ID) {
	r, ok := l.records[id]
	if !ok {
		return
	}
	l.expiry.Remove(r.node)
	delete(l.records, id)
}

// outcome returns the outcome of a second submission of an id, or false if the id
// is not recorded.
func (l *ledger) outcome(id call.ID) (call.Outcome, bool) {
	r, ok := l.records[id]
	if !ok {
		return call.Outcome{}, false
	}
	switch r.status {
	case dispatched, completed, truncated:
		return call.Incomplete(call.ReasonDuplicate), true
	case released:
		return call.Unknown(call.ReasonMoved), true
	default:
		return call.Unknown(call.ReasonDuplicate), true
	}
}

// expire removes expired ids. If they are submitted again, checkID refuses them by
// the expiry that they contain.
func (l *ledger) expire(now time.Duration) {
	for {
		r, ok := l.expiry.Peek()
		if !ok || r.expiry > now {
			return
		}
		l.expiry.Pop()
		delete(l.records, r.id)
	}
}
