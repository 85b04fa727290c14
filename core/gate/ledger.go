package gate

import (
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/heap"
)

// status is what the ledger knows of an id.
type status uint8

const (
	// held ids are queued.
	held status = iota
	// begun ids were dispatched and have not finished.
	begun
	// whole ids were answered to the end.
	whole
	// cut ids ran, and their answer ended early.
	cut
	// released ids were refused; the entry that offered them may have moved them.
	released
)

// record is the ledger's entry for one id.
type record struct {
	id     call.ID
	status status
	expiry time.Duration
	node   *heap.Node[*record]
}

// ledger remembers ids until their lifetime ends, so that each is dispatched at
// most once. It never drops an id that is still alive: when it is full it takes
// no new ones.
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

// add remembers a new id as held. It reports false if the ledger is full.
func (l *ledger) add(id call.ID, expiry time.Duration) bool {
	if len(l.records) >= l.limit {
		return false
	}
	r := &record{id: id, status: held, expiry: expiry}
	r.node = l.expiry.Push(r)
	l.records[id] = r
	return true
}

// begin marks a held id as dispatched. It reports false for any other id.
func (l *ledger) begin(id call.ID) bool {
	r, ok := l.records[id]
	if !ok || r.status != held {
		return false
	}
	r.status = begun
	return true
}

func (l *ledger) set(id call.ID, f status) {
	if r, ok := l.records[id]; ok {
		r.status = f
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

// judge returns what a second submission of a known id is told.
func (l *ledger) judge(id call.ID) (call.Outcome, bool) {
	r, ok := l.records[id]
	if !ok {
		return call.Outcome{}, false
	}
	switch r.status {
	case begun, whole, cut:
		return call.Incomplete(call.ReasonDuplicate), true
	case released:
		return call.Unknown(call.ReasonMoved), true
	default:
		return call.Unknown(call.ReasonDuplicate), true
	}
}

// expire drops ids whose lifetime has ended; judgeID refuses them by their expiry.
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
