package front

import (
	"context"
	"net/http"
	"time"

	"kingcupstand/schema/spec"
)

// Call is what a caller's headers say of its request.
type Call struct {
	// ID names this attempt of the caller; each attempt has its own.
	ID string
	// Timeout is how long the caller will wait; 0 if it doesn't say.
	Timeout time.Duration
	Key     string
	// HasTokens is true if the caller counted its tokens.
	HasTokens bool
	// PromptTokens and Output are the prompt's tokens and the most output tokens.
	PromptTokens int
	OutputTokens int
	// LastEventID is the id of the last event that the caller has; "" at the start.
	LastEventID string
}

// Dispatch is what a target is told besides the caller's own headers.
type Dispatch struct {
	// Target is the id of the only target that may run the request.
	Target string
	// Timeout is how long an answer will be waited for.
	Timeout     time.Duration
	Workspace   string
	LastEventID string
}

// Reply is what a target's headers say of its answer.
type Reply struct {
	// ID names the attempt that is answered; "" if the target doesn't say.
	ID string
	// HasReceipt is true if the answer carries the target's receipt.
	HasReceipt bool
	// NotRun is true if the target promises that it has not run the request.
	NotRun bool
}

// Codec translates between headers on the wire and the front's types.
type Codec interface {
	// DecodeCall reads a caller's headers.
	DecodeCall(h http.Header) (Call, error)
	// EncodeDispatch turns a copy of a caller's headers into those for a target.
	EncodeDispatch(h http.Header, s Dispatch)
	// DecodeReply reads the head of a target's answer.
	DecodeReply(status int, h http.Header) Reply
}

// Sink takes what the platform publishes. Its methods don't block for long.
type Sink interface {
	// SetPlan takes the newest configuration.
	SetPlan(p *spec.Plan)
	// ReplaceTargets takes the full list of targets.
	ReplaceTargets(d *spec.Directory)
	// PutTarget takes a new or changed target.
	PutTarget(revision uint64, r *spec.Replica)
	// RemoveTarget takes the removal of a target.
	RemoveTarget(revision uint64, id string)
	// InvalidTarget takes an entry of the list that names no target.
	InvalidTarget(revision uint64, id string, err error)
	// ConfirmTargets notes that the platform has answered; what is held is current.
	ConfirmTargets()
	// Disconnected notes that the platform doesn't answer.
	Disconnected(err error)
	// PrimaryWatcher reports whether this front is one of the few that look at the platform
	// often.
	PrimaryWatcher() bool
}

// Source reads the platform until ctx ends.
type Source interface {
	Run(ctx context.Context, s Sink)
}
