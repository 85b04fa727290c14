package stand

import "net"

// Faults of responses that turn a request away. All but TurnsAwayRan leave it unrun, but only
// Full says so in a way that can be relied on.
const (
	// TurnsAwayCut is Full with a body that is cut off.
	TurnsAwayCut Fault = "turns-away-cut"
	// TurnsAwayForeign is Full in response to another request.
	TurnsAwayForeign Fault = "turns-away-foreign"
	// TurnsAwayUnsigned responds with 503 that has neither a receipt nor Not-Executed.
	TurnsAwayUnsigned Fault = "turns-away-unsigned"
	// ThrottlesUnsigned responds with 429 that has neither a receipt nor Not-Executed.
	ThrottlesUnsigned Fault = "throttles-unsigned"
	// TurnsAwayRan responds with 503 and a receipt after it has run the request.
	TurnsAwayRan Fault = "turns-away-ran"
)

// notices is what a replica says of itself in its responses, as header lines or "". The mutex
// of the replica guards it.
type notices struct {
	leaving    string
	retryAfter string
}

// SetLeaving sets whether responses say that the replica leaves.
func (r *Replica) SetLeaving(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notices.leaving = ""; on {
		r.notices.leaving = "Server-Leaving: 1\r\n"
	}
}

// SetRetryAfter sets the Retry-After of responses that turn a request away; "" for none.
func (r *Replica) SetRetryAfter(v string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notices.retryAfter = ""; v != "" {
		r.notices.retryAfter = "Retry-After: " + v + "\r\n"
	}
}

// turnsAway reports whether the response turns the request away.
func (f Fault) turnsAway() bool {
	switch f {
	case Full, TurnsAwayCut, TurnsAwayForeign, TurnsAwayUnsigned, ThrottlesUnsigned, TurnsAwayRan:
		return true
	}
	return false
}

// turnAway responds with the fault. Says holds the header lines that the replica says of
// itself, and head those of a response with a receipt. It reports false if the connection must
// be closed.
func (r *Replica) turnAway(c net.Conn, f Fault, says, head string) bool {
	r.mu.Lock()
	after := r.notices.retryAfter
	r.mu.Unlock()
	status, length := "503 Service Unavailable", 0
	head = map[Fault]string{
		Full:             "Not-Executed: 1\r\n" + says,
		TurnsAwayCut:     "Not-Executed: 1\r\n" + says,
		TurnsAwayForeign: "Not-Executed: 1\r\nAttempt-Id: other\r\n" + says,
		TurnsAwayRan:     head,
	}[f]
	switch f {
	case TurnsAwayCut:
		length = 10
	case ThrottlesUnsigned:
		status = "429 Too Many Requests"
	}
	return write(c, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n", status, head, after, length) && length == 0
}
