package poison_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kingcupstand/core/poison"
)

const (
	// tick is how often fronts check, beat how often each sends a heartbeat.
	tick = 50 * ms
	beat = 250 * ms
	// fanout is the number of peers that a heartbeat goes to.
	fanout = 3
)

// delivery is a heartbeat under way.
type delivery struct {
	at time.Duration
	to int
	rs []poison.Report
}

// fronts are tables that exchange heartbeats with delays and losses.
type fronts struct {
	t     *testing.T
	r     *rand.Rand
	now   time.Duration
	bs    []*poison.Table
	under []delivery
	// cut is true for fronts that are partitioned from the others, gone for those that ended.
	cut, gone []bool
	// since is when each part was first isolated at each front.
	since []map[poison.Part]time.Duration
	n     int // crashes
}

func newFronts(t *testing.T, n int) *fronts {
	f := &fronts{t: t, r: rand.New(rand.NewPCG(1, uint64(n)))}
	for range n {
		f.join()
	}
	return f
}

// join adds a front and returns its index.
func (f *fronts) join() int {
	f.bs = append(f.bs, poison.New())
	f.cut, f.gone = append(f.cut, false), append(f.gone, false)
	f.since = append(f.since, map[poison.Part]time.Duration{})
	return len(f.bs) - 1
}

// note records changes at a front.
func (f *fronts) note(i int, cs []poison.Change) {
	for _, c := range cs {
		if _, ok := f.since[i][c.Part]; c.Isolated && !ok {
			f.since[i][c.Part] = f.now
		}
	}
}

// run passes time, and calls each at every tick.
func (f *fronts) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += tick {
		if each != nil {
			each()
		}
		f.under = slices.DeleteFunc(f.under, func(m delivery) bool {
			if m.at > f.now {
				return false
			}
			f.note(m.to, f.bs[m.to].Merge(f.now, m.rs))
			return true
		})
		for i, b := range f.bs {
			if f.gone[i] {
				continue
			}
			f.note(i, b.Check(f.now))
			if (f.now/tick+time.Duration(i))%(beat/tick) != 0 {
				continue
			}
			rs := b.Reports(f.now)
			for range fanout {
				to := f.r.IntN(len(f.bs))
				if to == i || f.gone[to] || f.cut[i] != f.cut[to] || f.r.IntN(20) == 0 {
					continue
				}
				delay := time.Duration(f.r.IntN(100)) * ms
				f.under = append(f.under, delivery{f.now + delay, to, rs})
			}
		}
	}
}

// sound records an answer at a front.
func (f *fronts) sound(i int, ps ...poison.Part) { f.note(i, f.bs[i].Sound(f.now, ps)) }

// crash is a crash at which each front holds the parts that at returns.
func (f *fronts) crash(at func(i int) []poison.Part) {
	f.n++
	for i, b := range f.bs {
		if ps := at(i); !f.gone[i] && len(ps) > 0 {
			b.Crash(f.now, crash(f.n), ps)
		}
	}
}

// want checks which parts are isolated at the fronts that run.
func (f *fronts) want(when string, ps ...poison.Part) {
	f.t.Helper()
	for i, b := range f.bs {
		if got := isolated(b); !f.gone[i] && !slices.Equal(got, sorted(ps...)) {
			f.t.Errorf("%s: front %d has %x isolated, want %x", when, i, got, sorted(ps...))
		}
	}
}

// never checks that no part but those given was isolated at any time.
func (f *fronts) never(but ...poison.Part) {
	f.t.Helper()
	for i, m := range f.since {
		for p, at := range m {
			if !slices.Contains(but, p) {
				f.t.Errorf("front %d isolated %x at %v", i, p, at)
			}
		}
	}
}

// hot are the parts that many requests share, few are in one request each.
var hot, few = parts(0, 5), parts(100, 60)

// parts returns n parts.
func parts(first, n int) []poison.Part {
	var ps []poison.Part
	for i := range n {
		ps = append(ps, poison.Part(first+i))
	}
	return ps
}

// mix returns the parts of a sound request.
func (f *fronts) mix() []poison.Part {
	return []poison.Part{hot[f.r.IntN(len(hot))], few[f.r.IntN(len(few))]}
}

// poisoned is a crash by a request of front 0 with the cause, one of whose parts is hot. The
// other fronts have sound requests there.
func (f *fronts) poisoned() {
	f.crash(func(i int) []poison.Part {
		ps := f.mix()
		if i == 0 {
			ps = append(ps, bad, hot[0])
		}
		return ps
	})
}

// answers is the answers of a tick in usual work.
func (f *fronts) answers() {
	for i := range f.bs {
		if !f.gone[i] && f.r.IntN(4) == 0 {
			f.sound(i, f.mix()...)
		}
	}
}

// The cause is isolated at all fronts, also those that never held it, and nothing else is.
func TestCauseAmongSharedParts(t *testing.T) {
	for _, n := range []int{1, 2, 8, 32} {
		f := newFronts(t, n)
		for range 5 {
			f.run(2*s, f.answers)
			f.poisoned()
		}
		fifth := f.now
		f.run(10*s, f.answers)
		f.want("after five crashes", bad)
		f.never(bad)
		for i, m := range f.since {
			if m[bad] > fifth+2*s {
				t.Errorf("%d fronts: front %d isolated the cause %v after the fifth crash", n, i, m[bad]-fifth)
			}
		}
	}
}

// The cause comes from one front after another, as one request goes around.
func TestCauseMovesBetweenFronts(t *testing.T) {
	f := newFronts(t, 8)
	for k := range 5 {
		f.run(s, f.answers)
		f.crash(func(i int) []poison.Part {
			if i == k {
				return append(f.mix(), bad, hot[0])
			}
			return f.mix()
		})
	}
	f.run(2*s, f.answers)
	f.want("2 s after the fifth crash", bad)
	f.never(bad)
}

// Nothing is answered for seconds, but each shared part once after the first crash.
func TestTotalCollapse(t *testing.T) {
	f := newFronts(t, 8)
	f.crash(func(int) []poison.Part { return append(append([]poison.Part{bad}, hot...), few...) })
	f.run(tick, nil)
	for i := range f.bs {
		f.sound(i, hot...)
		f.sound(i, few...)
	}
	for range 20 {
		f.run(200*ms, nil)
		f.poisoned()
	}
	f.run(5*s, nil)
	f.want("collapse", bad)
	f.never(bad)
}

// Targets that crash at once for another reason isolate nothing if answers follow.
func TestCrashesForOtherReason(t *testing.T) {
	f := newFronts(t, 8)
	for range 5 {
		f.crash(func(i int) []poison.Part { return append(f.mix(), hot[0], few[i]) })
	}
	f.run(500*ms, nil)
	for i := range f.bs {
		f.sound(i, hot...)
	}
	for i, p := range few {
		f.sound(i%len(f.bs), p)
	}
	f.run(10*s, f.answers)
	f.want("answers follow")
	f.never()
}

// A front that joins later, and one that was partitioned, learn what is isolated.
func TestLateFronts(t *testing.T) {
	f := newFronts(t, 8)
	f.cut[7] = true
	for range 5 {
		f.run(s, f.answers)
		f.crash(func(i int) []poison.Part {
			if i == 0 {
				return append(f.mix(), bad)
			}
			return f.mix()
		})
	}
	f.run(15*s, f.answers)
	if got := isolated(f.bs[7]); len(got) > 0 {
		t.Errorf("partitioned: got %x isolated", got)
	}
	f.cut[7] = false
	f.join()
	f.run(2*s, f.answers)
	f.want("2 s later", bad)
	// What the isolated part has crashed stays explained at the new front.
	f.run(20*s, f.answers)
	f.never(bad)
}

// The others keep what a front learned that is gone.
func TestFrontGone(t *testing.T) {
	f := newFronts(t, 8)
	for range 3 {
		f.run(s, f.answers)
		f.poisoned()
	}
	f.run(s, f.answers)
	f.gone[0] = true
	f.run(2*s, f.answers)
	f.want("gone", bad)
	f.run(60*s, f.answers)
	f.want("a minute later", bad)
	f.never(bad)
}

// An isolation ends at all fronts and stays ended, whether it expires or an answer ends it,
// also at a front that was partitioned meanwhile.
func TestIsolationEndsEverywhere(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(*fronts)
		after time.Duration
	}{
		{"expired", func(f *fronts) { f.run(10*time.Minute-20*s, nil) }, 20 * s},
		{"answered", func(f *fronts) { f.sound(3, bad) }, 2 * s},
		{"answered during a partition", func(f *fronts) {
			f.cut[5] = true
			f.sound(3, bad)
			f.run(20*s, nil)
			f.cut[5] = false
		}, 3 * s},
	} {
		f := newFronts(t, 8)
		for range 5 {
			f.run(s, nil)
			f.crash(func(i int) []poison.Part { return []poison.Part{bad}[:rankOf(i == 0)] })
		}
		f.run(5*s, nil)
		f.want(c.name+": before", bad)
		c.end(f)
		f.run(c.after, nil)
		f.want(c.name + ": after")
		f.run(60*s, nil)
		f.want(c.name + ": a minute later")
	}
}

// rankOf returns 1 for true.
func rankOf(b bool) int {
	if b {
		return 1
	}
	return 0
}
