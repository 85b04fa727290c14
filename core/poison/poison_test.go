package poison_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"kingcupstand/core/poison"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

// part and rare are parts, bad is the one that crashes targets.
var (
	bad  = poison.PartOf("bad")
	part = poison.PartOf("part")
	rare = poison.PartOf("rare")
)

// crash returns the id of the nth crash.
func crash(n int) poison.CrashID { return poison.CrashOf(fmt.Sprint("target-", n), int64(n)) }

// crashes records crashes first to last, one each 100 ms from the time at.
func crashes(b *poison.Table, at time.Duration, first, last int, ps ...poison.Part) {
	for n := first; n <= last; n++ {
		b.Crash(at+time.Duration(n-first)*100*ms, crash(n), ps)
	}
}

// isolated returns the isolated parts, in order.
func isolated(b *poison.Table) []poison.Part { return slices.Sorted(maps.Keys(b.Set())) }

// sorted returns parts in order.
func sorted(ps ...poison.Part) []poison.Part { return slices.Sorted(slices.Values(ps)) }

// A process of a target that starts anew, and another target, crash anew.
func TestCrashOf(t *testing.T) {
	seen := map[poison.CrashID]bool{}
	for _, target := range []string{"a", "b", "a\x00", ""} {
		for _, born := range []int64{-1, 0, 1, 256} {
			seen[poison.CrashOf(target, born)] = true
		}
	}
	if len(seen) != 16 {
		t.Errorf("got %d ids for 16 crashes", len(seen))
	}
}

// A part is isolated by enough crashes that nothing else explains and no answer clears.
func TestIsolation(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*poison.Table)
		now  time.Duration
		want []poison.Part
	}{
		{"two crashes", func(b *poison.Table) { crashes(b, 0, 1, 2, bad) }, 10 * s, nil},
		{"one crash told three times", func(b *poison.Table) {
			for range 3 {
				b.Crash(s, crash(1), []poison.Part{bad})
			}
		}, 10 * s, nil},
		{"three, not settled", func(b *poison.Table) { crashes(b, 0, 1, 3, bad) }, 1190 * ms, nil},
		{"three", func(b *poison.Table) { crashes(b, 0, 1, 3, bad) }, 1200 * ms, sorted(bad)},
		{"later crashes don't delay it", func(b *poison.Table) { crashes(b, 0, 1, 12, bad) }, 1200 * ms, sorted(bad)},
		{"answered meanwhile", func(b *poison.Table) {
			crashes(b, 0, 1, 3, bad)
			b.Sound(s, []poison.Part{bad})
		}, 10 * s, nil},
		{"answered after the first of five", func(b *poison.Table) {
			crashes(b, 0, 1, 1, bad)
			b.Sound(50*ms, []poison.Part{bad})
			crashes(b, 100*ms, 2, 5, bad)
		}, 10 * s, nil},
		{"answered before five", func(b *poison.Table) {
			crashes(b, 0, 1, 1, bad)
			b.Sound(50*ms, []poison.Part{bad})
			crashes(b, 100*ms, 2, 6, bad)
		}, 1500 * ms, sorted(bad)},
		{"answered before the first of four", func(b *poison.Table) {
			b.Sound(0, []poison.Part{bad})
			crashes(b, s, 1, 4, bad)
		}, 10 * s, nil},
		{"answered before the first of five crashes", func(b *poison.Table) {
			b.Sound(0, []poison.Part{bad})
			crashes(b, s, 1, 5, bad)
		}, 10 * s, sorted(bad)},
		{"a part of all requests that was answered before the first crash", func(b *poison.Table) {
			b.Sound(0, []poison.Part{part})
			crashes(b, s, 1, 9, bad, part)
		}, 10 * s, sorted(bad)},
		{"crashes too far apart", func(b *poison.Table) {
			crashes(b, 0, 1, 1, bad)
			crashes(b, 2*time.Minute, 2, 2, bad)
			crashes(b, 5*time.Minute, 3, 3, bad)
		}, 5*time.Minute + 10*s, nil},
		{"the part in more crashes first", func(b *poison.Table) {
			crashes(b, 0, 1, 5, bad, part)
			crashes(b, 500*ms, 6, 6, bad)
		}, 10 * s, sorted(bad)},
		{"parts that nothing tells apart", func(b *poison.Table) { crashes(b, 0, 1, 4, bad, part) }, 10 * s, nil},
		{"five crashes of parts that nothing tells apart", func(b *poison.Table) { crashes(b, 0, 1, 5, bad, part) }, 1400 * ms, sorted(bad, part)},
		{"told apart by an answer", func(b *poison.Table) {
			crashes(b, 0, 1, 4, bad, part)
			b.Sound(2*s, []poison.Part{part})
		}, 2 * s, sorted(bad)},
		{"the part without an answer first", func(b *poison.Table) {
			crashes(b, 0, 1, 1, part)
			b.Sound(50*ms, []poison.Part{part})
			crashes(b, 100*ms, 2, 8, part)
			crashes(b, 100*ms, 2, 8, bad)
		}, 10 * s, sorted(bad)},
		{"later crashes are explained too", func(b *poison.Table) {
			crashes(b, 0, 1, 3, bad)
			b.Check(5 * s)
			crashes(b, 6*s, 4, 9, part)
			crashes(b, 6*s, 4, 9, bad)
		}, 20 * s, sorted(bad)},
		{"a second cause", func(b *poison.Table) {
			crashes(b, 0, 1, 5, bad, part)
			crashes(b, s, 6, 6, bad)
			b.Check(1900 * ms)
			crashes(b, 2*s, 7, 9, part)
		}, 10 * s, sorted(bad, part)},
		{"a likelier suspect that isn't due yet", func(b *poison.Table) {
			crashes(b, 0, 1, 3, part)
			for n := range 4 {
				b.Crash(900*ms, crash(n+1), []poison.Part{bad})
			}
		}, 1500 * ms, nil},
		{"the likelier suspect is due", func(b *poison.Table) {
			crashes(b, 0, 1, 3, part)
			for n := range 4 {
				b.Crash(900*ms, crash(n+1), []poison.Part{bad})
			}
			b.Check(1500 * ms)
		}, 1900 * ms, sorted(bad)},
	} {
		b := poison.New()
		c.do(b)
		b.Check(c.now)
		if got := isolated(b); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %x isolated, want %x", c.name, got, c.want)
		}
	}
}

// held returns a table at which bad is isolated from 2 s on.
func held(t *testing.T) *poison.Table {
	t.Helper()
	b := poison.New()
	crashes(b, 0, 1, 4, bad, part)
	crashes(b, 400*ms, 5, 5, bad)
	want := []poison.Change{{Part: bad, Isolated: true, Crashes: 5}}
	if cs := b.Check(2 * s); !slices.Equal(cs, want) {
		t.Fatalf("got changes %+v, want %+v", cs, want)
	}
	if until, ok := b.Isolated(bad); !ok || until != 10*time.Minute+2*s {
		t.Fatalf("got isolation until %v, %v", until, ok)
	}
	return b
}

// An isolation ends after a time, and what was reported until then doesn't begin it again.
func TestIsolationExpires(t *testing.T) {
	b := held(t)
	old := b.Reports(10*time.Minute + s)
	if cs := b.Check(10*time.Minute + 2*s - 1); len(cs) > 0 {
		t.Errorf("too early: got changes %+v", cs)
	}
	cs := b.Check(10*time.Minute + 2*s)
	if len(cs) != 1 || cs[0].Part != bad || cs[0].Isolated || len(b.Set()) > 0 {
		t.Errorf("got changes %+v, set %v", cs, b.Set())
	}
	if cs := b.Merge(10*time.Minute+2*s, old); len(cs) > 0 {
		t.Errorf("old report: got changes %+v", cs)
	}
	crashes(b, 11*time.Minute, 10, 11, bad)
	if cs := b.Check(12 * time.Minute); len(cs) > 0 {
		t.Errorf("two new crashes: got changes %+v", cs)
	}
	crashes(b, 12*time.Minute, 12, 12, bad)
	if cs := b.Check(13 * time.Minute); len(cs) != 1 || !cs[0].Isolated {
		t.Errorf("three new crashes: got changes %+v", cs)
	}
}

// What an isolated part has crashed isn't charged to others when its isolation expires.
func TestCrashesStayExplained(t *testing.T) {
	b := held(t)
	crashes(b, 9*time.Minute, 20, 30, bad, rare)
	b.Check(10*time.Minute + 2*s)
	b.Check(10*time.Minute + 20*s)
	if len(b.Set()) > 0 {
		t.Errorf("got %x isolated", isolated(b))
	}
}

// A sound answer ends an isolation, and the crashes then count for the other parts.
func TestSoundAnswerEndsIsolation(t *testing.T) {
	b := held(t)
	before := b.Set()
	if cs := b.Sound(3*s, []poison.Part{part, bad}); len(cs) != 1 || cs[0].Part != bad || cs[0].Isolated {
		t.Errorf("got changes %+v", cs)
	}
	if len(b.Set()) > 0 || len(before) != 1 {
		t.Errorf("got set %v, the one before %v", b.Set(), before)
	}

	b = held(t)
	b.Sound(3*s, []poison.Part{bad})
	if cs := b.Check(3 * s); len(cs) != 1 || cs[0] != (poison.Change{Part: part, Isolated: true, Crashes: 4}) {
		t.Errorf("other part: got changes %+v", cs)
	}
}

// A set is another map only after a change.
func TestSet(t *testing.T) {
	b := held(t)
	m := b.Set()
	b.Check(3 * s)
	b.Crash(4*s, crash(9), []poison.Part{rare})
	n := b.Set()
	if n[bad] != 10*time.Minute+2*s || len(n) != 1 {
		t.Errorf("got set %v", n)
	}
	m[rare] = 1 // only a test writes to it
	if len(n) != 2 {
		t.Error("got another map without a change")
	}
}

// Entries without anything that counts are dropped.
func TestEntriesAreForgotten(t *testing.T) {
	b := poison.New()
	crashes(b, 0, 1, 2, bad, part)
	for _, c := range []struct {
		now  time.Duration
		want int
	}{{299 * s, 2}, {301 * s, 0}} {
		if b.Check(c.now); b.Len() != c.want {
			t.Errorf("at %v: got %d entries, want %d", c.now, b.Len(), c.want)
		}
	}
	b = held(t)
	for _, now := range []time.Duration{10*time.Minute + 2*s, 20*time.Minute + 2*s} {
		b.Check(now)
	}
	if b.Len() > 0 {
		t.Errorf("after an isolation: got %d entries", b.Len())
	}
}
