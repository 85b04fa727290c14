package event_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/event"
	"kingcupstand/internal/prop"
)

// push returns the events that b completes.
func push(t interface{ Fatal(...any) }, s *event.Splitter, b []byte) []event.Event {
	es, err := s.Push(b)
	if err != nil {
		t.Fatal(err)
	}
	return es
}

// The events of a stream are the same, byte for byte, however it is divided into reads.
func TestEventsDoNotDependOnReadSizes(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("id: 1\r\ndata:x\n\n")), 0, 80).Draw(t, "text")
		all := push(t, event.New(), text)
		s := event.New()
		var got []event.Event
		for rest := text; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			got = append(got, push(t, s, rest[:n])...)
			rest = rest[n:]
		}
		if len(got) != len(all) {
			t.Fatalf("got %d events from several reads, want %d as from one read", len(got), len(all))
		}
		var joined []byte
		for i := range got {
			if !bytes.Equal(got[i].Raw, all[i].Raw) || got[i].ID != all[i].ID {
				t.Fatalf("event %d: got %q, want %q", i, got[i].Raw, all[i].Raw)
			}
			joined = append(joined, got[i].Raw...)
		}
		if joined = append(joined, s.Rest()...); !bytes.Equal(joined, text) {
			t.Fatalf("bytes changed: %q became %q", text, joined)
		}
	})
}

func TestPushReturnsIDs(t *testing.T) {
	es := push(t, event.New(), []byte("id: 7\ndata: a\n\nid:8\r\ndata: id: 9\r\n\r\ndata: b\n\nid: 10\ndata: cut"))
	if len(es) != 3 || es[0].ID != "7" || es[1].ID != "8" || es[2].ID != "" {
		t.Errorf("got %q", es)
	}
}

// Guards against a byte order mark that is taken for part of an event within a stream.
func TestByteOrderMark(t *testing.T) {
	const id = "\ufeffid: 1\ndata: a\n\n"
	es := push(t, event.New(), []byte(id+id))
	if len(es) != 2 || string(es[0].Raw) != id || es[0].ID != "1" || string(es[0].WithoutMark().Raw) != id[3:] || es[1].Kind != event.Malformed {
		t.Errorf("got %+q", es)
	}
}

// A target may send an event that never ends. It is given up at MaxSize, and the work for it
// doesn't grow with the square of its size.
func TestEventWithoutEndIsGivenUp(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "many lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			chunk := bytes.Repeat([]byte(line), 4<<10/len(line))
			s := event.New()
			push(t, s, []byte("id: 1\ndata: a\n\n"))
			for n := 0; ; n += len(chunk) {
				es, err := s.Push(chunk)
				if len(es) > 0 {
					t.Fatalf("got events %q", es)
				}
				if errors.Is(err, event.ErrTooLong) {
					if n > event.MaxSize {
						t.Errorf("given up after %d bytes, want at most %d", n, event.MaxSize)
					}
					return
				}
				if err != nil || n > 2*event.MaxSize {
					t.Fatalf("after %d bytes: %v, want ErrTooLong", n, err)
				}
			}
		})
	}
}

// The longest event passes, in reads of any size, and one that is longer by a byte doesn't.
func TestLongestEventPasses(t *testing.T) {
	for _, c := range []struct {
		size int
		want error
	}{{event.MaxSize, nil}, {event.MaxSize + 1, event.ErrTooLong}} {
		text := append(bytes.Repeat([]byte("x"), c.size-2), "\n\n"...)
		for _, read := range []int{1, 4 << 10, len(text)} {
			s := event.New()
			var err error
			n := 0
			for rest := text; len(rest) > 0 && err == nil; rest = rest[min(read, len(rest)):] {
				var es []event.Event
				es, err = s.Push(rest[:min(read, len(rest))])
				n += len(es)
			}
			if !errors.Is(err, c.want) || (n == 1) != (c.want == nil) {
				t.Errorf("event of %d bytes in reads of %d: got %d events, error %v, want error %v", c.size, read, n, err, c.want)
			}
		}
	}
}

// FuzzEvents checks that no byte is lost or changed, wherever the first read ends.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), 7)
	f.Add([]byte("\n\r\n\n\ndata"), 1)
	f.Add([]byte("id:\x00\xff\n\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, at int) {
		s := event.New()
		n := max(0, min(at, len(text)))
		var joined []byte
		for _, e := range append(push(t, s, text[:n]), push(t, s, text[n:])...) {
			joined = append(joined, e.Raw...)
		}
		if joined = append(joined, s.Rest()...); !bytes.Equal(joined, text) {
			t.Errorf("%q became %q", text, joined)
		}
	})
}
