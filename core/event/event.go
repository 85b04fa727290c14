// Package event splits a stream of server-sent events into complete events without
// changing a byte of them.
//
// A parser from a library would return decoded fields. Callers must get the target's own
// bytes, and when a stream moves to another target, the first target's part must end
// exactly between two events.
//
// # Usage
//
//	s := event.New()
//	es, err := s.Push(chunk)
//	for _, e := range es {
//		send(e.Raw) // the event as received, with its closing blank line
//		last = e.ID
//	}
//	if s.Partial() { ... } // the stream ended within an event
package event

import (
	"bytes"
	"errors"
	"strings"
)

// MaxSize is the largest size of an event, in bytes. Events hold a few tokens.
const MaxSize = 256 << 10

// ErrTooLong reports an event that is longer than MaxSize.
var ErrTooLong = errors.New("event is too long")

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event, including the blank line that ends it. The
	// caller owns them.
	Raw []byte
	// ID is the event's id field, or "" if it has none.
	ID string
}

// Splitter splits one stream. It holds the bytes of the event that is not yet complete.
// It is not safe for concurrent use.
type Splitter struct {
	rest []byte
	// line is where in rest the last line begins. The lines before it are not empty.
	line int
}

// New returns a Splitter at the start of a stream.
func New() *Splitter { return &Splitter{} }

// Push adds the next bytes of the stream and returns the events that they complete. It
// does not retain b. It fails with ErrTooLong if an event is longer than MaxSize, and returns
// the events before it; the stream can't go on then.
func (s *Splitter) Push(b []byte) ([]Event, error) {
	s.rest = append(s.rest, b...)
	var es []Event
	for {
		n := s.end()
		switch {
		case n > MaxSize, n < 0 && len(s.rest) > MaxSize:
			return es, ErrTooLong
		case n < 0:
			return es, nil
		}
		t := bytes.Clone(s.rest[:n])
		es = append(es, Event{Raw: t, ID: id(t)})
		s.rest, s.line = s.rest[n:], 0
	}
}

// Partial reports whether an event has begun and is not complete.
func (s *Splitter) Partial() bool { return len(s.rest) > 0 }

// Rest returns the bytes of the event that is not yet complete. They are valid until the
// next call of Push.
func (s *Splitter) Rest() []byte { return s.rest }

// end returns the length of the first complete event, or -1 if there is none. Lines end
// with LF or CRLF; an event ends with an empty line. Each line is looked at once.
func (s *Splitter) end() int {
	for {
		n := bytes.IndexByte(s.rest[s.line:], '\n')
		if n < 0 {
			return -1
		}
		l := s.rest[s.line : s.line+n]
		s.line += n + 1
		if len(bytes.TrimSuffix(l, []byte("\r"))) == 0 {
			return s.line
		}
	}
}

// id returns the value of an event's last id field, or "".
func id(text []byte) string {
	v := ""
	for l := range strings.SplitSeq(string(text), "\n") {
		if r, ok := strings.CutPrefix(strings.TrimSuffix(l, "\r"), "id:"); ok {
			v = strings.TrimPrefix(r, " ")
		}
	}
	return v
}
