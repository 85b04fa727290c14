package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/origin"
	"kingcupstand/internal/prop"
)

var (
	v1 = origin.Origin{Service: "llm", Version: "v1"}
	v2 = origin.Origin{Service: "llm", Version: "v2"}
)

func oneKeeper(origin.Origin) []string { return []string{"k-1"} }

// What a front had in progress when it was killed stays at the keeper, also once the front has
// started again, but not for ever: also what has broken off towards its caller. Streams that have ended
// don't.
func TestKeptAfterTheFrontIsKilled(t *testing.T) {
	r, k := origin.NewRunning(), origin.NewKept()
	now := time.Duration(0)
	send := func(incarnation, sequence uint64) {
		for _, v := range r.Reports(now, oneKeeper) {
			k.Observe(now, origin.Sender{Front: "f-1", Incarnation: incarnation, Sequence: sequence}, v)
		}
	}
	for id := range uint64(4) {
		r.Begin(id, v1)
	}
	r.Begin(9, v2)
	send(1, 1)
	r.End(now, 0, v1, true)
	r.End(now, 1, v1, false)
	now += time.Second
	send(1, 2)
	r = origin.NewRunning()
	r.Begin(20, v1)
	now += 2 * time.Second
	send(2, 1)
	r.End(now, 20, v1, true)
	now += time.Second
	send(2, 2)
	if got, want := sorted(k.Streams(now)), "llm v1 [1 2 3], llm v2 [9]"; got != want {
		t.Errorf("kept %s, want %s", got, want)
	}
	if n := len(k.Streams(now + origin.KeptFor)); n > 0 {
		t.Errorf("%d origins are kept longer than callers resume streams", n)
	}
}

// A new set of keepers gets all streams at once, as their targets may be the only ones left.
func TestNewKeepersGetAllStreams(t *testing.T) {
	r := origin.NewRunning()
	r.Begin(1, v1)
	r.Begin(2, v1)
	r.Reports(0, oneKeeper)
	if n := len(r.Reports(100*time.Millisecond, oneKeeper)); n > 0 {
		t.Errorf("%d reports to keepers that know everything", n)
	}
	rs := r.Reports(200*time.Millisecond, func(origin.Origin) []string { return []string{"k-2"} })
	if len(rs) != 1 || !rs[0].All || !slices.Equal(rs[0].Streams, []uint64{1, 2}) || !slices.Equal(rs[0].To, []string{"k-2"}) {
		t.Errorf("got %+v, want both streams for the new keeper", rs)
	}
}

// Whatever begins, ends, is lost or arrives out of order: after a complete report the keeper has the
// streams in progress, and no others of the front.
func TestPropertyKeptIsWhatRuns(t *testing.T) {
	type message struct {
		sequence uint64
		report   origin.Report
	}
	prop.Check(t, func(t *rapid.T) {
		r, k := origin.NewRunning(), origin.NewKept()
		counts, broken := map[uint64]int{}, map[uint64]time.Duration{}
		var now time.Duration
		var sequence uint64
		var late []message
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 100, 400, 20_000}).Draw(t, "ms")) * time.Millisecond
			id := uint64(rapid.IntRange(1, 5).Draw(t, "stream"))
			sequence++
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if fresh := r.Begin(id, v1); fresh != (counts[id] == 0) {
					t.Fatalf("stream %d is new: %v", id, fresh)
				}
				counts[id]++
				late = append(late, message{sequence, origin.Report{Origin: v1, Streams: []uint64{id}}})
			case 1:
				whole := rapid.Bool().Draw(t, "whole")
				r.End(now, id, v1, whole)
				if counts[id] > 0 {
					counts[id]--
					if broken[id] = now + origin.KeptFor; whole {
						delete(broken, id)
					}
				}
			case 2:
				for _, m := range late { // reports of single streams arrive after later complete ones, or not
					if rapid.Bool().Draw(t, "arrives") {
						k.Observe(now, origin.Sender{Front: "f", Incarnation: 1, Sequence: m.sequence}, m.report)
					}
				}
				late = nil
			case 3:
				for _, v := range r.Reports(now, oneKeeper) {
					k.Observe(now, origin.Sender{Front: "f", Incarnation: 1, Sequence: sequence}, v)
					late = slices.DeleteFunc(late, func(m message) bool { return m.sequence < sequence && rapid.Bool().Draw(t, "lost") })
					want := slices.Sorted(func(yield func(uint64) bool) {
						for id := range uint64(6) {
							if (counts[id] > 0 || broken[id] > now) && !yield(id) {
								return
							}
						}
					})
					if got := k.Streams(now)[v1]; !slices.Equal(slices.Sorted(slices.Values(got)), want) {
						t.Fatalf("kept %v, want %v", got, want)
					}
				}
			}
		}
	})
}

func sorted(m map[origin.Origin][]uint64) string {
	var s []string
	for o, ids := range m {
		s = append(s, fmt.Sprint(o.Service, " ", o.Version, " ", slices.Sorted(slices.Values(ids))))
	}
	slices.Sort(s)
	return fmt.Sprint(s[0], ", ", s[1])
}

// Guards against a keeper that grows with each incarnation that reports, and with each report: the groups that
// were reported longest ago go first, so that those of fronts that run stay.
func TestKeptIsBounded(t *testing.T) {
	k := origin.NewKept()
	now := time.Duration(0)
	running := origin.Sender{Front: "f-1", Incarnation: 1, Sequence: 1}
	streams := make([]uint64, 2000)
	for n := range uint64(6000) {
		if n%1000 == 0 {
			k.Observe(now, running, origin.Report{Origin: v1, Streams: []uint64{7}, All: true})
		}
		for i := range streams {
			streams[i] = n<<32 | uint64(i)
		}
		now += time.Millisecond
		k.Observe(now, origin.Sender{Front: "f-2", Incarnation: n}, origin.Report{Origin: v2, Streams: streams[:1+n/3]})
		k.Observe(now, origin.Sender{Front: fmt.Sprint("g-", n)}, origin.Report{Origin: v2, Streams: streams[:100]})
	}
	m := k.Streams(now)
	if !slices.Equal(m[v1], []uint64{7}) {
		t.Errorf("kept %d streams of the front that runs, want one", len(m[v1]))
	}
	if n := len(m[v2]); n == 0 || n > 1<<18 {
		t.Errorf("kept %d streams of the others, want up to %d", n, 1<<18)
	}
}
