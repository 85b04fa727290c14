package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/limit"
	"kingcupstand/core/share"
	"kingcupstand/internal/prop"
)

func named(perSecond float64) limit.Rate { return limit.Rate{Named: true, PerSecond: perSecond} }

// What is known of a limit changes with what is certainly later, and a lower limit wins if the
// order isn't certain.
func TestLimitFollowsTarget(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		do   func(*limit.Limit)
		want limit.Rate
	}{
		{"named", func(l *limit.Limit) { l.Observe(2*s, s, named(4.2)) }, named(4.2)},
		{"lowered by a request sent before", func(l *limit.Limit) { l.Observe(2*s, s, named(4.2)); l.Observe(3*s, s, named(2.5)) }, named(2.5)},
		{"raised by a request sent after", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Observe(4*s, 3*s, named(6)) }, named(6)},
		{"not raised by a request sent before", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Observe(3*s, s, named(6)) }, named(4)},
		{"ended", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Observe(4*s, 3*s, limit.Rate{}) }, limit.Rate{}},
		{"not ended by a request sent before", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Observe(3*s, s, limit.Rate{}) }, named(4)},
		{"reported", func(l *limit.Limit) { l.Merge(s, limit.Report{Rate: named(4), Age: 5 * s}) }, named(4)},
		{"stale report", func(l *limit.Limit) {
			l.Observe(3*s, 2*s, limit.Rate{})
			l.Merge(4*s, limit.Report{Rate: named(4), Age: 2 * s})
		}, limit.Rate{}},
		{"reported as ended, too close", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Merge(2*s+s/4, limit.Report{}) }, named(4)},
		{"reported as ended", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Merge(3*s, limit.Report{}) }, limit.Rate{}},
		{"reported as lower", func(l *limit.Limit) { l.Observe(2*s, s, named(4)); l.Merge(2*s+s/4, limit.Report{Rate: named(3)}) }, named(3)},
	} {
		var l limit.Limit
		c.do(&l)
		if got := l.Rate(); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// The end of a limit is reported, but not that a target never had one.
func TestReport(t *testing.T) {
	var l limit.Limit
	l.Observe(time.Second, 0, limit.Rate{})
	if r, ok := l.Report(time.Second); ok {
		t.Errorf("target that never had a limit: got report %+v", r)
	}
	l.Observe(2*time.Second, time.Second, named(4.2))
	if r, ok := l.Report(5 * time.Second); !ok || r.Rate != named(4.2) || r.Age != 3*time.Second {
		t.Errorf("limit: got report %+v, %v", r, ok)
	}
	l.Observe(7*time.Second, 6*time.Second, limit.Rate{})
	if r, ok := l.Report(8 * time.Second); !ok || r.Named || r.Age != 2*time.Second {
		t.Errorf("ended limit: got report %+v, %v", r, ok)
	}
	if r, ok := l.Report(10 * time.Minute); ok {
		t.Errorf("limit that ended long ago: got report %+v", r)
	}
}

// Fronts that want to send at any time, join, leave and are partitioned keep the limit over
// any window, but for one request for each unit on each side of a partition.
func TestFrontsKeepLimitTogether(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		round  = 100 * time.Millisecond
		length = 20 * time.Second
		window = 4 * time.Second
	)
	prop.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 60).Draw(t, "rate")
		n := rapid.IntRange(1, 40).Draw(t, "fronts")
		split := time.Duration(rapid.IntRange(0, 15).Draw(t, "split")) * time.Second
		side := rapid.IntRange(0, n-1).Draw(t, "side")
		ls := make([]limit.Limit, n)
		fs := make([]share.Front, n)
		for i := range ls {
			ls[i].Observe(0, 0, named(rate))
			fs[i] = share.Front{Name: string(rune('a' + i)), Weight: rapid.Float64Range(0, 100).Draw(t, "demand")}
		}
		units := ls[0].Units()
		var sent []int
		for now := time.Duration(0); now < length; now += step {
			sent = append(sent, 0)
			for i := range ls {
				if now%round == 0 {
					live := fs
					if now >= split && now < split+5*time.Second && side > 0 {
						if live = fs[:side]; i >= side {
							live = fs[side:]
						}
					}
					own := share.Assigned(fs[i].Name, live, []share.Target{{ID: "t", Slots: units}})["t"]
					ls[i].SetShare(now, float64(own)/float64(units)*float64(len(live))/float64(n))
				}
				for ls[i].Allows(now) {
					ls[i].Take(now)
					sent[len(sent)-1]++
				}
			}
		}
		allowed := rate*(window+maxBurst).Seconds() + float64(units)
		if side > 0 {
			allowed += float64(units) // of the other side
		}
		sum := 0
		for i, k := range sent {
			sum += k
			if w := int(window / step); i >= w {
				sum -= sent[i-w]
			}
			if float64(sum) > allowed {
				t.Fatalf("%d requests in the %v before step %d, want at most %.1f", sum, window, i, allowed)
			}
		}
		total := 0
		for _, k := range sent {
			total += k
		}
		if least := 0.5*rate*length.Seconds() - 2*float64(units) - 1; float64(total) < least {
			t.Errorf("%d requests in %v, want at least %.1f", total, length, least)
		}
	})
}

// maxBurst is that of the package, for fronts whose own rate is above 10 a second.
const maxBurst = 100 * time.Millisecond
