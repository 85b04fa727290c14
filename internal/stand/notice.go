package stand

import (
	"fmt"
	"net"
	"slices"
	"time"
)

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
	// TimesOutUnsigned responds with 408 that has neither a receipt nor Not-Executed.
	TimesOutUnsigned Fault = "times-out-unsigned"
	// TurnsAwayRan responds with 503 and a receipt after it has run the request.
	TurnsAwayRan Fault = "turns-away-ran"
)

// notices is what a replica says of itself in its responses, as header lines or "". The mutex
// of the replica guards it.
type notices struct {
	leaving string
	// retryAfter draws the Retry-After of a response that turns a request away, and how long that
	// takes.
	retryAfter func() (value string, delay time.Duration)
	refusals   []Refusal
}

// Refusal is a response that rejected a request.
type Refusal struct {
	// ID is the id of the request.
	ID         string
	RetryAfter string
	At         time.Time
}

// Refusals returns the responses that rejected requests, in order.
func (r *Replica) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notices.refusals)
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
	r.DrawRetryAfter(func() (string, time.Duration) { return v, 0 })
}

// DrawRetryAfter makes draw return the Retry-After of each response that turns a request away, or
// "", and the time after which it is sent.
func (r *Replica) DrawRetryAfter(draw func() (value string, delay time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices.retryAfter = draw
}

// refuse waits until a response that turns a request away is due, records it and returns its
// header line.
func (r *Replica) refuse(id string) string {
	r.mu.Lock()
	draw := r.notices.retryAfter
	r.mu.Unlock()
	v, d := "", time.Duration(0)
	if draw != nil {
		v, d = draw()
	}
	time.Sleep(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices.refusals = append(r.notices.refusals, Refusal{id, v, time.Now()})
	if v == "" {
		return ""
	}
	return "Retry-After: " + v + "\r\n"
}

// turnsAway reports whether the response turns the request away.
func (f Fault) turnsAway() bool {
	switch f {
	case Full, TurnsAwayCut, TurnsAwayForeign, TurnsAwayUnsigned, ThrottlesUnsigned, TimesOutUnsigned, TurnsAwayRan:
		return true
	}
	return false
}

// turnAway responds with the fault. Says holds the header lines that the replica says of
// itself, and head those of a response with a receipt. It reports false if the connection must
// be closed.
func (r *Replica) turnAway(c net.Conn, f Fault, id, says, head string) bool {
	after := r.refuse(id)
	status, length := "503 Service Unavailable", 0
	refusal := fmt.Sprintf("Attempt-Id: %s\r\nNot-Executed: 1\r\n%s", id, says)
	head = map[Fault]string{
		Full:             refusal,
		TurnsAwayCut:     refusal,
		TurnsAwayForeign: "Not-Executed: 1\r\nAttempt-Id: other\r\n" + says,
		TurnsAwayRan:     head,
	}[f]
	switch f {
	case TurnsAwayCut:
		length = 10
	case ThrottlesUnsigned:
		status = "429 Too Many Requests"
	case TimesOutUnsigned:
		status = "408 Request Timeout"
	}
	return write(c, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n", status, head, after, length) && length == 0
}
