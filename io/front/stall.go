package front

import (
	"time"

	"kingcupstand/core/plan"
)

// startStallTimer starts the timer that runs until the first event of a stream, or until
// another response has been buffered.
func (e *exchange) startStallTimer() {
	e.stallTimer = time.AfterFunc(e.firstByteStall(), e.runTakeover)
}

// firstByteStall returns how long the target may take to the first event of a stream, or
// to the end of another response. For a stream it is at most the limit between two events
// plus the route's goal.
func (e *exchange) firstByteStall() time.Duration {
	q := e.request
	if q.route.Kind != plan.Stream {
		return max(plainStallFactor*q.route.Goal, firstByteStallFactor*e.choice.ExpectedFirstByte)
	}
	return min(max(minFirstByteStall, firstByteStallFactor*e.choice.ExpectedFirstByte), q.streamStall()+q.route.Goal)
}

// streamStall returns how long a stream may go without an event after an earlier one.
func (q *request) streamStall() time.Duration {
	return max(streamStallFactor*q.route.Gap, callerStallTimeout-failoverMargin)
}
