package front

import (
	"context"
	"net/http"
	"time"

	"kingcupstand/core/drain"
	"kingcupstand/schema/spec"
)

// Call is the decoded form of the headers of a caller's request.
type Call struct {
	// ID identifies the request. A caller that retries uses a new ID each time.
	ID string
	// Timeout is how long the caller will wait for the response; 0 if it sets no limit.
	Timeout time.Duration
	// Key is the caller's API key.
	Key string
	// HasTokens is true if the caller sent token counts.
	HasTokens bool
	// PromptTokens is the number of prompt tokens and OutputTokens the largest number of
	// output tokens; both are 0 without HasTokens.
	PromptTokens int
	OutputTokens int
	// OutputHint is the caller's estimate of the number of output tokens; 0 if there is
	// none.
	OutputHint int
	// LastEventID is the id of the last event that the caller has received from a stream
	// that it resumes; "" for a new stream.
	LastEventID string
	// FirstAttempt is the ID of the request that brought the first event of the stream that
	// the caller resumes; "" if it names none.
	FirstAttempt string
	// Parts are the IDs of the parts of the prompt that other requests may share.
	Parts []string
}

// Dispatch is the decoded form of the headers that are added when a request is
// dispatched to a target.
type Dispatch struct {
	// ID is the id of the request; "" for a call of the front itself.
	ID string
	// Target is the id of the target; any other process must refuse the request.
	Target string
	// Timeout is how long the front will wait for the response.
	Timeout time.Duration
	// Workspace is the name of the caller's workspace; "" if it has none.
	Workspace string
	// LastEventID is the id of the event after which a stream continues; "" for a new
	// stream.
	LastEventID string
}

// Reply is the decoded form of the headers of a target's response.
type Reply struct {
	// ID is the id of the request that the response belongs to; "" if the target
	// doesn't name it.
	ID string
	// HasReceipt is true if the response has the receipt header, which proves that it was
	// made by a target.
	HasReceipt bool
	// SameProcess is true if the response proves that it was made by the process that was chosen,
	// not by another one with its id or address.
	SameProcess bool
	// NotRun is true if the target guarantees that it has not run the request.
	NotRun bool
	// HasLimit is true if the target names a limit, and Limit is the number of requests a
	// second that it takes from all fronts together.
	HasLimit bool
	Limit    float64
	// LimitErr is not nil if the target names a limit that is malformed.
	LimitErr error
	// Leaving is true if the target says that it leaves and wants no more requests.
	Leaving bool
	// HasRetryAfter is true if the target names a time for which it wants no more from this front,
	// which is RetryAfter.
	HasRetryAfter bool
	RetryAfter    time.Duration
	// RetryAfterErr is not nil if that time is malformed.
	RetryAfterErr error
	// Warming is for how much longer the target warms up; 0 if it doesn't say so. WarmingErr is
	// not nil if that time is malformed.
	Warming    time.Duration
	WarmingErr error
}

// Codec translates between the platform's HTTP headers and this package's types.
// Its methods may be called concurrently.
type Codec interface {
	// DecodeCall reads the headers of a caller's request. An error means that they are
	// malformed; the caller then gets status 400.
	DecodeCall(h http.Header) (Call, error)
	// EncodeDispatch changes h, a copy of a caller's headers, into the headers of the
	// request to a target.
	EncodeDispatch(h http.Header, d Dispatch)
	// DecodeReply reads the status and headers of a target's response.
	DecodeReply(status int, h http.Header) Reply
	// RunsPath is the path at which targets list the requests that they run.
	RunsPath() string
	// DecodeRuns reads that list. It returns the IDs of the requests.
	DecodeRuns(body []byte) ([]string, error)
}

// Sink receives what the platform publishes. Its methods don't block for long.
type Sink interface {
	// SetPlan replaces the configuration if it is newer than the current one. It reports false if the
	// configuration can't be used.
	SetPlan(p *spec.Plan) bool
	// ReplaceTargets replaces the complete target list.
	ReplaceTargets(d *spec.Directory)
	// PutTarget adds or updates a target.
	PutTarget(revision uint64, r *spec.Replica)
	// RemoveTarget removes a target.
	RemoveTarget(revision uint64, id string)
	// InvalidTarget reports an entry of the target list that could not be decoded. The target is
	// not used any longer.
	InvalidTarget(revision uint64, id string, err error)
	// ListDrains replaces the operator's requests to drain data centres by the complete list as
	// of a stamp, and PutDrain applies one change. Both return once the change is in force.
	ListDrains(at drain.Stamp, listed []drain.Record)
	PutDrain(r drain.Record)
	// ConfirmTargets reports that the platform has answered, and that all changes up to a position
	// were passed on.
	ConfirmTargets(at Position)
	// PlansSkipped reports that the platform had plans between the last two that were passed on.
	PlansSkipped()
	// Disconnected reports that a call to the platform has failed.
	Disconnected(err error)
	// PrimaryWatcher reports whether this front is one of the few that watch the
	// platform with the short interval.
	PrimaryWatcher() bool
}

// Source reads the plan and the target list from the platform and passes them to s
// until ctx ends.
type Source interface {
	Run(ctx context.Context, s Sink)
	// Position returns the position of the platform's latest change, as of some time during the
	// call.
	Position(ctx context.Context) (Position, error)
}

// Position is a place in the sequence of the platform's changes. The zero Position is before all
// of them.
type Position struct {
	// Era is the number of times that the platform was restored from an older copy. Revisions of
	// different eras can't be compared.
	Era, Revision uint64
}

// covers reports whether all changes up to o are among those up to p.
func (p Position) covers(o Position) bool {
	return p.Era == o.Era && p.Revision >= o.Revision && p.Revision > 0
}
