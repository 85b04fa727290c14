// Package event splits a stream of server-sent events into whole events without
// changing a byte of them.
//
// # Usage
//
//	s := event.New()
//	for _, e := range s.Push(chunk) {
//		send(e.Text)   // the event as it came, with its closing blank line
//		last = e.ID
//	}
//	if s.Partial() { ... }  // the stream broke off within an event
//
// A library's parser would hand over decoded fields; callers are owed the
// target's own bytes, and the cut between two targets' events must be exact.
package event

import (
	"bytes"
	"strings"
)

// Event is one whole event.
type Event struct {
	// Raw is the event's bytes, including the blank line that ends it.
	Raw []byte
	// ID is the event's id field, or "" if it has none.
	ID string
}

// Splitter holds the part of an event that has arrived so far.
type Splitter struct {
	rest []byte
}

// New returns a Splitter at the start of a stream.
func New() *Splitter { return &Splitter{} }

// Push takes the next bytes of the stream and returns the events that they
// complete.
func (s *Splitter) Push(b []byte) []Event {
	s.rest = append(s.rest, b...)
	var es []Event
	for {
		n := end(s.rest)
		if n < 0 {
			return es
		}
		t := bytes.Clone(s.rest[:n])
		es = append(es, Event{Raw: t, ID: id(t)})
		s.rest = s.rest[n:]
	}
}

// Partial reports whether an event has begun and not ended.
func (s *Splitter) Partial() bool { return len(s.rest) > 0 }

// Rest returns the bytes of an event that has not ended.
func (s *Splitter) Rest() []byte { return s.rest }

// end returns the length of the first whole event, or -1. Lines end with LF or
// CRLF; an event ends with an empty line.
func end(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return -1
		}
		l := b[at : at+n]
		at += n + 1
		if len(bytes.TrimSuffix(l, []byte("\r"))) == 0 {
			return at
		}
	}
}

// id returns the last id field of an event.
func id(text []byte) string {
	v := ""
	for l := range strings.SplitSeq(string(text), "\n") {
		if r, ok := strings.CutPrefix(strings.TrimSuffix(l, "\r"), "id:"); ok {
			v = strings.TrimPrefix(r, " ")
		}
	}
	return v
}
