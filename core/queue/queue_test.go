package queue_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/queue"
	"kingcupstand/internal/prop"
)

// Guards against starvation in a long overload by the most urgent class: 60 urgent and
// 40 other requests per second compete for fewer slots. The other class must be served
// SecondWeight times the share of the urgent one, and more than a quarter of the share
// that all requests together are served.
func TestOverloadByUrgentClassStarvesNone(t *testing.T) {
	const second = 100 // steps of 10 ms
	for _, every := range []int{2, 3, 4, 6, 10} {
		q := queue.New[int]()
		pushed, served := [2]int{}, [2]int{}
		queued := []*queue.Handle[int]{}
		for i := range 60 * second {
			now := time.Duration(i) * 10 * time.Millisecond
			rank := 1
			if i%5 < 3 {
				rank = 0
			}
			pushed[rank]++
			queued = append(queued, q.Push(now, queue.SortKey{RouteRank: rank, Arrived: now}, rank))
			if len(queued) > 30 { // the longest wait is 300 ms
				q.Remove(queued[0])
				queued = queued[1:]
			}
			if i%every == 0 {
				if v, ok := q.Pop(now); ok {
					served[v]++
				}
			}
		}
		a, b := float64(served[0])/float64(pushed[0]), float64(served[1])/float64(pushed[1])
		all := float64(served[0]+served[1]) / float64(pushed[0]+pushed[1])
		if a < b || b < all/4 {
			t.Errorf("one slot per %d0 ms: served shares are %.3f of the urgent class and %.3f of the other", every, a, b)
		}
		if p := b / a; p < queue.SecondWeight-0.1 || p > queue.SecondWeight+0.1 {
			t.Errorf("one slot per %d0 ms: ratio of the served shares is %.2f", every, p)
		}
	}
}

// No request is popped while one of a higher tier is queued.
func TestHigherTierGoesFirst(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		q := queue.New[queue.SortKey]()
		n := map[int]int{}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			if rapid.Bool().Draw(t, "push") {
				k := queue.SortKey{
					TierRank:  rapid.IntRange(0, 3).Draw(t, "tier rank"),
					RouteRank: rapid.IntRange(0, 3).Draw(t, "route rank"),
					Late:      rapid.Bool().Draw(t, "late"),
					Arrived:   now,
				}
				q.Push(now, k, k)
				n[k.TierRank]++
				continue
			}
			k, ok := q.Pop(now)
			if !ok {
				continue
			}
			for r := range k.TierRank {
				if n[r] > 0 {
					t.Fatalf("popped tier rank %d before %d queued requests of tier rank %d", k.TierRank, n[r], r)
				}
			}
			n[k.TierRank]--
		}
	})
}

func TestOnTimeBeforeLateWithinClass(t *testing.T) {
	q := queue.New[string]()
	q.Push(0, queue.SortKey{Late: true, Arrived: 0}, "late")
	a := q.Push(1, queue.SortKey{Arrived: 1}, "first")
	b := q.Push(2, queue.SortKey{Arrived: 2}, "second")
	if n := q.Ahead(b); n != 1 {
		t.Errorf("got %d requests ahead, want 1", n)
	}
	if !q.Remove(a) || q.Remove(a) {
		t.Error("Remove must succeed exactly once")
	}
	for _, want := range []string{"second", "late"} {
		if got, _ := q.Pop(3); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	if _, ok := q.Pop(4); ok || q.Len() != 0 {
		t.Error("the queue is not empty after all requests were popped")
	}
}

// Guards against a burst being refused because of the low rate of pops before it: one
// request per second, then ten at once, with 30 slots that each request occupies for a
// second. The slots serve all ten in a third of a second.
func TestExpectedWaitInBurstAfterLowLoad(t *testing.T) {
	q := queue.New[int]()
	now := time.Duration(0)
	for i := range 20 {
		now = time.Duration(i) * time.Second
		q.Push(now, queue.SortKey{Arrived: now}, i)
		q.Pop(now)
		q.AddHold(time.Second)
	}
	var last *queue.Handle[int]
	for i := range 10 {
		last = q.Push(now, queue.SortKey{Arrived: now}, i)
	}
	if w := q.ExpectedWait(now, last, 30); w > 400*time.Millisecond {
		t.Errorf("expected wait with 30 slots: got %v, want about 333ms", w)
	}
	if w := q.ExpectedWait(now, last, 0.1); w < time.Second {
		t.Errorf("expected wait with 0.1 slots: got %v, want at least 1s", w)
	}
}

// overload pushes requests of several kinds for a minute, one kind after the other in each
// step of 10 ms, pops one per three steps, and removes those that waited for 300 ms. It
// returns the served share of each kind.
func overload(kinds []queue.SortKey) []float64 {
	q := queue.New[int]()
	pushed, served := make([]float64, len(kinds)), make([]float64, len(kinds))
	var queued []*queue.Handle[int]
	for i := range 6000 {
		now := time.Duration(i) * 10 * time.Millisecond
		n := i % len(kinds)
		k := kinds[n]
		k.Arrived = now
		pushed[n]++
		queued = append(queued, q.Push(now, k, n))
		if len(queued) > 30 {
			q.Remove(queued[0])
			queued = queued[1:]
		}
		if i%3 == 0 {
			if v, ok := q.Pop(now); ok {
				served[v]++
			}
		}
	}
	for i := range served {
		served[i] /= pushed[i]
	}
	return served
}

// Guards against long answers beside short ones taking the slots of more urgent short
// requests: the answers hold their slot eight times as long, so they are the first to
// yield. They are not starved.
func TestClassOfLongAnswersYields(t *testing.T) {
	s := overload([]queue.SortKey{
		{RouteRank: 0, Hold: 500 * time.Millisecond},
		{RouteRank: 1, Hold: 250 * time.Millisecond},
		{RouteRank: 2, Hold: 2 * time.Second},
	})
	if all := (s[0] + s[1] + s[2]) / 3; s[2] < all/4 {
		t.Errorf("served share of long answers %.3f, of all %.3f", s[2], all)
	}
	// A third of the load is served. With equal weights the short requests would get about
	// as much as the answers.
	if s[1] < 2*s[2] || s[0] < s[1] {
		t.Errorf("served shares %.3f, want at least twice as much for the second as for the third", s)
	}
}

// Guards against the longest answers of a class being served less than half as often as the
// whole class, though short ones go first: they are served as often.
func TestLongAnswersAreServedAsOften(t *testing.T) {
	s := overload([]queue.SortKey{{Hold: 300 * time.Millisecond}, {Hold: 300 * time.Millisecond}, {Hold: 9 * time.Second}})
	if short := (s[0] + s[1]) / 2; s[2] > 1.1*short || s[2] < 0.9*short {
		t.Errorf("served share of long answers %.3f, of short ones %.3f, want a ratio from 0.9 to 1.1", s[2], short)
	}
}

// Guards against a burst of the most urgent class being refused while less urgent requests
// are served: the few pops of the class before the burst say nothing of its wait, since it
// gets all pops of the queue.
func TestUrgentBurstExpectsAllPops(t *testing.T) {
	q := queue.New[int]()
	now := time.Duration(0)
	for i := range 400 { // 40 pops a second, 2 of them of the urgent class
		now = time.Duration(i) * 25 * time.Millisecond
		k := queue.SortKey{RouteRank: 1, Arrived: now}
		if i%20 == 0 {
			k.RouteRank = 0
		}
		q.Push(now, k, i)
		q.Pop(now)
		q.AddHold(time.Second)
	}
	var last *queue.Handle[int]
	for i := range 4 {
		last = q.Push(now, queue.SortKey{Arrived: now}, i)
	}
	if w := q.ExpectedWait(now, last, 1); w > 150*time.Millisecond {
		t.Errorf("expected wait of the fourth urgent request: got %v, want about 100ms", w)
	}
	less := q.Push(now, queue.SortKey{RouteRank: 1, Arrived: now}, 5)
	if w := q.ExpectedWait(now, less, 1); w < 110*time.Millisecond {
		t.Errorf("expected wait of a less urgent request behind them: got %v, want more than 110ms", w)
	}
}

// A request that can only go to targets of one version doesn't hold up those behind it, and
// classes of versions that are gone are dropped.
func TestPinnedRequestsAreHeadsOfTheirOwn(t *testing.T) {
	q := queue.New[string]()
	for i := range 3 {
		for _, pin := range []string{"v1", "v2", ""} {
			q.Push(0, queue.SortKey{Pin: pin, Arrived: time.Duration(i)}, pin)
		}
	}
	pins := map[string]bool{}
	for _, h := range q.Heads(0) {
		pins[h.Value] = true
	}
	if len(pins) != 3 || q.Len() != 9 {
		t.Errorf("got heads %v of %d requests, want one for each version and one for others", pins, q.Len())
	}
	if c := q.CountByPriority(); c[queue.Priority{}] != 9 {
		t.Errorf("got %v, want 9 requests of one priority", c)
	}
	for range 9 {
		q.Pop(time.Second)
	}
	q.Push(2*time.Second, queue.SortKey{Pin: "v3"}, "v3")
	if hs := q.Heads(2 * time.Second); len(hs) != 1 || hs[0].Value != "v3" {
		t.Errorf("got %d heads, want v3 only", len(hs))
	}
}

// A request yields to those of higher priority at other fronts, but not to a longer class in its tier
// that isn't the most urgent one. What the lengths are is learned from the requests, also anew.
func TestYields(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Second
	q := queue.New[int]()
	push := func(routeRank int, hold time.Duration) {
		for range 200 {
			q.Remove(q.Push(0, queue.SortKey{TierRank: 1, RouteRank: routeRank, Hold: hold}, 0))
		}
	}
	check := func(name string, p, o queue.Priority, want bool) {
		t.Helper()
		if got := q.Yields(p, o); got != want {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	second, third := queue.Priority{TierRank: 1, RouteRank: 1}, queue.Priority{TierRank: 1, RouteRank: 2}
	check("lengths unknown", third, second, true)
	push(2, short)
	check("length of the more urgent class unknown", third, second, true)
	push(1, long)
	check("shorter", third, second, false)
	check("the more urgent one", second, third, false)
	check("most urgent class", third, queue.Priority{TierRank: 1}, true)
	check("higher tier", third, queue.Priority{RouteRank: 1}, true)
	check("lower tier", third, queue.Priority{TierRank: 2}, false)
	late := third
	late.Late = true
	check("late", late, second, true)
	check("late ones", third, queue.Priority{TierRank: 1, RouteRank: 1, Late: true}, false)
	over := third
	over.OverShare = true
	check("over the share", over, third, true)
	push(2, 2*long)
	check("longer since", third, second, true)
	push(2, short)
	check("shorter again", third, second, false)
}
