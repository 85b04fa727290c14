package line_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/line"
	"kingcupstand/internal/prop"
)

// The pattern is a long overload by an urgent kind: 60 urgent and 40 other requests
// a second want fewer turns. The urgent kind is served more often, in the measure
// that Second gives, and however few turns there are, the other one isn't starved:
// it gets more than a quarter of what all get.
func TestOverloadByAnUrgentKindStarvesNobody(t *testing.T) {
	const second = 100 // steps of 10 ms
	for _, every := range []int{2, 3, 4, 6, 10} {
		l := line.New[int]()
		asked, served := [2]int{}, [2]int{}
		waiting := []*line.Ticket[int]{}
		for i := range 60 * second {
			now := time.Duration(i) * 10 * time.Millisecond
			order := 1
			if i%5 < 3 {
				order = 0
			}
			asked[order]++
			waiting = append(waiting, l.Join(now, line.Place{Order: order, Arrived: now}, order))
			if len(waiting) > 30 { // nobody waits longer than 300 ms
				l.Leave(waiting[0])
				waiting = waiting[1:]
			}
			if i%every == 0 {
				if v, ok := l.Next(now); ok {
					served[v]++
				}
			}
		}
		a, b := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
		all := float64(served[0]+served[1]) / float64(asked[0]+asked[1])
		if a < b || b < all/4 {
			t.Errorf("a turn each %d0 ms: served %.3f of the urgent kind and %.3f of the other", every, a, b)
		}
		if p := b / a; p < line.Second-0.1 || p > line.Second+0.1 {
			t.Errorf("a turn each %d0 ms: the other kind got %.2f of the urgent one's part", every, p)
		}
	}
}

// No request of a tier gets a turn while one of a higher tier waits.
func TestHigherTierGoesFirst(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		l := line.New[line.Place]()
		n := map[int]int{}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			if rapid.Bool().Draw(t, "join") {
				p := line.Place{
					Rank:    rapid.IntRange(0, 3).Draw(t, "rank"),
					Order:   rapid.IntRange(0, 3).Draw(t, "order"),
					Late:    rapid.Bool().Draw(t, "late"),
					Arrived: now,
				}
				l.Join(now, p, p)
				n[p.Rank]++
				continue
			}
			p, ok := l.Next(now)
			if !ok {
				continue
			}
			for r := range p.Rank {
				if n[r] > 0 {
					t.Fatalf("rank %d goes before %d of rank %d", p.Rank, n[r], r)
				}
			}
			n[p.Rank]--
		}
	})
}

func TestOnTimeBeforeLateInOneLane(t *testing.T) {
	l := line.New[string]()
	l.Join(0, line.Place{Late: true, Arrived: 0}, "late")
	a := l.Join(1, line.Place{Arrived: 1}, "first")
	b := l.Join(2, line.Place{Arrived: 2}, "second")
	if n := l.Ahead(b); n != 1 {
		t.Errorf("%d ahead, want 1", n)
	}
	if !l.Leave(a) || l.Leave(a) {
		t.Error("a request leaves once")
	}
	for _, want := range []string{"second", "late"} {
		if got, _ := l.Next(3); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	if _, ok := l.Next(4); ok || l.Len() != 0 {
		t.Error("an empty line has a next request")
	}
}

// The pattern is a rush after a quiet time: one request a second, then ten at once,
// before 30 slots that are kept for a second each. The few turns of the quiet time
// don't make the rush look hopeless.
func TestRushAfterAQuietTime(t *testing.T) {
	l := line.New[int]()
	now := time.Duration(0)
	for i := range 20 {
		now = time.Duration(i) * time.Second
		l.Join(now, line.Place{Arrived: now}, i)
		l.Next(now)
		l.Held(time.Second)
	}
	var last *line.Ticket[int]
	for i := range 10 {
		last = l.Join(now, line.Place{Arrived: now}, i)
	}
	if e := l.Expect(now, last, 30); e > 400*time.Millisecond {
		t.Errorf("expected wait %v, want about a third of a second", e)
	}
	if e := l.Expect(now, last, 0.1); e < time.Second {
		t.Errorf("expected wait %v with a tenth of a slot", e)
	}
}
