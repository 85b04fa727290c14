package stand

import (
	"net"
	"strings"
	"sync"
	"time"
)

// Faults of responses that have neither a Content-Length nor chunks, so that they end with
// their connection. All name "Connection: close" and run the request.
const (
	// Unframed is the whole response.
	Unframed Fault = "unframed"
	// UnframedPartial ends in the middle of the third event of a stream.
	UnframedPartial Fault = "unframed-partial"
	// UnframedShort ends a stream after its last event but one.
	UnframedShort Fault = "unframed-short"
	// UnframedEmpty ends a stream before its first event.
	UnframedEmpty Fault = "unframed-empty"
	// UnframedReset resets the connection after the second event of a stream, or in the
	// middle of the body of a plain response.
	UnframedReset Fault = "unframed-reset"
)

// Declining responds with 400 and a body, with a receipt.
const Declining Fault = "declining"

// silent makes the replica silent at a point of the response; see PauseBefore.
const silent Fault = "silent"

// resetDelay is the time from the last bytes to a reset, which would discard bytes that the
// reader has not yet read.
const resetDelay = 50 * time.Millisecond

// silence is when a replica may send again.
type silence struct {
	mu    sync.Mutex
	until time.Time
}

func (s *silence) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.until)
}

// Pause makes the replica silent: it takes connections and requests, but sends nothing for
// the time d. Then all responses go on, those in progress and new ones. A later call replaces
// the time of an earlier one.
func (r *Replica) Pause(d time.Duration) {
	r.silence.mu.Lock()
	defer r.silence.mu.Unlock()
	r.silence.until = time.Now().Add(d)
}

// PauseBefore makes the replica that the next request reaches silent for the time d, before
// it sends the event of that number, from 1, or before the headers if event is 0. It replaces
// earlier faults. Event numbers count from the point at which a stream is resumed.
func (r *Replica) PauseBefore(event int, d time.Duration) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	r.faults.next, r.faults.left = silent, 1
	r.faults.pauseEvent, r.faults.pauseTime = event, d
}

// pauseAt makes the replica silent if the fault asks for that before the event.
func (r *Replica) pauseAt(f Fault, event int) {
	if f != silent {
		return
	}
	r.faults.mu.Lock()
	n, d := r.faults.pauseEvent, r.faults.pauseTime
	r.faults.mu.Unlock()
	if n == event {
		r.Pause(d)
	}
}

// pollInterval is how often a silent connection looks whether it may send.
const pollInterval = 2 * time.Millisecond

// pausedConn is a connection that holds its writes while the replica is silent.
type pausedConn struct {
	net.Conn
	silence *silence
}

// Write implements net.Conn.
func (c *pausedConn) Write(b []byte) (int, error) {
	for d := c.silence.left(); d > 0; d = c.silence.left() {
		time.Sleep(min(d, pollInterval)) // in steps, as Close ends the silence
	}
	return c.Conn.Write(b)
}

// reset closes the connection with a reset instead of its end.
func (c *pausedConn) reset() {
	time.Sleep(resetDelay)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that it is closed already
	}
	_ = c.Close() // an error means that it is closed already
}

// unframed reports whether the response has no framing.
func (f Fault) unframed() bool { return strings.HasPrefix(string(f), string(Unframed)) }

// unframedStream sends the events after from without framing, with the fault. It closes the
// connection only for a reset; the caller closes it otherwise.
func (r *Replica) unframedStream(c *pausedConn, from int, f Fault, head string) {
	if !write(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", head) {
		return
	}
	for n := from + 1; n <= r.Events; n++ {
		time.Sleep(r.Delay)
		t := VersionEventText(r.Version, n)
		switch {
		case f == UnframedEmpty:
			return
		case f == UnframedPartial && n == from+3:
			write(c, "%s", strings.TrimSuffix(t, "\n\n"))
			return
		case f == UnframedShort && n == r.Events:
			return
		case f == UnframedReset && n == from+3:
			c.reset()
			return
		}
		if !write(c, "%s", t) {
			return
		}
	}
}

// unframedPlain sends a plain body without framing, with the fault.
func unframedPlain(c *pausedConn, body string, f Fault, head string) {
	if f == UnframedReset {
		body = body[:len(body)/2]
	}
	write(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, body)
	if f == UnframedReset {
		c.reset()
	}
}
