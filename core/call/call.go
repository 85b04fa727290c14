// Package call defines the attributes of a request that entries, agents and callers
// exchange: its id, the rank of its tier, and its outcome.
//
// # Usage
//
// An entry makes a Ticket for the agent that is to run a request and sends its encoded
// form along as the request id. The agent parses the id and compares the incarnation
// with its own:
//
//	t := call.NewTicket("engine-3", incarnation, nonce, expiry)
//	id := t.ID()
//	u, err := call.ParseID(id)
//
// An Outcome is the final result that is reported to the caller. Its Ran field is
// RanUnknown wherever it can't be known whether the request ran.
package call

// Rank orders tiers. Rank 1 is the highest tier and is shed last.
type Rank uint32

// Below reports whether r is a lower tier than o and so is shed before it.
func (r Rank) Below(o Rank) bool {
	return r > o
}

// Ran is what is known about whether a request was dispatched to a target. A caller that
// got no complete response uses it to decide whether it may safely submit again.
type Ran uint8

// Values of Ran.
const (
	// RanUnknown means that it can't be determined.
	RanUnknown Ran = iota
	// RanNo means that the request did not run and will not run.
	RanNo
	// RanYes means that the request was dispatched.
	RanYes
)

// String returns the form used in headers, error bodies and messages: "no", "yes" or
// "unknown".
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

// ParseRan is the inverse of Ran.String. It returns RanUnknown for any other text.
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

// Reason is a stable code for why a request got no complete response.
type Reason string

// Reasons, as callers see them in error bodies.
const (
	// ReasonNone is the reason of complete responses.
	ReasonNone Reason = ""
	// ReasonOverload means that the request was shed because of overload.
	ReasonOverload Reason = "overloaded"
	// ReasonDeadlineUnreachable means that even an idle target could not meet the deadline.
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"
	// ReasonDeadlinePassed means that the deadline passed while the request was queued.
	ReasonDeadlinePassed Reason = "deadline-passed"
	// ReasonLeaving means that the agent is leaving and takes no new requests.
	ReasonLeaving Reason = "leaving"
	// ReasonWrongIncarnation means that the id was made for another agent incarnation.
	ReasonWrongIncarnation Reason = "wrong-incarnation"
	// ReasonExpired means that the id's lifetime has ended, so the agent no longer knows
	// whether the request has run.
	ReasonExpired Reason = "request-id-expired"
	// ReasonDuplicate means that the id is in use by an earlier submission.
	ReasonDuplicate Reason = "duplicate-request"
	// ReasonMoved means that the id was released to the entry that offered it first.
	ReasonMoved Reason = "request-moved"
	// ReasonNoTarget means that no target serves the model or service.
	ReasonNoTarget Reason = "no-target"
	// ReasonAgentLost means that the agent could no longer be reached.
	ReasonAgentLost Reason = "agent-lost"
	// ReasonAnswerCut means that the target's response ended before it was complete.
	ReasonAnswerCut Reason = "answer-cut"
	// ReasonPreempted means that the request was running and was preempted by one of a
	// higher tier.
	ReasonPreempted Reason = "preempted"
	// ReasonTargetStalled means that the target stopped sending.
	ReasonTargetStalled Reason = "target-stalled"
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonProcessStopped means that the process stopped before the response was complete.
	// No process returns it at present.
	ReasonProcessStopped Reason = "process-stopped"
	// ReasonRetryBudget means that the entry's retry budget is spent. No process returns it
	// at present, as entries have no such budget.
	ReasonRetryBudget Reason = "retry-budget-spent"
	// ReasonTargetUnreachable means that the agent could not reach its target.
	ReasonTargetUnreachable Reason = "target-unreachable"
	// ReasonContractChanged means that the caller's contract no longer allows the request.
	ReasonContractChanged Reason = "contract-changed"
)
