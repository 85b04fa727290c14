package event_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/event"
	"kingcupstand/internal/prop"
)

// The events of a stream are the same, byte for byte, however it is divided into reads.
func TestEventsDoNotDependOnReadSizes(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("id: 1\r\ndata:x\n\n")), 0, 80).Draw(t, "text")
		all := event.New().Push(text)
		s := event.New()
		var got []event.Event
		for rest := text; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			got = append(got, s.Push(rest[:n])...)
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
	es := event.New().Push([]byte("id: 7\ndata: a\n\nid:8\r\ndata: id: 9\r\n\r\ndata: b\n\nid: 10\ndata: cut"))
	if len(es) != 3 || es[0].ID != "7" || es[1].ID != "8" || es[2].ID != "" {
		t.Errorf("got %q", es)
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
		for _, e := range append(s.Push(text[:n]), s.Push(text[n:])...) {
			joined = append(joined, e.Raw...)
		}
		if joined = append(joined, s.Rest()...); !bytes.Equal(joined, text) {
			t.Errorf("%q became %q", text, joined)
		}
	})
}
