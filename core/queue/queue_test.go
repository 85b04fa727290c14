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
