package queue_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/queue"
	"kingcupstand/internal/prop"
)

// The pattern is a long overload by an urgent kind: 60 urgent and 40 other requests
// a second want fewer turns. The urgent kind is served more often, in the measure
// that Second gives, and however few turns there are, the other one isn't starved:
// it gets more than a quarter of what all get.
func TestOverloadByAnUrgentKindStarvesNobody(t *testing.T) {
	const second = 100 // steps of 10 ms
	for _, every := range []int{2, 3, 4, 6, 10} {
		l := queue.New[int]()
		asked, served := [2]int{}, [2]int{}
		waiting := []*queue.Handle[int]{}
		for i := range 60 * second {
			now := time.Duration(i) * 10 * time.Millisecond
			order := 1
			if i%5 < 3 {
				order = 0
			}
			asked[order]++
			waiting = append(waiting, l.Push(now, queue.SortKey{RouteRank: order, Arrived: now}, order))
			if len(waiting) > 30 { // nobody waits longer than 300 ms
				l.Remove(waiting[0])
				waiting = waiting[1:]
			}
			if i%every == 0 {
				if v, ok := l.Pop(now); ok {
					served[v]++
				}
			}
		}
		a, b := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
		all := float64(served[0]+served[1]) / float64(asked[0]+asked[1])
		if a < b || b < all/4 {
			t.Errorf("a turn each %d0 ms: served %.3f of the urgent kind and %.3f of the other", every, a, b)
		}
		if p := b / a; p < queue.SecondWeight-0.1 || p > queue.SecondWeight+0.1 {
			t.Errorf("a turn each %d0 ms: the other kind got %.2f of the urgent one's part", every, p)
		}
	}
}

// No request of a tier gets a turn while one of a higher tier waits.
func TestHigherTierGoesFirst(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		l := queue.New[queue.SortKey]()
		n := map[int]int{}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			if rapid.Bool().Draw(t, "join") {
				p := queue.SortKey{
					TierRank:  rapid.IntRange(0, 3).Draw(t, "rank"),
					RouteRank: rapid.IntRange(0, 3).Draw(t, "order"),
					Late:      rapid.Bool().Draw(t, "late"),
					Arrived:   now,
				}
				l.Push(now, p, p)
				n[p.TierRank]++
				continue
			}
			p, ok := l.Pop(now)
			if !ok {
				continue
			}
			for r := range p.TierRank {
				if n[r] > 0 {
					t.Fatalf("rank %d goes before %d of rank %d", p.TierRank, n[r], r)
				}
			}
			n[p.TierRank]--
		}
	})
}

func TestOnTimeBeforeLateInOneLane(t *testing.T) {
	l := queue.New[string]()
	l.Push(0, queue.SortKey{Late: true, Arrived: 0}, "late")
	a := l.Push(1, queue.SortKey{Arrived: 1}, "first")
	b := l.Push(2, queue.SortKey{Arrived: 2}, "second")
	if n := l.Ahead(b); n != 1 {
		t.Errorf("%d ahead, want 1", n)
	}
	if !l.Remove(a) || l.Remove(a) {
		t.Error("a request leaves once")
	}
	for _, want := range []string{"second", "late"} {
		if got, _ := l.Pop(3); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	if _, ok := l.Pop(4); ok || l.Len() != 0 {
		t.Error("an empty line has a next request")
	}
}

// The pattern is a rush after a quiet time: one request a second, then ten at once,
// before 30 slots that are kept for a second each. The few turns of the quiet time
// don't make the rush look hopeless.
func TestRushAfterAQuietTime(t *testing.T) {
	l := queue.New[int]()
	now := time.Duration(0)
	for i := range 20 {
		now = time.Duration(i) * time.Second
		l.Push(now, queue.SortKey{Arrived: now}, i)
		l.Pop(now)
		l.AddHold(time.Second)
	}
	var last *queue.Handle[int]
	for i := range 10 {
		last = l.Push(now, queue.SortKey{Arrived: now}, i)
	}
	if e := l.ExpectedWait(now, last, 30); e > 400*time.Millisecond {
		t.Errorf("expected wait %v, want about a third of a second", e)
	}
	if e := l.ExpectedWait(now, last, 0.1); e < time.Second {
		t.Errorf("expected wait %v with a tenth of a slot", e)
	}
}
