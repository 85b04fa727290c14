package event_test

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/event"
	"kingcupstand/internal/prop"
)

// Guards against the text of an answer that is no event, and against comments that count as events.
func TestKinds(t *testing.T) {
	for text, want := range map[string]event.Kind{
		"id: 1\ndata: a\n\n":                       event.Message,
		"data\n\n":                                 event.Message,
		"id\n\n":                                   event.Message,
		"event: end\r\ndata: a\r\n\r\n":            event.Message,
		"weight-versions: 3\nid: 1\ndata:\n\n":     event.Message,
		"\ufeffid: 1\ndata: a\n\n":                 event.Message,
		"id:\nid: 1\n\n":                           event.Message,
		"id: 1\ndata: a\nid: 2\ndata: b\n\n":       event.Malformed,
		"id: 1\ndata: a\nid: 1\ndata: a\n\n":       event.Malformed,
		"\n":                                       event.Comment,
		": alive\n\n":                              event.Comment,
		"retry: 10\r\n\r\n":                        event.Comment,
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n": event.Malformed,
		"{\"error\": 1}\n\n":                       event.Malformed,
		"internal error\n\n":                       event.Malformed,
		"failed\n\n":                               event.Malformed,
		"error: failed\n\n":                        event.Malformed,
		"id: 4\ndata: part 4\nContent-Type: text/plain\r\n\r\n":                     event.Malformed,
		"id: 4\ndata: parHTTP/1.1 500 Internal\r\nContent-Type: text/plain\r\n\r\n": event.Malformed,
		"data: a\nbad gateway: x\n\n":                                               event.Malformed,
	} {
		if es := push(t, event.New(), []byte(text)); len(es) != 1 || es[0].Kind != want {
			t.Errorf("%q: got %+v, want kind %d", text, es, want)
		}
	}
}

// follow returns the place after events with the given ids, of which "" has none and "|" joins another
// response.
func follow(s event.Sequence, ids ...string) (event.Sequence, error) {
	for _, i := range ids {
		if i == "|" {
			s = s.Join()
			continue
		}
		var err error
		if s, err = s.Next(event.Event{ID: i}); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Guards against streams that are joined where events come twice or are missing.
func TestSequence(t *testing.T) {
	for _, c := range []struct {
		from event.Sequence
		ids  string
		ok   bool
	}{
		{event.Sequence{}, "1 2 3", true},
		{event.Sequence{}, "1 2 | 3", true},
		{event.Sequence{}, "0 | 1", true},
		{event.Sequence{}, "1 2 | 2", false},
		{event.Sequence{}, "1 2 | 1", false},
		{event.Sequence{}, "1 2 | 4", false},
		{event.Sequence{}, "1 | 3", false},
		{event.Sequence{}, "1 2 2", false},
		{event.Sequence{}, "1 2 1", false},
		{event.Sequence{}, "7 14 | 21", true},
		{event.Sequence{}, "7 | 14", true},
		{event.Sequence{}, "7 14 | 18", true}, // a last event with fewer tokens
		{event.Sequence{}, "7 14 | 28", false},
		{event.Sequence{}, "100 101 | 103", false},
		{event.Sequence{}, "100 | 101", true},
		{event.Sequence{}, "100 | 103", false},
		{event.Sequence{}, "1 2 5 | 8", true}, // ids that rise by up to 3
		{event.Sequence{}, "1 2 x", false},
		{event.Sequence{}, "a b c", true},
		{event.Sequence{}, "a b b", false},
		{event.Sequence{}, "1 2 -", false},
		{event.Sequence{}, "- -", true},
		{event.Start(3), "100 | 103", true},
		{event.Start(3), "100 | 104", false},
		{event.Start(5), "0 | 5", true},
		{event.After("12", 0), "13 14", true},
		{event.After("12", 0), "12", false},
		{event.After("12", 0), "1", false},
		{event.After("12", 0), "15", false},
		{event.After("12", 3), "15", true},
		{event.After("12", 0), "-", false},
		{event.After("x", 0), "y", true},
		{event.After("x", 0), "x", false},
		{event.After("18446744073709551615", 0), "0", false},
	} {
		ids := strings.Fields(c.ids)
		for i := range ids {
			if ids[i] == "-" {
				ids[i] = ""
			}
		}
		if _, err := follow(c.from, ids...); (err == nil) != c.ok || err != nil && !errors.Is(err, event.ErrOrder) {
			t.Errorf("%q after %q: got %v, want ok %v", c.ids, c.from.Last(), err, c.ok)
		}
	}
}

// Whatever the numbering, a stream that breaks off after two events or more goes on with its next event,
// and with no event before that.
func TestPropertyJoinIsTheNextEvent(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		step, first := rapid.Uint64Range(1, 9).Draw(t, "step"), rapid.Uint64Range(0, 1<<40).Draw(t, "first")
		n := rapid.IntRange(2, 20).Draw(t, "events")
		id := func(i int) string { return strconv.FormatUint(first+uint64(i)*step, 10) }
		var ids []string
		for i := range n {
			ids = append(ids, id(i))
		}
		s, err := follow(event.Sequence{}, ids...)
		if err != nil {
			t.Fatal(err)
		}
		next := rapid.IntRange(0, 2*n).Draw(t, "next")
		if _, err := follow(s.Join(), id(next)); (err == nil) != (next == n) {
			t.Errorf("event %d after %d of %v: got %v", next, n-1, ids, err)
		}
		if got := s.Step(); got != step {
			t.Errorf("got step %d, want %d", got, step)
		}
	})
}

// The step of a kind of stream is the largest one of its last streams; a single event doesn't show it.
// Guards against a stream with a gap after which events may be missing in all others.
func TestSteps(t *testing.T) {
	s := event.NewSteps()
	for _, ids := range []string{"5", "1 2", "3 6", "1 2 3"} {
		at, err := follow(event.Sequence{}, strings.Fields(ids)...)
		if err != nil {
			t.Fatal(err)
		}
		s.Observe("a", at.Step())
	}
	if a, b := s.Step("a"), s.Step("b"); a != 3 || b != 0 {
		t.Errorf("got steps %d and %d, want 3 and 0", a, b)
	}
	for range 8 {
		at, err := follow(event.Start(s.Step("a")), "1", "2")
		if err != nil {
			t.Fatal(err)
		}
		s.Observe("a", at.Step())
	}
	if a := s.Step("a"); a != 1 {
		t.Errorf("got step %d after eight streams in steps of 1, want 1", a)
	}
}
