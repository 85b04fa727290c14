package pool

import (
	"slices"
	"time"
)

// Criteria describes the request that a target is chosen for.
type Criteria struct {
	Service string
	// PromptTokens is the length of the prompt; it is 0 for a plain service.
	PromptTokens int
	// Events is the expected number of events of a streamed response; 0 if it is unknown.
	Events float64
	// TimeLeft is the time until the caller's deadline; 0 if there is none.
	TimeLeft time.Duration
	// MaxGap is the longest gap between the events of a stream that callers expect; 0 sets
	// no limit. A prompt that takes long to prefill causes a gap in all streams that the
	// engine runs. It is prefilled there all the same if AllowGaps is true, or if hardly any
	// engine would take less time even for this prompt alone.
	MaxGap    time.Duration
	AllowGaps bool
	// Exclude holds the IDs of targets that must not be chosen.
	Exclude []string
	// Pinned is true if only targets of Version may be chosen, because the request goes on
	// with a stream that a target of that version has begun. If Version is "", it is unknown
	// and no target may be chosen.
	Pinned  bool
	Version string
	// NoRetry is true if the request can't be sent again after a failure.
	NoRetry bool
	// Oversubscribe is true if the request may be sent to an engine whose free slots
	// belong to other fronts, or to a full engine, which runs it in its next free slot,
	// ahead of what other fronts send later.
	Oversubscribe bool
}

// admits reports whether a target may be chosen at all, whatever its load.
func (c Criteria) admits(t *target) bool {
	return !t.closed() && c.matches(t) && !slices.Contains(c.Exclude, t.ID)
}

// matches reports whether the target's version allows it to be chosen. That of a process that has ended may
// not be that of the one which runs under its ID now.
func (c Criteria) matches(t *target) bool {
	return !c.Pinned || t.Version != "" && t.Version == c.Version && !t.ended
}

// Admits reports whether there is a target that may be chosen once it has a free slot.
func (p *Pool) Admits(c Criteria) bool { return slices.ContainsFunc(p.byService[c.Service], c.admits) }
