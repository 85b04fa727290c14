package call

import "time"

// Outcome is how a request ended. Every accepted request gets exactly one.
type Outcome struct {
	// Complete is true if the caller got the target's complete response.
	Complete bool
	// Ran is what is known about whether the request was dispatched. It is RanYes if the
	// response is complete.
	Ran Ran
	// Reason is why the response is not complete, or ReasonNone.
	Reason Reason
	// RetryAfter is the time after which a new submission may succeed, or 0 if waiting
	// does not help.
	RetryAfter time.Duration
}

// Answered returns the outcome of a request whose complete response was delivered.
func Answered() Outcome {
	return Outcome{Complete: true, Ran: RanYes}
}

// NotRun returns the outcome of a request that was never dispatched.
func NotRun(r Reason) Outcome {
	return Outcome{Ran: RanNo, Reason: r}
}

// Incomplete returns the outcome of a request that was dispatched and got no complete
// response.
func Incomplete(r Reason) Outcome {
	return Outcome{Ran: RanYes, Reason: r}
}

// Unknown returns the outcome of a request that may or may not have been dispatched.
func Unknown(r Reason) Outcome {
	return Outcome{Ran: RanUnknown, Reason: r}
}

// WithRetryAfter returns a copy of o with the given RetryAfter.
func (o Outcome) WithRetryAfter(d time.Duration) Outcome {
	o.RetryAfter = d
	return o
}
