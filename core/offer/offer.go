// Package offer tracks one request through an entry, from its acceptance to its
// single outcome. An entry offers a request to one agent at a time; the package
// decides when the request may be offered to another agent, and whether its outcome
// may claim that it ran or did not run.
//
// A Machine is a deterministic state machine: events go in, and one action comes
// out for each. It has no goroutine, clock or I/O.
//
// # Invariants
//
//   - A request is offered to another agent only if no byte of the current offer
//     was sent, or if its agent refused it so that it can't run there: the agent
//     will never dispatch the id, or it never recorded an id that this entry made
//     for this offer alone. Elapsed time is no such evidence.
//   - A request has exactly one outcome. It claims that the request ran, or did not
//     run, only if that is known.
//   - Only frames of the current offer are used, in sequence. Duplicates and frames
//     of earlier offers are dropped; a gap ends the request, so that no incomplete
//     response is passed on as complete.
//   - A request whose id was brought by the caller may already have run. It is
//     pinned: only the agent that the id names may be asked, until that agent
//     releases the id.
//
// # Usage
//
//	m := offer.New(false)
//	n := m.Offer(id, minted)       // an agent was chosen
//	switch a := m.Step(e).(type) { // an event of the link or the caller
//	case offer.Choose:  // choose another agent
//	case offer.Forward: // pass the frame's content to the caller
//	case offer.Ignore:  // drop the frame and count it
//	case offer.Finish:  // a.Outcome is the final outcome
//	case offer.Wait:    // nothing to do
//	}
package offer

import (
	"kingcupstand/core/call"
)

// State is the state of a request at its entry.
type State uint8

// The states of a request.
const (
	// Choosing requests are not offered to any agent.
	Choosing State = iota
	// Offered requests were sent to an agent that has not replied.
	Offered
	// Enqueued requests are in an agent's queue.
	Enqueued
	// Running requests were dispatched.
	Running
	// Ended requests have their final outcome.
	Ended
)

// Machine is the state machine of one request at its entry. It is not safe for
// concurrent use.
type Machine struct {
	state State
	id    call.ID
	// pinned requests have an id that may have been used before. Only the agent
	// that the id names can tell, so a request is not reported as not run before
	// that agent has released it.
	pinned bool
	// minted is true if this entry made id for the current offer.
	minted bool
	// number is the number of the current offer, from 1; next is the sequence
	// number of its next frame.
	number uint32
	next   uint64
	// headReceived is true once the current offer has got its Head frame.
	headReceived bool
	ignored      int
}

// New returns the state machine of a request that was just accepted. The request is
// pinned if the caller brought the id.
func New(pinned bool) *Machine {
	return &Machine{pinned: pinned}
}

// Pinned reports whether the request may be offered only to the agent that its id
// names.
func (m *Machine) Pinned() bool { return m.pinned }

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// Number returns how many offers were made.
func (m *Machine) Number() uint32 { return m.number }

// Ignored returns how many events and frames were dropped.
func (m *Machine) Ignored() int { return m.ignored }

// Offer starts a new offer under the given id and returns its number. The id is
// minted if this entry made it for this offer, so that nobody else can use it.
// Offer must be called only in state Choosing; it returns 0 in any other state.
func (m *Machine) Offer(id call.ID, minted bool) uint32 {
	if m.state != Choosing {
		return 0
	}
	m.state = Offered
	m.id = id
	m.minted = minted
	m.number++
	m.next = 0
	m.headReceived = false
	return m.number
}

// Step handles one event and returns the action to carry out.
func (m *Machine) Step(e Event) Action {
	if m.state == Ended {
		m.ignored++
		return Ignore{}
	}
	return e.apply(m)
}

func (m *Machine) finish(e call.Outcome) Action {
	m.state = Ended
	return Finish{Outcome: e}
}

// end ends the request with the outcome that its state allows.
func (m *Machine) end(r call.Reason) Action {
	switch {
	case m.state == Choosing && !m.pinned:
		return m.finish(call.NotRun(r))
	case m.state == Running:
		return m.finish(call.Incomplete(r))
	default:
		return m.finish(call.Unknown(r))
	}
}

func (m *Machine) ignore() Action {
	m.ignored++
	return Ignore{}
}

// frame checks that a frame belongs to the current offer and is in sequence.
func (m *Machine) frame(f Frame) Action {
	if m.state == Choosing || f.ID != m.id || f.Number != m.number || f.Sequence < m.next {
		return m.ignore()
	}
	if f.Sequence > m.next {
		return m.end(call.ReasonAnswerCut)
	}
	m.next++
	return m.accept(f)
}

// accept handles a frame that is in sequence.
func (m *Machine) accept(f Frame) Action {
	switch k := f.Content.(type) {
	case Refused:
		return m.refused(k)
	case Queued:
		return m.queued()
	case Dispatched:
		return m.dispatched()
	case Head:
		return m.head()
	case Data:
		return m.data()
	case Finished:
		return m.finished(k)
	default:
		return m.end(call.ReasonAnswerCut)
	}
}

func (m *Machine) refused(k Refused) Action {
	if m.state == Running {
		return m.end(call.ReasonAnswerCut)
	}
	if k.Released || (m.minted && unrecorded(k.Outcome.Reason)) {
		m.state = Choosing
		m.pinned = false
		return Choose{Refusal: k.Outcome}
	}
	return m.finish(k.Outcome)
}

// unrecorded reports whether an agent that refuses an id for this reason has not
// recorded it. If this entry minted the id for this offer, nobody else can submit
// it there.
func unrecorded(r call.Reason) bool {
	switch r {
	case call.ReasonWrongIncarnation, call.ReasonExpired, call.ReasonOverload:
		return true
	default:
		return false
	}
}

func (m *Machine) queued() Action {
	if m.state != Offered {
		return m.end(call.ReasonAnswerCut)
	}
	m.state = Enqueued
	return Wait{}
}

func (m *Machine) dispatched() Action {
	if m.state == Running {
		return m.end(call.ReasonAnswerCut)
	}
	m.state = Running
	return Wait{}
}

func (m *Machine) head() Action {
	if m.state != Running || m.headReceived {
		return m.end(call.ReasonAnswerCut)
	}
	m.headReceived = true
	return Forward{}
}

func (m *Machine) data() Action {
	if !m.headReceived {
		return m.end(call.ReasonAnswerCut)
	}
	return Forward{}
}

func (m *Machine) finished(k Finished) Action {
	if k.Complete && m.headReceived {
		return m.finish(call.Answered())
	}
	if m.state != Running {
		return m.end(call.ReasonAnswerCut)
	}
	r := k.Reason
	if r == call.ReasonNone {
		r = call.ReasonAnswerCut
	}
	return m.finish(call.Incomplete(r).WithRetryAfter(k.RetryAfter))
}
