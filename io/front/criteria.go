package front

import (
	"time"

	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
)

// defaultGoal is the goal of routes that set none.
const defaultGoal = time.Second

// criteria returns the criteria for the choice of a target.
func (q *request) criteria() pool.Criteria {
	c := pool.Criteria{
		Service:      q.service,
		PromptTokens: q.call.PromptTokens,
		Events:       q.expectedEvents,
		TimeLeft:     time.Until(q.deadline),
		MaxGap:       q.route.Gap,
		Exclude:      q.excluded,
		NoRetry:      !q.route.Repeatable(),
	}
	switch {
	case q.stream != nil:
		c.Events = max(0, c.Events-float64(q.stream.events))
		c.Pinned, c.Version = true, q.stream.version
	case q.origin != nil:
		c.Pinned, c.Version = true, q.origin.Version
	}
	q.pin(&c, q.version)
	return c
}

// pin restricts the choice to the version of a target that may run the request, if callers may
// resume its stream: all targets that list a request as running are then of the version that
// began its stream. It has no effect if the version is unknown.
func (q *request) pin(c *pool.Criteria, version string) {
	if q.route.Resumable && !c.Pinned && version != "" {
		c.Pinned, c.Version = true, version
	}
}

// maxWait returns how long the request may wait in the queue.
func (q *request) maxWait() time.Duration {
	if q.stream != nil {
		// The caller gives up if an interrupted stream doesn't continue by then.
		return q.streamStall()
	}
	g := q.route.Goal
	if g == 0 {
		g = defaultGoal
	}
	left := time.Until(q.deadline)
	if q.route.Kind == plan.Stream {
		left = min(left, callerStallTimeout-time.Since(q.arrived)-q.expectedFirstByte)
	}
	var w time.Duration
	w, q.late = sched.MaxWait(g, q.priorTime+time.Since(q.arrived)+q.expectedFirstByte, left)
	if q.origin != nil {
		q.late = false // its caller holds a part of the stream, which would be lost
	}
	return w
}
