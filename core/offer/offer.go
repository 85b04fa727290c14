// Package offer follows one request through an entry, from its acceptance to
// its single ending.
//
// A Life is a deterministic state machine. It decides when a request may be
// offered to another agent and what may truthfully be said about it: an offer
// moves on only if no byte of it left, or if the agent answered that it did not
// and never will dispatch it. Elapsed time is never such evidence.
//
// # Usage
//
//	l := offer.New(false)
//	n := l.Offer(id, minted)       // an agent was chosen
//	switch a := l.Step(e).(type) { // what the link or the caller did
//	case offer.Choose:  // choose another agent
//	case offer.Forward: // pass the frame's content to the caller
//	case offer.Ignore:  // drop the frame and count it
//	case offer.Finish:  // a.Ending is the last word
//	case offer.Wait:    // nothing to do
//	}
package offer

import (
	"kingcupstand/core/call"
)

// State is where a request is.
type State uint8

// The states of a request at an entry, in the order of its life.
const (
	// Choosing requests are with no agent.
	Choosing State = iota
	// Offered requests were sent to an agent that has not answered.
	Offered
	// Enqueued requests are in an agent's queue.
	Enqueued
	// Running requests were dispatched.
	Running
	// Ended requests have got their last word.
	Ended
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	state State
	id    call.ID
	// pinned requests came with an id that may have been used before. Only the
	// agent that the id names can tell, so nothing is said to be not run before
	// that agent has released it.
	pinned  bool
	minted  bool
	number  uint32
	next    uint64
	headed  bool
	ignored int
}

// New returns the life of a request that was just accepted. It is pinned if the
// caller brought the id.
func New(pinned bool) *Machine {
	return &Machine{pinned: pinned}
}

// Pinned reports whether only the agent that the id names may be asked.
func (l *Machine) Pinned() bool { return l.pinned }

// State returns where the request is.
func (l *Machine) State() State { return l.state }

// Number returns how many offers were made.
func (l *Machine) Number() uint32 { return l.number }

// Ignored returns how many frames were dropped.
func (l *Machine) Ignored() int { return l.ignored }

// Offer begins a new offer under the given id and returns its number. An id is
// minted if this entry made it for this offer, so that nobody else can use it.
// Offer must be called only in the Choosing state; it returns 0 in any other.
func (l *Machine) Offer(id call.ID, minted bool) uint32 {
	if l.state != Choosing {
		return 0
	}
	l.state = Offered
	l.id = id
	l.minted = minted
	l.number++
	l.next = 0
	l.headed = false
	return l.number
}

// Step takes one event and returns what is to be done.
func (l *Machine) Step(e Event) Action {
	if l.state == Ended {
		l.ignored++
		return Ignore{}
	}
	return e.apply(l)
}

func (l *Machine) finish(e call.Outcome) Action {
	l.state = Ended
	return Finish{Outcome: e}
}

// end gives the last word that the state allows.
func (l *Machine) end(r call.Reason) Action {
	switch {
	case l.state == Choosing && !l.pinned:
		return l.finish(call.NotRun(r))
	case l.state == Running:
		return l.finish(call.Incomplete(r))
	default:
		return l.finish(call.Unknown(r))
	}
}

func (l *Machine) ignore() Action {
	l.ignored++
	return Ignore{}
}

// frame checks that a frame belongs to the current offer and comes in order.
func (l *Machine) frame(f Frame) Action {
	if l.state == Choosing || f.ID != l.id || f.Number != l.number || f.Sequence < l.next {
		return l.ignore()
	}
	if f.Sequence > l.next {
		return l.end(call.ReasonAnswerCut)
	}
	l.next++
	return l.accept(f)
}

// accept handles a frame that is in order.
func (l *Machine) accept(f Frame) Action {
	switch k := f.Content.(type) {
	case Refused:
		return l.refused(k)
	case Queued:
		return l.queued()
	case Dispatched:
		return l.dispatched()
	case Head:
		return l.head()
	case Data:
		return l.data()
	case Finished:
		return l.finished(k)
	default:
		return l.end(call.ReasonAnswerCut)
	}
}

func (l *Machine) refused(k Refused) Action {
	if l.state == Running {
		return l.end(call.ReasonAnswerCut)
	}
	if k.Released || (l.minted && unseen(k.Outcome.Reason)) {
		l.state = Choosing
		l.pinned = false
		return Choose{Refusal: k.Outcome}
	}
	return l.finish(k.Outcome)
}

// unseen reports whether an agent refused an id without having known it. If this
// entry minted the id for this offer, nobody else can bring it there.
func unseen(r call.Reason) bool {
	switch r {
	case call.ReasonWrongIncarnation, call.ReasonExpired, call.ReasonOverload:
		return true
	default:
		return false
	}
}

func (l *Machine) queued() Action {
	if l.state != Offered {
		return l.end(call.ReasonAnswerCut)
	}
	l.state = Enqueued
	return Wait{}
}

func (l *Machine) dispatched() Action {
	if l.state == Running {
		return l.end(call.ReasonAnswerCut)
	}
	l.state = Running
	return Wait{}
}

func (l *Machine) head() Action {
	if l.state != Running || l.headed {
		return l.end(call.ReasonAnswerCut)
	}
	l.headed = true
	return Forward{}
}

func (l *Machine) data() Action {
	if !l.headed {
		return l.end(call.ReasonAnswerCut)
	}
	return Forward{}
}

func (l *Machine) finished(k Finished) Action {
	if k.Complete && l.headed {
		return l.finish(call.Answered())
	}
	if l.state != Running {
		return l.end(call.ReasonAnswerCut)
	}
	r := k.Reason
	if r == call.ReasonNone {
		r = call.ReasonAnswerCut
	}
	return l.finish(call.Incomplete(r).WithRetryAfter(k.RetryAfter))
}
