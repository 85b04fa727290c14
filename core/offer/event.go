package offer

import (
	"time"

	"kingcupstand/core/call"
)

// Event is an input of [Machine.Step]: one of the types in this file.
type Event interface {
	apply(m *Machine) Action
}

// NotSent reports that no byte of the current offer was sent.
type NotSent struct{}

// LinkLost reports that the link of the offer with the given number broke after
// bytes may have been sent.
type LinkLost struct{ Number uint32 }

// Abort ends the request for a reason on the entry's side, such as a deadline or a
// caller that closed its connection.
type Abort struct{ Reason call.Reason }

// Shed ends a request for which no agent is left to try.
type Shed struct{ Outcome call.Outcome }

// Frame is a frame that an agent sent.
type Frame struct {
	ID call.ID
	// Number is the number of the offer that the frame belongs to.
	Number uint32
	// Sequence counts the frames of one offer from 0, without gaps.
	Sequence uint64
	Content  Content
}

func (NotSent) apply(m *Machine) Action {
	if m.state != Offered {
		return m.ignore()
	}
	if m.pinned {
		return m.end(call.ReasonAgentLost)
	}
	m.state = Choosing
	return Choose{}
}

func (e LinkLost) apply(m *Machine) Action {
	if e.Number != m.number || m.state == Choosing {
		return m.ignore()
	}
	return m.end(call.ReasonAgentLost)
}

func (e Abort) apply(m *Machine) Action { return m.end(e.Reason) }

func (e Shed) apply(m *Machine) Action {
	if m.state != Choosing || m.pinned {
		return m.end(e.Outcome.Reason)
	}
	return m.finish(e.Outcome)
}

func (e Frame) apply(m *Machine) Action { return m.frame(e) }

// Content is the content of a frame, as far as a Machine needs it.
type Content interface {
	content()
}

// Refused reports that the agent did not dispatch the offer.
type Refused struct {
	Outcome call.Outcome
	// Released is true if the agent will never dispatch the id.
	Released bool
}

// Queued reports that the offer is in the agent's queue.
type Queued struct{}

// Dispatched reports that the request is about to be sent to the target.
type Dispatched struct{}

// Head is the start of the target's response.
type Head struct{}

// Data is a piece of the body of the target's response.
type Data struct{}

// Finished is the end of the target's response. The response is complete only if
// Complete is set and a Head came before. Otherwise the outcome of a dispatched
// request has the given RetryAfter and Reason, or ReasonAnswerCut if there is none.
type Finished struct {
	Complete   bool
	Reason     call.Reason
	RetryAfter time.Duration
}

func (Refused) content()    {}
func (Queued) content()     {}
func (Dispatched) content() {}
func (Head) content()       {}
func (Data) content()       {}
func (Finished) content()   {}

// Action is an output of [Machine.Step]: one of the types below.
type Action interface {
	action()
}

// Choose reports that the request may be offered to another agent. Refusal is the
// outcome that the last agent returned, or zero if the offer was not sent.
type Choose struct{ Refusal call.Outcome }

// Forward asks for the frame's content to be passed to the caller.
type Forward struct{}

// Ignore asks for the frame or event to be dropped: it is a duplicate, its offer is
// over, or the request has its outcome.
type Ignore struct{}

// Wait reports that there is nothing to do.
type Wait struct{}

// Finish carries the final outcome of the request.
type Finish struct{ Outcome call.Outcome }

func (Choose) action()  {}
func (Forward) action() {}
func (Ignore) action()  {}
func (Wait) action()    {}
func (Finish) action()  {}
