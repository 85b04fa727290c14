package event

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
)

var (
	// ErrOrder reports an event that doesn't follow the one before it: its id is missing, is not
	// higher, or leaves some out.
	ErrOrder = errors.New("event does not follow the one before it")
	// ErrMalformed reports a block of a stream that is no event.
	ErrMalformed = errors.New("not an event")
)

// Sequence is a place in a stream: the id of the last event and how the ids rise. If ids are
// numbers, they must rise from event to event. Where a stream goes on with another response, the
// first id may rise by no more than between two events of one response, as some are missing
// otherwise. Ids that are no numbers are only compared for equality. The zero Sequence is the start
// of a stream. Sequences are immutable.
type Sequence struct {
	last string
	// number is the value of last if numbered is true.
	number   uint64
	numbered bool
	// step is the largest difference between the ids of two successive events of other streams of
	// the kind, and seen that of this stream; 0 if they are unknown.
	step, seen uint64
	// single is true if the last event is the first one of the stream.
	single bool
	// joined is true if the next event is from another response than the last one.
	joined bool
}

// Start returns the start of a stream. Step is the largest difference between the ids of two
// successive events of a response, or 0 if it is unknown.
func Start(step uint64) Sequence { return Sequence{step: step} }

// After returns the place after an event of another response. An empty id is the start of a stream.
func After(id string, step uint64) Sequence {
	s := Start(step)
	s.last, s.joined = id, id != ""
	s.number, s.numbered = number(id)
	return s
}

// Join returns the place s in a stream that goes on with another response.
func (s Sequence) Join() Sequence {
	s.joined = s.last != ""
	return s
}

// Last returns the id of the last event that has one, or "".
func (s Sequence) Last() string { return s.last }

// Joinable reports whether it can be checked that another response goes on at this place.
func (s Sequence) Joinable() bool { return s.numbered }

// Step returns the largest difference between the ids of two successive events of one response of
// this stream, or 0 if it is unknown.
func (s Sequence) Step() uint64 { return s.seen }

// reaches reports whether the first event of another response can have the id n. If nothing is known, ids
// are taken for consecutive, or for multiples of the first one.
func (s Sequence) reaches(n uint64) bool {
	d := n - s.number
	if l := max(s.step, s.seen); l > 0 {
		return d <= l
	}
	return d == 1 || s.single && d == s.number
}

// Next returns the place after an event. It fails with an error that wraps ErrMalformed or ErrOrder
// if the stream can't go on with the event. Comments don't change the place.
func (s Sequence) Next(e Event) (Sequence, error) {
	switch {
	case e.Kind == Malformed:
		return s, ErrMalformed
	case e.Kind == Comment, e.ID == "" && s.last == "":
		return s, nil
	case e.ID == "":
		return s, fmt.Errorf("%w: no id after %q", ErrOrder, s.last)
	}
	n, ok := number(e.ID)
	o := Sequence{last: e.ID, number: n, numbered: ok, step: s.step, seen: s.seen, single: s.last == ""}
	switch {
	case o.single:
		return o, nil
	case s.numbered && (!ok || n <= s.number), s.last == e.ID:
		return s, fmt.Errorf("%w: %q after %q", ErrOrder, e.ID, s.last)
	case s.numbered && s.joined && !s.reaches(n):
		return s, fmt.Errorf("%w: %q after %q of another response", ErrOrder, e.ID, s.last)
	case s.numbered && !s.joined:
		o.seen = max(o.seen, n-s.number)
	}
	return o, nil
}

// number returns the value of an id that is a decimal number.
func number(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// stepsKept is the number of streams of a kind from which its step is taken. A stream with a gap counts
// only until as many others have ended.
const stepsKept = 8

// Steps holds the largest difference between the ids of two successive events for each kind of
// stream, as of its last streams. It is not safe for concurrent use.
type Steps struct {
	steps map[string][]uint64
}

// NewSteps returns Steps that know no stream.
func NewSteps() *Steps { return &Steps{steps: map[string][]uint64{}} }

// Observe records the largest difference in a stream that has ended; 0 if it is unknown.
func (s *Steps) Observe(kind string, step uint64) {
	if step == 0 {
		return
	}
	l := append(s.steps[kind], step)
	s.steps[kind] = l[max(0, len(l)-stepsKept):]
}

// Step returns the largest difference, or 0 if it is unknown.
func (s *Steps) Step(kind string) uint64 {
	if l := s.steps[kind]; len(l) > 0 {
		return slices.Max(l)
	}
	return 0
}
