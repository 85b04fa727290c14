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
	// Wait is how long the caller will wait; 0 if it doesn't say.
	Wait time.Duration
	Key  string
	// Counted is true if the caller counted its tokens.
	Counted bool
	// Prompt and Output are the prompt's tokens and the most output tokens.
	Prompt int
	Output int
	// LastEvent is the id of the last event that the caller has; "" at the start.
	LastEvent string
}

// Send is what a target is told besides the caller's own headers.
type Send struct {
	// Target is the id of the only target that may run the request.
	Target string
	// Wait is how long an answer will be waited for.
	Wait      time.Duration
	Workspace string
	LastEvent string
}

// Reply is what a target's headers say of its answer.
type Reply struct {
	// ID names the attempt that is answered; "" if the target doesn't say.
	ID string
	// Signed is true if the answer carries the target's receipt.
	Signed bool
	// NotRun is true if the target promises that it has not run the request.
	NotRun bool
}

// Codec translates between headers on the wire and the front's types.
type Codec interface {
	// Decode reads a caller's headers.
	Decode(h http.Header) (Call, error)
	// Encode turns a copy of a caller's headers into those for a target.
	Encode(h http.Header, s Send)
	// Reply reads the head of a target's answer.
	Reply(status int, h http.Header) Reply
}

// Sink takes what the platform publishes. Its methods don't block for long.
type Sink interface {
	// Plan takes the newest configuration.
	Plan(p *spec.Plan)
	// Whole takes the full list of targets.
	Whole(d *spec.Directory)
	// Put takes a new or changed target.
	Put(revision uint64, r *spec.Replica)
	// Gone takes the removal of a target.
	Gone(revision uint64, id string)
	// Unreadable takes an entry of the list that names no target.
	Unreadable(revision uint64, id string, err error)
	// Confirm notes that the platform has answered; what is held is current.
	Confirm()
	// Lost notes that the platform doesn't answer.
	Lost(err error)
	// Lookout reports whether this front is one of the few that look at the platform
	// often.
	Lookout() bool
}

// Source reads the platform until ctx ends.
type Source interface {
	Run(ctx context.Context, s Sink)
}
