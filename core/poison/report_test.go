package poison_test

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"kingcupstand/core/poison"
)

// What has changed is reported for a while, what is isolated always.
func TestReports(t *testing.T) {
	b := poison.New()
	b.Crash(s, crash(1), []poison.Part{part})
	b.Sound(1500*ms, []poison.Part{part})
	want := []poison.Report{{
		Part: part, Crashes: []poison.CrashAge{{ID: crash(1), Age: s}},
		HasSound: true, SoundAge: 500 * ms,
	}}
	if got := b.Reports(2 * s); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := b.Reports(5 * s); len(got) > 0 {
		t.Errorf("later: got %+v", got)
	}
	b = held(t)
	got := b.Reports(9 * time.Minute)
	if len(got) != 1 || got[0].Part != bad || !got[0].HasIsolated || got[0].IsolatedAge != 9*time.Minute-2*s {
		t.Errorf("isolated: got %+v", got)
	}
}

// Reports are bounded: isolated parts first, and the newest crashes.
func TestReportsAreBounded(t *testing.T) {
	b := poison.New()
	var ps []poison.Part
	for p := range poison.Part(1000) {
		ps = append(ps, p)
	}
	crashes(b, 0, 1, 2, ps...)
	crashes(b, s, 3, 20, bad)
	b.Check(4 * s)
	b.Crash(4*s, crash(21), ps)
	rs := b.Reports(4 * s)
	if len(rs) != 24 || rs[0].Part != bad || len(rs[0].Crashes) != 8 || rs[0].Crashes[0].ID != crash(20) {
		t.Errorf("got %d reports, the first %+v", len(rs), rs[0])
	}
}

// Parts that don't fit into one heartbeat take turns, those with more crashes first, also if an
// answer has cleared them.
func TestReportsTakeTurns(t *testing.T) {
	b := poison.New()
	few, many := parts(0, 60), parts(1000, 30)
	crashes(b, 0, 1, 1, few...)
	crashes(b, 0, 2, 3, many...)
	b.Sound(s, many)
	got := map[poison.Part]bool{}
	for i := range 2 {
		for _, r := range b.Reports(s + time.Duration(i)*100*ms) {
			got[r.Part] = true
		}
	}
	for _, p := range many {
		if !got[p] {
			t.Errorf("part %x wasn't reported in two heartbeats", p)
		}
	}
}

// A front that learns late of an answer after all crashes of a part ends its isolation, also if
// the answer is older, and doesn't take it up from peers again.
func TestLateAnswerEndsIsolation(t *testing.T) {
	b, c, d := poison.New(), poison.New(), poison.New()
	crashes(b, 0, 1, 3, bad)
	c.Merge(300*ms, b.Reports(300*ms))
	c.Sound(500*ms, []poison.Part{bad})
	if cs := b.Check(1500 * ms); len(cs) != 1 || !cs[0].Isolated {
		t.Fatalf("got changes %+v", cs)
	}
	d.Merge(1500*ms, b.Reports(1500*ms))
	if cs := c.Merge(1600*ms, b.Reports(1600*ms)); len(cs) > 0 {
		t.Errorf("front that knows of the answer: got changes %+v", cs)
	}
	for name, x := range map[string]*poison.Table{"isolated itself": b, "isolated by report": d} {
		if cs := x.Merge(1700*ms, c.Reports(1700*ms)); len(cs) != 1 || cs[0].Isolated {
			t.Errorf("%s: got changes %+v", name, cs)
		}
	}
}

// Reports that no front sends don't do harm.
func TestAbsurdReports(t *testing.T) {
	b := held(t)
	const year = 365 * 24 * time.Hour
	many := make([]poison.CrashAge, 1_000_000)
	for i := range many {
		many[i] = poison.CrashAge{ID: poison.CrashID(i), Age: time.Duration(i)}
	}
	for _, a := range []time.Duration{year, -year, math.MaxInt64, math.MinInt64} {
		b.Merge(3*s, []poison.Report{
			{Part: rare, Crashes: []poison.CrashAge{{ID: 1, Age: a}, {ID: 2, Age: a}}},
			{Part: rare + 1, HasSound: true, SoundAge: a},
			{Part: rare + 2, HasIsolated: true, IsolatedAge: a},
			{Part: part, Crashes: many, HasSound: true, SoundAge: a, HasIsolated: true, IsolatedAge: a},
			{},
		})
		b.Check(3 * s)
		for _, r := range b.Reports(3 * s) {
			if r.SoundAge < 0 || r.IsolatedAge < 0 || len(r.Crashes) > 8 {
				t.Errorf("age %v: got report %+v", a, r)
			}
		}
	}
	if until, ok := b.Isolated(bad); !ok || until != 10*time.Minute+2*s {
		t.Errorf("got isolation until %v, %v", until, ok)
	}
	for i := range 10_000 {
		b.Merge(3*s, []poison.Report{{Part: poison.Part(i), Crashes: many[:8]}})
	}
	b.Merge(3*s, make([]poison.Report, 1_000_000))
	if _, ok := b.Isolated(bad); !ok || b.Len() > 4096 {
		t.Errorf("got %d entries, isolated %v", b.Len(), ok)
	}
}

// Delays of reports make what they say seem later. Fronts that repeat it to each other must
// not move it on and on.
func TestTimesDontDrift(t *testing.T) {
	a, b := held(t), poison.New()
	const delay = 100 * ms
	for now := 2 * s; now < 60*s; now += 2 * delay {
		b.Merge(now+delay, a.Reports(now))
		a.Merge(now+2*delay, b.Reports(now+delay))
	}
	for _, x := range []*poison.Table{a, b} {
		if until, ok := x.Isolated(bad); !ok || until > 10*time.Minute+2*s+delay {
			t.Errorf("got isolation until %v, %v", until, ok)
		}
		i := slices.IndexFunc(x.Reports(60*s), func(r poison.Report) bool { return r.Part == bad })
		if i < 0 {
			t.Fatal("isolated part isn't reported")
		}
		if got := x.Reports(60 * s)[i].Crashes[0].Age; got < 60*s-400*ms-delay {
			t.Errorf("got age %v of the last crash", got)
		}
	}
}

// The time of an answer doesn't drift either, also if it is reported for long.
func TestAnswersDontDrift(t *testing.T) {
	a, b := poison.New(), poison.New()
	crashes(a, 0, 1, 1, bad)
	a.Sound(50*ms, []poison.Part{bad})
	crashes(a, 100*ms, 2, 7, bad)
	a.Check(2 * s)
	const delay = 100 * ms
	for now := 2 * s; now < 60*s; now += 2 * delay {
		b.Merge(now+delay, a.Reports(now))
		a.Merge(now+2*delay, b.Reports(now+delay))
	}
	for _, x := range []*poison.Table{a, b} {
		rs := x.Reports(60 * s)
		if len(rs) != 1 || !rs[0].HasIsolated || !rs[0].HasSound || rs[0].SoundAge < 60*s-50*ms-delay {
			t.Errorf("got reports %+v", rs)
		}
	}
}

// A reported answer counts if it is clearly later than the known one, or if it clears a crash.
func TestReportedAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		known time.Duration
		crash time.Duration
		at    time.Duration
		first bool
	}{
		{"clears a known crash", s, 1100 * ms, 1200 * ms, true},
		{"clears a crash that is learned later", s, 1500 * ms, 2 * s, false},
		{"the first answer, crash learned later", -1, 1500 * ms, 2 * s, false},
	} {
		b := poison.New()
		b.Crash(900*ms, crash(1), []poison.Part{bad})
		if c.known >= 0 {
			b.Sound(c.known, []poison.Part{bad})
		}
		learn := func() {
			for n := 2; n <= 7; n++ {
				b.Merge(3*s, []poison.Report{{Part: bad, Crashes: []poison.CrashAge{{ID: crash(n), Age: 3*s - c.crash}}}})
			}
		}
		if c.first {
			learn()
		}
		b.Merge(3*s, []poison.Report{{Part: bad, HasSound: true, SoundAge: 3*s - c.at}})
		if !c.first {
			learn()
		}
		if cs := b.Check(10 * s); len(cs) > 0 {
			t.Errorf("%s: got changes %+v", c.name, cs)
		}
	}
}

// What is about to be forgotten isn't learned anew from peers that forget it later.
func TestForgottenIsNotLearnedAnew(t *testing.T) {
	b, c := held(t), poison.New()
	c.Merge(295*s, b.Reports(295*s))
	for _, r := range c.Reports(295 * s) {
		if len(r.Crashes) > 0 {
			t.Errorf("got crashes %v", r.Crashes)
		}
	}
}
