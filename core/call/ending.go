package call

import "time"

// Outcome is the last word on a request. Every accepted request gets exactly one.
type Outcome struct {
	// Complete is true if the caller got the target's whole answer.
	Complete bool
	// Ran says whether the request was dispatched. It is RanYes if Whole.
	Ran Ran
	// Reason says why the answer is not whole.
	Reason Reason
	// RetryAfter is when a new submission has a chance, or 0 if waiting does not help.
	RetryAfter time.Duration
}

// Answered returns the ending of a request whose whole answer was delivered.
func Answered() Outcome {
	return Outcome{Complete: true, Ran: RanYes}
}

// NotRun returns the ending of a request that was never dispatched.
func NotRun(r Reason) Outcome {
	return Outcome{Ran: RanNo, Reason: r}
}

// Incomplete returns the ending of a request that ran and whose answer is not whole.
func Incomplete(r Reason) Outcome {
	return Outcome{Ran: RanYes, Reason: r}
}

// Unknown returns the ending of a request of which nobody can tell whether it ran.
func Unknown(r Reason) Outcome {
	return Outcome{Ran: RanUnknown, Reason: r}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e Outcome) WithRetryAfter(d time.Duration) Outcome {
	e.RetryAfter = d
	return e
}
