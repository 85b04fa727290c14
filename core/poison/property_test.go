package poison

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/internal/prop"
)

// drawParts draws some of n parts.
func drawParts(t *rapid.T, n int) []Part {
	return rapid.SliceOfNDistinct(rapid.Map(rapid.IntRange(1, n), func(i int) Part { return Part(i) }), 1, n, rapid.ID[Part]).Draw(t, "parts")
}

// Tables that merge the same reports in any order, and often enough for what they learn late to
// be weighed again, agree on what is isolated.
func TestMergesConverge(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		bs := []*Table{New(), New(), New()}
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			b := bs[rapid.IntRange(0, len(bs)-1).Draw(t, "table")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				b.Crash(now, CrashID(rapid.IntRange(1, maxReportCrashes).Draw(t, "crash")), drawParts(t, 4))
			case 2:
				b.Sound(now, drawParts(t, 4)[:1])
			default:
				b.Check(now)
			}
		}
		var rs []Report
		for _, b := range bs {
			rs = append(rs, b.Reports(now)...)
		}
		var want []Part
		for i := range 3 {
			b := New()
			for range 3 {
				for _, r := range rapid.Permutation(rs).Draw(t, "order") {
					b.Merge(now, []Report{r})
				}
			}
			for d := time.Duration(0); d <= 2*settle; d += settle / 10 {
				b.Check(now + d)
			}
			got := slices.Sorted(maps.Keys(b.Set()))
			if i == 0 {
				want = got
			} else if !slices.Equal(got, want) {
				t.Fatalf("got %v isolated, and %v in another order, by %+v", got, want, rs)
			}
		}
	})
}

// A part that is answered soon after each of its crashes, at any front, is never isolated.
func TestAnsweredPartIsNeverIsolated(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		const part = Part(1)
		bs := []*Table{New(), New(), New()}
		now := time.Duration(0)
		pass := func(d time.Duration) {
			for end := now + d; now < end; now += 50 * time.Millisecond {
				for i, b := range bs {
					b.Check(now)
					bs[(i+1)%len(bs)].Merge(now, b.Reports(now))
					if _, ok := b.Isolated(part); ok {
						t.Fatalf("table %d isolated it at %v", i, now)
					}
				}
			}
		}
		draw := func() *Table { return bs[rapid.IntRange(0, len(bs)-1).Draw(t, "table")] }
		for n := range rapid.IntRange(1, 30).Draw(t, "crashes") {
			draw().Crash(now, CrashID(n), append(drawParts(t, 4), part))
			draw().Crash(now, CrashID(n), drawParts(t, 4))
			if rapid.Bool().Draw(t, "burst") {
				draw().Crash(now, CrashID(1000+n), []Part{part})
				draw().Crash(now, CrashID(2000+n), []Part{part})
			}
			pass(time.Duration(rapid.IntRange(3, 12).Draw(t, "until the answer")) * 50 * time.Millisecond)
			draw().Sound(now, []Part{part})
			pass(time.Duration(rapid.IntRange(5, 30).Draw(t, "until the next")) * 50 * time.Millisecond)
		}
		pass(2 * time.Second)
	})
}

// Whatever happens, the table stays within its bounds, and what Check puts off is consistent
// with a check of everything.
func TestBounds(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		b := New()
		now, n := time.Duration(0), CrashID(0)
		age := rapid.OneOf(rapid.Int64(), rapid.Int64Range(0, int64(hold)))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "wait"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				first := rapid.IntRange(0, 10_000).Draw(t, "first")
				ps := make([]Part, rapid.IntRange(1, 3000).Draw(t, "parts"))
				for i := range ps {
					ps[i] = Part(first + i)
				}
				b.Crash(now, n, ps)
				n++
			case 1:
				ps := drawParts(t, 4)
				for range rapid.IntRange(1, 100).Draw(t, "crashes") {
					b.Crash(now, n, ps)
					n++
				}
			case 2:
				b.Sound(now, drawParts(t, 4))
			case 3:
				b.Merge(now, []Report{{
					Part:     Part(rapid.IntRange(1, 4).Draw(t, "part")),
					Crashes:  []CrashAge{{n, time.Duration(age.Draw(t, "crash age"))}},
					HasSound: rapid.Bool().Draw(t, "sound"), SoundAge: time.Duration(age.Draw(t, "sound age")),
					HasIsolated: rapid.Bool().Draw(t, "isolated"), IsolatedAge: time.Duration(age.Draw(t, "isolated age")),
				}})
				n++
			default:
				b.Check(now)
			}
			if len(b.entries) > maxEntries || len(b.explained) > maxExplained {
				t.Fatalf("%d entries, %d explained crashes", len(b.entries), len(b.explained))
			}
			for p, e := range b.entries {
				if len(e.crashes) > maxCrashes {
					t.Fatalf("%d crashes of %x", len(e.crashes), p)
				}
				if _, ok := b.Set()[p]; ok != (e.isolated != never) {
					t.Fatalf("part %x: in the set %v", p, ok)
				}
			}
			if rs := b.Reports(now); len(rs) > maxReports {
				t.Fatalf("%d reports", len(rs))
			}
		}
		b.Check(now)
		if b.due <= now {
			t.Fatalf("check at %v is due again at %v", now, b.due)
		}
		later := max(now, b.due-1)
		b.due = never
		if cs := b.Check(later); len(cs) > 0 {
			t.Fatalf("changes %+v were put off", cs)
		}
		b.Check(now + hold)
		if b.Check(now + 3*hold); len(b.entries) > 0 || len(b.Set()) > 0 {
			t.Fatalf("%d entries left", len(b.entries))
		}
	})
}
