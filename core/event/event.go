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
	// begun is true after the first event, before which there may be a byte order mark.
	begun bool
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
		e := Event{Raw: bytes.Clone(s.rest[:n])}
		lines := e.Raw
		if !s.begun {
			lines = e.WithoutMark().Raw
		}
		e.ID, e.Kind = parse(string(lines))
		es = append(es, e)
		s.rest, s.line, s.begun = s.rest[n:], 0, true
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

// byteOrderMark may begin a stream, and is no part of its first line.
const byteOrderMark = "\ufeff"

// WithoutMark returns the event without a byte order mark before it. Callers would take the mark for a part
// of the first line where the event is not the first one of their stream.
func (e Event) WithoutMark() Event {
	e.Raw = bytes.TrimPrefix(e.Raw, []byte(byteOrderMark))
	return e
}

// parse returns the id and the kind of a block of lines. Fields that this package doesn't know may come
// first, under names in lower case. Two ids are of two events, between which the empty line is missing.
func parse(block string) (id string, k Kind) {
	k = Comment
	unknown := false
	for l := range strings.Lines(block) {
		n, v, ok := strings.Cut(strings.TrimRight(l, "\r\n"), ":")
		switch n {
		case "", "retry": // the end of the block, a comment or a reconnection time
		case "id":
			if id != "" {
				return id, Malformed
			}
			id, k = strings.TrimPrefix(v, " "), Message
		case "data", "event":
			k = Message
		default:
			if !ok || k == Message || strings.Trim(n, nameLetters) != "" {
				return id, Malformed
			}
			unknown = true
		}
	}
	if unknown && k == Comment {
		k = Malformed
	}
	return id, k
}

// nameLetters are the letters of the names of unknown fields.
const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-"
