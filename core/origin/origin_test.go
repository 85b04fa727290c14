package origin_test

import (
	"fmt"
	"testing"
	"time"

	"kingcupstand/core/origin"
)

const s = time.Second

var chat = origin.Origin{Service: "chat", Version: "v1"}

// A record is kept for a while after its last use, whoever reported it.
func TestRecordsAreKeptWhileUsed(t *testing.T) {
	b := origin.New()
	id := origin.ID("a")
	b.Add(0, id, chat)
	b.Merge(20*s, id, chat)
	for _, c := range []struct {
		now  time.Duration
		want bool
	}{{40 * s, true}, {49 * s, true}, {51 * s, false}} {
		if o, ok := b.Find(c.now, id); ok != c.want || ok && o != chat {
			t.Errorf("at %v: got %+v, %v, want %v", c.now, o, ok, c.want)
		}
	}
	if _, ok := b.Find(40*s, origin.ID("b")); ok {
		t.Error("got a record of a stream that was never recorded")
	}
}

func TestRecordsAreBounded(t *testing.T) {
	b := origin.New()
	const n = 1 << 17
	for i := range n {
		b.Merge(0, origin.ID(fmt.Sprint(i)), chat)
	}
	if b.Len() > 1<<16 {
		t.Errorf("got %d records", b.Len())
	}
	if _, ok := b.Find(0, origin.ID(fmt.Sprint(n-1))); !ok {
		t.Error("the newest record was dropped")
	}
}

// A stream of this front is reported more than once, one of a peer or of unknown version never.
func TestUnreported(t *testing.T) {
	b := origin.New()
	b.Add(0, 1, chat)
	b.Merge(0, 2, chat)
	b.Add(0, 3, origin.Origin{Service: "chat"})
	for i, want := range []int{1, 1, 0} {
		if ss := b.Unreported(); len(ss) != want || want == 1 && ss[0] != (origin.Stream{ID: 1, Origin: chat}) {
			t.Errorf("heartbeat %d: got %+v, want %d streams", i, ss, want)
		}
	}
}

// Guards against heartbeats that no datagram can carry: of many streams each is reported as often as a
// single one, but in several heartbeats.
func TestUnreportedIsBounded(t *testing.T) {
	const streams, most = 20000, 2000
	b := origin.New()
	for id := range uint64(streams) {
		b.Add(0, id+1, chat)
	}
	reported := map[uint64]int{}
	for {
		ss := b.Unreported()
		if len(ss) == 0 {
			break
		}
		if len(ss) > most {
			t.Fatalf("a heartbeat reports %d streams, want at most %d", len(ss), most)
		}
		for _, v := range ss {
			reported[v.ID]++
		}
	}
	for id := range uint64(streams) {
		if n := reported[id+1]; n != 2 {
			t.Fatalf("stream %d: reported %d times, want 2", id+1, n)
		}
	}
}

// The only version is certain once the list has been known, without another version, since the
// stream can have begun, or for as long as records are kept, and for ListLag before that: other
// fronts may have used targets that were no longer listed.
func TestOnlyVersion(t *testing.T) {
	one, two := map[string][]string{"chat": {"v1", "v1"}}, map[string][]string{"chat": {"v1", "v2"}}
	const unknown = -1
	for _, c := range []struct {
		name string
		do   func(*origin.Table)
		now  time.Duration
		want bool
		// begun is how long ago the stream can have begun.
		begun time.Duration
	}{
		{"just started", func(b *origin.Table) { b.SetVersions(0, one) }, 34 * s, false, unknown},
		{"one for long", func(b *origin.Table) { b.SetVersions(0, one); b.SetVersions(10*s, one) }, 36 * s, true, unknown},
		{"two", func(b *origin.Table) { b.SetVersions(0, two) }, 99 * s, false, unknown},
		{"two lately", func(b *origin.Table) { b.SetVersions(0, two); b.SetVersions(10*s, one) }, 44 * s, false, unknown},
		{"two long ago", func(b *origin.Table) { b.SetVersions(0, two); b.SetVersions(10*s, one) }, 46 * s, true, unknown},
		{"two between lists", func(b *origin.Table) { b.SetVersions(0, one); b.ObserveVersion("chat", "v2"); b.SetVersions(10*s, one) }, 44 * s, false, unknown},
		{"two between lists long ago", func(b *origin.Table) { b.SetVersions(0, one); b.ObserveVersion("chat", "v2"); b.SetVersions(10*s, one) }, 46 * s, true, unknown},
		{"none listed now", func(b *origin.Table) { b.SetVersions(0, one); b.SetVersions(20*s, nil) }, 45 * s, true, unknown},
		{"list interrupted", func(b *origin.Table) { b.SetVersions(0, one); b.Interrupt(20 * s) }, 54 * s, false, unknown},
		{"unknown version", func(b *origin.Table) { b.SetVersions(0, map[string][]string{"chat": {""}}) }, 45 * s, false, unknown},
		{"longer streams", func(b *origin.Table) { b.SetKeep(60 * s); b.SetVersions(0, one) }, 64 * s, false, unknown},
		{"longer streams before", func(b *origin.Table) { b.SetKeep(60 * s); b.SetKeep(5 * s); b.SetVersions(0, one) }, 64 * s, false, unknown},
		{"began before the list was known", func(b *origin.Table) { b.SetVersions(0, one) }, 14 * s, false, 10 * s},
		{"began since the list is known", func(b *origin.Table) { b.SetVersions(0, one) }, 16 * s, true, 10 * s},
		{"began before an interruption", func(b *origin.Table) { b.SetVersions(0, one); b.Interrupt(20 * s) }, 34 * s, false, 10 * s},
		{"began beside another version", func(b *origin.Table) { b.SetVersions(0, two); b.SetVersions(10*s, one) }, 19 * s, false, 10 * s},
		{"began soon after another version", func(b *origin.Table) { b.SetVersions(0, two); b.SetVersions(10*s, one) }, 24 * s, false, 10 * s},
		{"began after another version", func(b *origin.Table) { b.SetVersions(0, two); b.SetVersions(10*s, one) }, 26 * s, true, 10 * s},
		{"began longer ago than records are kept", func(b *origin.Table) { b.SetVersions(0, two); b.SetVersions(10*s, one) }, 100 * s, false, 99 * s},
		{"began longer ago than versions are kept", func(b *origin.Table) { b.SetVersions(0, one) }, time.Hour, false, 10 * time.Minute},
	} {
		b := origin.New()
		c.do(b)
		if v, ok := b.Only(c.now, "chat", c.begun); ok != c.want || ok && v != "v1" {
			t.Errorf("%s: got %q, %v, want %v", c.name, v, ok, c.want)
		}
	}
}
