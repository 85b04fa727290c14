// Package call holds what every part of the system says about one request: its
// id, its tier's rank and how it ended.
//
// # Usage
//
// An entry makes a Ticket for the agent that is to run a request and passes its
// text form along as the request id. The agent parses the text and compares the
// incarnation with its own:
//
//	t := call.NewTicket("engine-3", incarnation, nonce, expiry)
//	id := t.ID()
//	u, err := call.ParseID(id)
//
// An Ending is what a caller is told in the end. Its Ran field never claims more
// than what is known: RanUnknown is the answer wherever nobody can tell.
package call

// Rank orders tiers. Rank 1 is the highest tier and is shed last.
type Rank uint32

// Below reports whether r is a lower tier than o, hence shed before it.
func (r Rank) Below(o Rank) bool {
	return r > o
}

// Ran says whether a request was dispatched to a target.
type Ran uint8

// The three truthful statements about a request that got no whole answer.
const (
	// RanUnknown means that nobody can tell.
	RanUnknown Ran = iota
	// RanNo means that the request did not run and will not run.
	RanNo
	// RanYes means that the request was dispatched.
	RanYes
)

// String returns the form used in headers, error bodies and messages.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// ParseRan is the inverse of Ran.String. Unrecognized text is RanUnknown.
func ParseRan(s string) Ran {
	switch s {
	case "no":
		return RanNo
	case "yes":
		return RanYes
	default:
		return RanUnknown
	}
}

// Reason is a stable code for why a request got no whole answer.
type Reason string

// Reasons, as callers see them in error bodies.
const (
	// ReasonNone belongs to whole answers.
	ReasonNone Reason = ""
	// ReasonOverload means that the request was shed.
	ReasonOverload Reason = "overloaded"
	// ReasonDeadlineUnreachable means that even an idle target could not meet the deadline.
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"
	// ReasonDeadlinePassed means that the deadline passed while the request waited.
	ReasonDeadlinePassed Reason = "deadline-passed"
	// ReasonLeaving means that the agent takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonWrongIncarnation means that the id names another agent incarnation.
	ReasonWrongIncarnation Reason = "wrong-incarnation"
	// ReasonExpired means that the id is too old to judge.
	ReasonExpired Reason = "request-id-expired"
	// ReasonDuplicate means that the id is in use by an earlier submission.
	ReasonDuplicate Reason = "duplicate-request"
	// ReasonMoved means that the id was released to the entry that offered it first.
	ReasonMoved Reason = "request-moved"
	// ReasonNoTarget means that no target serves the model or service.
	ReasonNoTarget Reason = "no-target"
	// ReasonAgentLost means that the agent could not be reached any more.
	ReasonAgentLost Reason = "agent-lost"
	// ReasonAnswerCut means that the target's answer ended early.
	ReasonAnswerCut Reason = "answer-cut"
	// ReasonPreempted means that a running request gave way to a higher tier.
	ReasonPreempted Reason = "preempted"
	// ReasonTargetStalled means that the target fell silent.
	ReasonTargetStalled Reason = "target-stalled"
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonProcessStopped means that the process ended before the answer did.
	ReasonProcessStopped Reason = "process-stopped"
	// ReasonRetryBudget means that the entry's retry budget is spent.
	ReasonRetryBudget Reason = "retry-budget-spent"
	// ReasonTargetUnreachable means that the target could not be reached by its agent.
	ReasonTargetUnreachable Reason = "target-unreachable"
	// ReasonContractChanged means that the caller's contract no longer allows the request.
	ReasonContractChanged Reason = "contract-changed"
)
