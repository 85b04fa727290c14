package offer

import (
	"time"

	"kingcupstand/core/call"
)

// Event is an input of a Life: one of the types of this file.
type Event interface {
	apply(l *Life) Action
}

// NotSent says that no byte of the current offer left this process.
type NotSent struct{}

// Lost says that the link of an offer broke after bytes may have left.
type Lost struct{ Number uint32 }

// GiveUp ends the request for a reason that this entry has.
type GiveUp struct{ Reason call.Reason }

// Shed ends a request that no agent takes.
type Shed struct{ Ending call.Ending }

// Frame is what an agent sent.
type Frame struct {
	ID       call.ID
	Number   uint32
	Sequence uint64
	Kind     Kind
}

func (NotSent) apply(l *Life) Action {
	if l.state != Offered {
		return l.ignore()
	}
	if l.pinned {
		return l.end(call.ReasonLost)
	}
	l.state = Choosing
	return Choose{}
}

func (e Lost) apply(l *Life) Action {
	if e.Number != l.number || l.state == Choosing {
		return l.ignore()
	}
	return l.end(call.ReasonLost)
}

func (e GiveUp) apply(l *Life) Action { return l.end(e.Reason) }

func (e Shed) apply(l *Life) Action {
	if l.state != Choosing || l.pinned {
		return l.end(e.Ending.Reason)
	}
	return l.finish(e.Ending)
}

func (e Frame) apply(l *Life) Action { return l.frame(e) }

// Kind is the content of a frame, as far as a Life needs it.
type Kind interface {
	kind()
}

// Refused says that the agent did not dispatch the offer.
type Refused struct {
	Ending   call.Ending
	Released bool
}

// Queued says that the agent holds the offer.
type Queued struct{}

// Dispatched says that the request is about to reach the target.
type Dispatched struct{}

// Head is the start of the target's answer.
type Head struct{}

// Data is a piece of the target's answer.
type Data struct{}

// Finished is the end of the target's answer.
type Finished struct {
	Whole      bool
	Reason     call.Reason
	RetryAfter time.Duration
}

func (Refused) kind()    {}
func (Queued) kind()     {}
func (Dispatched) kind() {}
func (Head) kind()       {}
func (Data) kind()       {}
func (Finished) kind()   {}

// Action is an output of a Life: one of the types below.
type Action interface {
	action()
}

// Choose says that the request may be offered to another agent. Refusal is what
// the last agent said, or zero if the offer never left.
type Choose struct{ Refusal call.Ending }

// Forward says that the frame's content belongs to the caller.
type Forward struct{}

// Ignore says that the frame belongs to nothing that is alive.
type Ignore struct{}

// Wait says that there is nothing to do.
type Wait struct{}

// Finish carries the last word.
type Finish struct{ Ending call.Ending }

func (Choose) action()  {}
func (Forward) action() {}
func (Ignore) action()  {}
func (Wait) action()    {}
func (Finish) action()  {}
