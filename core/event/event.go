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
//		if at, err = at.Next(e); err != nil { ... } // the stream can't go on with e
//		send(e.Raw) // the event as received, with its closing blank line
//	}
//	if s.Partial() { ... } // the stream ended within an event
//
// A Sequence reports whether an event follows the ones before it. A stream that goes on with the
// response of another target is checked from where the first one broke off:
//
//	at = at.Join() // or event.After(lastEventID, step)
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
	ID   string
	Kind Kind
}

// Kind is what a block of lines is.
type Kind uint8

const (
	// Message is an event for the caller.
	Message Kind = iota
	// Comment has only comments and reconnection times, or nothing.
	Comment
	// Malformed has a line that is no field of an event, as in a document of another type.
	Malformed
)

// Splitter splits one stream. It holds the bytes of the event that is not yet complete.
// It is not safe for concurrent use.
type Splitter struct {
	// size is the largest size of an event, in bytes.
	size int
	rest []byte
	// line is where in rest the last line begins. The lines before it are not empty.
	line int
}

// New returns a Splitter at the start of a stream whose events have up to MaxSize bytes.
func New() *Splitter { return NewSize(MaxSize) }

// NewSize returns a Splitter at the start of a stream whose events have up to size bytes.
func NewSize(size int) *Splitter { return &Splitter{size: size} }

// Push adds the next bytes of the stream and returns the events that they complete. It
// does not retain b. It fails with ErrTooLong if an event is too long, and returns
// the events before it; the stream can't go on then.
func (s *Splitter) Push(b []byte) ([]Event, error) {
	s.rest = append(s.rest, b...)
	var es []Event
	for {
		n := s.end()
		switch {
		case n > s.size, n < 0 && len(s.rest) > s.size:
			return es, ErrTooLong
		case n < 0:
			return es, nil
		}
		t := bytes.Clone(s.rest[:n])
		es = append(es, parse(t))
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

// parse returns the event of a block of lines. Fields that this package doesn't know may come first, under
// names in lower case.
func parse(raw []byte) Event {
	e := Event{Raw: raw, Kind: Comment}
	unknown := false
	for l := range strings.Lines(strings.TrimPrefix(string(raw), "\ufeff")) {
		n, v, ok := strings.Cut(strings.TrimRight(l, "\r\n"), ":")
		switch n {
		case "", "retry": // the end of the block, a comment or a reconnection time
		case "id":
			e.ID = strings.TrimPrefix(v, " ")
			e.Kind = Message
		case "data", "event":
			e.Kind = Message
		default:
			if !ok || e.Kind == Message || strings.Trim(n, nameLetters) != "" {
				e.Kind = Malformed
				return e
			}
			unknown = true
		}
	}
	if unknown && e.Kind == Comment {
		e.Kind = Malformed
	}
	return e
}

// nameLetters are the letters of the names of unknown fields.
const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-"
