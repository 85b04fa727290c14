package front

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupstand/core/origin"
	"kingcupstand/core/pool"
	"kingcupstand/core/roster"
	"kingcupstand/core/sched"
	"kingcupstand/io/actor"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
)

func listedTarget(i int, version string) *spec.Replica {
	return &spec.Replica{Id: fmt.Sprint("i-", i), Service: "llm", Address: fmt.Sprint("192.0.2.9:", i), DataCentre: fmt.Sprint("dc", i%4), Version: version, Slots: 12}
}

// longList returns a list that is longer than those of which each change is applied at once: targets of
// another service, and the given ones.
func longList(rs ...*spec.Replica) *spec.Directory {
	for i := range shortList {
		r := listedTarget(1000+i, "v1")
		r.Service = "web"
		rs = append(rs, r)
	}
	return &spec.Directory{Revision: 1, Replicas: rs}
}

// usable returns the targets that the front may use.
func usable(f *Front) []string {
	return actor.Ask(f.loop, func(_ time.Duration, s *state) (ids []string) {
		for _, t := range s.pool.Targets("llm") {
			if !t.Leaving {
				ids = append(ids, t.ID)
			}
		}
		slices.Sort(ids)
		return ids
	})
}

// Changes of the target list take effect with the platform's confirmation that ends their series, or
// with the next tick if it doesn't come.
func TestListChangesTakeEffect(t *testing.T) {
	for name, end := range map[string]func(*Front){
		"confirmation": func(f *Front) { f.ConfirmTargets(Position{Revision: 4}) },
		"tick":         func(f *Front) { f.loop.Post(f.tick) },
	} {
		f := sharingFront(t, false)
		f.ReplaceTargets(longList(listedTarget(1, "v1"), listedTarget(2, "v1")))
		leaving := listedTarget(2, "v1")
		leaving.Leaving = true
		f.PutTarget(2, leaving)
		f.PutTarget(3, listedTarget(3, "v1"))
		f.InvalidTarget(4, "i-1", errors.New("unreadable"))
		end(f)
		if ids := usable(f); !slices.Equal(ids, []string{"i-3"}) {
			t.Errorf("%s: the front uses %v, want i-3", name, ids)
		}
	}
}

// Guards against a front that refuses requests although a target for them was listed: a change that
// comes alone is applied at once.
func TestSingleListChangeTakesEffectAtOnce(t *testing.T) {
	f := sharingFront(t, false)
	f.ReplaceTargets(&spec.Directory{Revision: 1})
	time.Sleep(2 * listInterval)
	f.PutTarget(2, listedTarget(1, "v1"))
	if ids := usable(f); !slices.Equal(ids, []string{"i-1"}) {
		t.Errorf("the front uses %v, want i-1", ids)
	}
}

// Guards against a front that goes on for good with a target that is gone: its entry went missing just before
// an outage of the platform, and the list doesn't change afterwards.
func TestMissingTargetIsDroppedAfterOutage(t *testing.T) {
	f := sharingFront(t, false)
	f.ReplaceTargets(&spec.Directory{Revision: 1, Replicas: []*spec.Replica{listedTarget(1, "v1"), listedTarget(2, "v1")}})
	f.RemoveTarget(2, "i-1")
	f.Disconnected(errors.New("unavailable"))
	time.Sleep(roster.MissingGrace + 100*time.Millisecond)
	if ids := usable(f); len(ids) != 2 {
		t.Fatalf("the front uses %v during the outage, want both targets", ids)
	}
	f.ConfirmTargets(Position{Revision: 2})
	time.Sleep(roster.OutageGrace + 200*time.Millisecond)
	if ids := usable(f); !slices.Equal(ids, []string{"i-2"}) {
		t.Errorf("the front uses %v after the outage, want i-2", ids)
	}
}

// Guards against a front that answers nothing while it reads many odd entries: an odd entry of a target that
// it doesn't know changes nothing, so that the list isn't applied again for each.
func TestOddEntriesOfUnknownTargetsCostLittle(t *testing.T) {
	f := sharingFront(t, false)
	f.ReplaceTargets(&spec.Directory{Revision: 1, Replicas: []*spec.Replica{listedTarget(1, "v1")}})
	applied := func() time.Duration {
		return actor.Ask(f.loop, func(_ time.Duration, s *state) time.Duration { return s.listApplied })
	}
	before := applied()
	time.Sleep(2 * listInterval)
	for i := range 100 {
		f.InvalidTarget(uint64(i+2), fmt.Sprint("odd-", i), errors.New("unreadable"))
	}
	f.ConfirmTargets(Position{Revision: 101})
	if at := applied(); at != before {
		t.Errorf("the list was applied at %v, and again until %v", before, at)
	}
	f.InvalidTarget(102, "i-1", errors.New("unreadable"))
	if ids := usable(f); len(ids) > 0 {
		t.Errorf("the front uses %v, want none", ids)
	}
}

// Guards against versions that are forgotten as they are listed and gone within one series of changes:
// other fronts may have begun streams at them.
func TestVersionOfOneSeriesOfChangesIsKept(t *testing.T) {
	f := sharingFront(t, false)
	f.ReplaceTargets(longList(listedTarget(1, "v1")))
	time.Sleep(time.Second)
	// The questions are asked as of a minute later, of streams that can have begun up to half a
	// second ago.
	const begun = time.Minute + time.Second/2 - origin.ListLag
	only := func() bool {
		return actor.Ask(f.loop, func(now time.Duration, s *state) bool {
			_, ok := s.origins.Only(now+time.Minute, "llm", begun)
			return ok
		})
	}
	if !only() {
		t.Fatal("one version alone was listed, but isn't known to be the only one")
	}
	f.PutTarget(2, listedTarget(2, "v2"))
	f.InvalidTarget(3, "i-2", errors.New("unreadable"))
	f.ConfirmTargets(Position{Revision: 3})
	if only() {
		t.Error("a version that was listed for a moment is forgotten")
	}
}

// BenchmarkListChanges measures what a front spends when the targets of a large fleet are listed one by
// one, in series of as many changes as a watch of the platform returns.
func BenchmarkListChanges(b *testing.B) {
	const series = 100
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			for b.Loop() {
				f := sharingFront(b, false)
				for i := range n {
					f.PutTarget(uint64(i+1), listedTarget(i, "v1"))
					if i%series == series-1 {
						f.ConfirmTargets(Position{Revision: uint64(i + 1)})
					}
				}
				if len(usable(f)) != n {
					b.Fatal("targets are missing")
				}
			}
		})
	}
}

// Guards against a front that grows, and takes longer for each change, while an entry names a new service with
// each: the records of a service without targets, routes or queued requests go.
func TestServicesThatAreGoneAreForgotten(t *testing.T) {
	f := sharingFront(t, false)
	f.SetPlan(&spec.Plan{Revision: 2, Services: []*spec.PlanService{{Name: "llm"}}})
	odd := listedTarget(2, "v1")
	odd.Service = "odd"
	f.ReplaceTargets(&spec.Directory{Revision: 1, Replicas: []*spec.Replica{listedTarget(1, "v1"), odd}})
	w := actor.Ask(f.loop, func(now time.Duration, s *state) *sched.Waiter[*pending] {
		s.sched.Enqueue(now, sched.Request{Criteria: pool.Criteria{Service: "llm"}}, &pending{granted: make(chan grant, 1)})
		return s.sched.Enqueue(now, sched.Request{Criteria: pool.Criteria{Service: "odd", Version: "v2", Pinned: true}}, &pending{granted: make(chan grant, 1)})
	})
	time.Sleep(2 * listInterval)
	f.PutTarget(2, listedTarget(2, "v1")) // i-2 is of another service now
	known := func() (services []string, versions string) {
		actor.Ask(f.loop, func(_ time.Duration, s *state) bool {
			services = s.sched.Services()
			for _, n := range []string{"llm", "odd"} {
				v, _ := s.origins.Only(s.listApplied+origin.ListLag, n, 0)
				versions += n + " " + v + ","
			}
			return true
		})
		return services, versions
	}
	if ss, vs := known(); !slices.Equal(ss, []string{"llm", "odd"}) || vs != "llm v1,odd ," {
		t.Errorf("got queues of %v, versions %q, want queues of both services, versions of llm alone", ss, vs)
	}
	f.loop.Post(func(now time.Duration, s *state) { s.sched.Remove(now, w) })
	f.PutTarget(3, listedTarget(3, "v1"))
	if ss, _ := known(); !slices.Equal(ss, []string{"llm"}) {
		t.Errorf("got queues of %v, want llm", ss)
	}
}

// Guards against a front that is busy with its log while an entry changes again and again.
func TestLinesAboutChangesOfEntriesAreLimited(t *testing.T) {
	f := sharingFront(t, false)
	var b strings.Builder
	f.telem.Log = telem.NewLogger(&b, "info")
	started := time.Now()
	for i := range uint64(1000) {
		f.PutTarget(2*i+1, listedTarget(1, "v1"))
		f.RemoveTarget(2*i+2, "i-1")
	}
	n := actor.Ask(f.loop, func(time.Duration, *state) int { return strings.Count(b.String(), "target=i-1 ") })
	if most := 242 + 120*time.Since(started).Seconds(); n < 2 || float64(n) > most {
		t.Errorf("%d lines about 2000 changes, want up to %.0f", n, most)
	}
}
