package event

import (
	"errors"
	"fmt"
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
	// step is the largest difference between the ids of two successive events. It is assumed if
	// only one event is known.
	step    uint64
	assumed bool
	// joined is true if the next event is from another response than the last one.
	joined bool
}

// After returns the place after an event of another response. Step is the largest difference between
// the ids of two successive events, or 0 if it is unknown; then they are taken for consecutive. An
// empty id is the start of a stream.
func After(id string, step uint64) Sequence {
	if id == "" {
		return Sequence{}
	}
	s := Sequence{last: id, step: max(1, step), joined: true}
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

// Step returns the largest difference between the ids of two successive events of a response, or 0
// if it is unknown.
func (s Sequence) Step() uint64 {
	if s.assumed {
		return 0
	}
	return s.step
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
	o := Sequence{last: e.ID, number: n, numbered: ok}
	switch {
	case s.last == "":
		// Numbers count from 0 in most streams.
		o.step, o.assumed = max(1, n), true
		return o, nil
	case s.numbered && (!ok || n <= s.number), s.last == e.ID:
		return s, fmt.Errorf("%w: %q after %q", ErrOrder, e.ID, s.last)
	case s.numbered && s.joined && n-s.number > s.step:
		return s, fmt.Errorf("%w: %q after %q of another response", ErrOrder, e.ID, s.last)
	}
	o.step, o.assumed = s.step, s.assumed
	if s.numbered && !s.joined {
		if o.assumed {
			o.step, o.assumed = 0, false
		}
		o.step = max(o.step, n-s.number)
	}
	return o, nil
}

// number returns the value of an id that is a decimal number.
func number(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// Steps holds the largest difference between the ids of two successive events for each kind of
// stream. It is not safe for concurrent use.
type Steps struct {
	steps map[string]uint64
}

// NewSteps returns Steps that know no stream.
func NewSteps() *Steps { return &Steps{steps: map[string]uint64{}} }

// Observe records the place at which a stream has ended.
func (s *Steps) Observe(kind string, at Sequence) {
	if n := at.Step(); n > s.steps[kind] {
		s.steps[kind] = n
	}
}

// Step returns the largest difference, or 0 if it is unknown.
func (s *Steps) Step(kind string) uint64 { return s.steps[kind] }
