package event_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/event"
	"kingcupstand/internal/prop"
)

// However a stream is cut into reads, its events are the same, byte for byte.
func TestEventsDoNotDependOnReads(t *testing.T) {
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
			t.Fatalf("%d events in pieces, %d at once", len(got), len(all))
		}
		var joined []byte
		for i := range got {
			if !bytes.Equal(got[i].Text, all[i].Text) || got[i].ID != all[i].ID {
				t.Fatalf("event %d: %q and %q", i, got[i].Text, all[i].Text)
			}
			joined = append(joined, got[i].Text...)
		}
		if joined = append(joined, s.Rest()...); !bytes.Equal(joined, text) {
			t.Fatalf("bytes changed: %q to %q", text, joined)
		}
	})
}

func TestIDs(t *testing.T) {
	es := event.New().Push([]byte("id: 7\ndata: a\n\nid:8\r\ndata: id: 9\r\n\r\ndata: b\n\nid: 10\ndata: cut"))
	if len(es) != 3 || es[0].ID != "7" || es[1].ID != "8" || es[2].ID != "" {
		t.Errorf("got %q", es)
	}
}
