package stand

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// HeaderParts lists the parts of a request's prompt, in order, as ID:TOKENS entries that
// are separated by commas. The IDs are hexadecimal.
const HeaderParts = "Prompt-Prefix"

// crashDelay is the time from the start of an answer to the crash that it causes.
const crashDelay = 20 * time.Millisecond

// crash is the state of a replica's process. The mutex of the replica guards it.
type crash struct {
	// part is the ID of the part that crashes the replica, or "".
	part string
	// request reports whether a request crashes the replica, unless it is nil.
	request func(q *http.Request, body string) bool
	// then is called after a crash, unless it is nil.
	then func(at time.Time)
	// down is true after a crash.
	down bool
}

// SetPoison makes the replica crash as soon as it begins to answer a request with the given
// part in its prompt; "" ends it. Unless then is nil, it is called after any crash, with the time
// at which that began.
func (r *Replica) SetPoison(part string, then func(at time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash.part, r.crash.then = part, then
}

// SetCrashingRequest makes the replica crash as soon as it begins to answer a request that match
// reports true for, unless it is nil.
func (r *Replica) SetCrashingRequest(match func(q *http.Request, body string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash.request = match
}

// poisoned reports whether a request crashes the replica.
func (r *Replica) poisoned(q *http.Request, body string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crash.request != nil && r.crash.request(q, body) {
		return true
	}
	if r.crash.part == "" {
		return false
	}
	for e := range strings.SplitSeq(strings.Join(q.Header.Values(HeaderParts), ","), ",") {
		id, _, _ := strings.Cut(e, ":")
		if strings.EqualFold(strings.TrimSpace(id), r.crash.part) {
			return true
		}
	}
	return false
}

// Crash ends the replica as the end of its process does: it refuses new connections and
// resets the open ones, also those with responses in progress. A second call has no effect.
func (r *Replica) Crash() {
	r.mu.Lock()
	if r.crash.down {
		r.mu.Unlock()
		return
	}
	at := time.Now() // before the resets, which take a while
	r.crash.down = true
	_ = r.listener.Close() // an error means that it is closed already
	r.reset()
	then := r.crash.then
	r.mu.Unlock()
	if then != nil {
		then(at)
	}
}

// Reset resets all open connections; the replica goes on and accepts new ones.
func (r *Replica) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

// reset resets all open connections. r.mu must be held.
func (r *Replica) reset() {
	for c := range r.conns {
		ResetConn(c)
	}
}

// ResetConn closes a connection with a reset instead of an orderly end.
func ResetConn(c net.Conn) {
	if p, ok := c.(*pausedConn); ok {
		c = p.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that it is closed already
	}
	_ = c.Close() // an error means that it is closed already
}
