package offer

import (
	"time"

	"kingcupstand/core/call"
)

// Event is an input of a Life: one of the types of this file.
type Event interface {
	apply(l *Machine) Action
}

// NotSent says that no byte of the current offer left this process.
type NotSent struct{}

// LinkLost says that the link of an offer broke after bytes may have left.
type LinkLost struct{ Number uint32 }

// Abort ends the request for a reason that this entry has.
type Abort struct{ Reason call.Reason }

// Shed ends a request that no agent takes.
type Shed struct{ Outcome call.Outcome }

// Frame is what an agent sent.
type Frame struct {
	ID       call.ID
	Number   uint32
	Sequence uint64
	Content  Content
}

func (NotSent) apply(l *Machine) Action {
	if l.state != Offered {
		return l.ignore()
	}
	if l.pinned {
		return l.end(call.ReasonAgentLost)
	}
	l.state = Choosing
	return Choose{}
}

func (e LinkLost) apply(l *Machine) Action {
	if e.Number != l.number || l.state == Choosing {
		return l.ignore()
	}
	return l.end(call.ReasonAgentLost)
}

func (e Abort) apply(l *Machine) Action { return l.end(e.Reason) }

func (e Shed) apply(l *Machine) Action {
	if l.state != Choosing || l.pinned {
		return l.end(e.Outcome.Reason)
	}
	return l.finish(e.Outcome)
}

func (e Frame) apply(l *Machine) Action { return l.frame(e) }

// Content is the content of a frame, as far as a Life needs it.
type Content interface {
	kind()
}

// Refused says that the agent did not dispatch the offer.
type Refused struct {
	Outcome  call.Outcome
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
	Complete   bool
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
type Choose struct{ Refusal call.Outcome }

// Forward says that the frame's content belongs to the caller.
type Forward struct{}

// Ignore says that the frame belongs to nothing that is alive.
type Ignore struct{}

// Wait says that there is nothing to do.
type Wait struct{}

// Finish carries the last word.
type Finish struct{ Outcome call.Outcome }

func (Choose) action()  {}
func (Forward) action() {}
func (Ignore) action()  {}
func (Wait) action()    {}
func (Finish) action()  {}
