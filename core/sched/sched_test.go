package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/pool"
	"kingcupstand/core/queue"
	"kingcupstand/core/sched"
	"kingcupstand/internal/prop"
)

// newDesk returns a desk before one engine.
func newDesk(slots int) (*sched.Scheduler[int], *pool.Pool) {
	r := rand.New(rand.NewPCG(1, 2))
	p := pool.New("", r)
	p.SetTargets([]pool.Target{{ID: "t", Service: "s", Slots: slots, Engine: true}})
	return sched.New[int](p, r), p
}

func ask(rank int, patience, left time.Duration) sched.Request {
	return sched.Request{Criteria: pool.Criteria{Service: "s"}, TierRank: rank, MaxWait: patience, TimeLeft: left}
}

// The pattern is a rush on full targets: who can't be served in time is told so at
// once, with a time to come back that it has left.
func TestRushOnFullTargetsIsRefusedAtOnce(t *testing.T) {
	d, _ := newDesk(1)
	d.Enqueue(0, ask(0, time.Second, 10*time.Second), 0)
	if _, ok := d.Next(0, "s"); !ok {
		t.Fatal("no turn at an idle target")
	}
	d.AddHold("s", 2*time.Second) // a slot comes free each two seconds
	waits := 0
	for i := range 20 {
		k := d.Enqueue(0, ask(0, 400*time.Millisecond, 9*time.Second), i)
		f, refused := d.Shed(0, k)
		if !refused {
			waits++
			continue
		}
		if f.RetryAfter < 300*time.Millisecond || f.RetryAfter > 3*time.Second || f.ExpectedWait <= 400*time.Millisecond {
			t.Errorf("refusal %+v", f)
		}
	}
	if waits != 1 {
		t.Errorf("%d wait for the next slot, want 1", waits)
	}
}

// A slot that is free here goes to a higher rank that waits at a peer.
func TestPeersHigherRankGoesFirst(t *testing.T) {
	d, p := newDesk(3)
	p.Begin(0, "t", 0) // two slots are left
	h := pool.Hash("s")
	d.SetPeer("peer", sched.Report{Waiting: map[sched.WaitKey]int{{Service: h}: 2}})
	d.Enqueue(0, ask(1, time.Second, 10*time.Second), 1)
	if _, ok := d.Next(0, "s"); ok {
		t.Error("a lower rank goes before two of a peer's")
	}
	d.Enqueue(0, ask(0, time.Second, 10*time.Second), 0)
	if u, ok := d.Next(0, "s"); !ok || u.Waiter.Value != 0 {
		t.Error("a request of the same rank waits for the peer's")
	}
	d.RemovePeer("peer")
	if _, ok := d.Next(0, "s"); !ok {
		t.Error("no turn after the peer is gone")
	}
}

// The pattern is callers that come back late while others wait elsewhere: a late
// answer is worth little, so the slot goes to who can still be on time.
func TestLateCallersLetPeersOnTimeOnesGoFirst(t *testing.T) {
	d, p := newDesk(3)
	p.Begin(0, "t", 0) // two slots are left
	h := pool.Hash("s")
	d.SetPeer("peer", sched.Report{Waiting: map[sched.WaitKey]int{{Service: h}: 1, {Service: h, Priority: queue.Priority{Late: true}}: 9}})
	for i := range 2 {
		a := ask(0, time.Second, 10*time.Second)
		a.Late = true
		d.Enqueue(0, a, i)
	}
	if _, ok := d.Next(0, "s"); !ok {
		t.Error("no turn though a slot is left after the peer's")
	}
	if _, ok := d.Next(0, "s"); ok {
		t.Error("a late caller goes before a peer's that can be on time")
	}
	d.Enqueue(0, ask(0, time.Second, 10*time.Second), 7)
	if u, ok := d.Next(0, "s"); !ok || u.Waiter.Value != 7 {
		t.Error("who can be on time waits for a peer's of its kind")
	}
}

// The pattern is a long overload: a front whose own slots are all busy keeps the most
// urgent kind waiting while other fronts' slots go to less urgent ones. After a beat it
// takes the next slot of a full target, one request at each.
func TestUrgentKindTakesTheNextSlotOfAFullTarget(t *testing.T) {
	d, p := newDesk(1)
	p.SetPeer("peer", []pool.Use{{Target: pool.Hash("t"), Running: 1}})
	less := ask(0, time.Second, 10*time.Second)
	less.RouteRank = 1
	d.Enqueue(0, less, 1)
	if _, ok := d.Next(400*time.Millisecond, "s"); ok {
		t.Error("a less urgent kind gets a slot of a full target")
	}
	for i := range 2 {
		d.Enqueue(400*time.Millisecond, ask(0, time.Second, 10*time.Second), 10+i)
	}
	if _, ok := d.Next(440*time.Millisecond, "s"); ok {
		t.Error("no wait for a slot that comes free")
	}
	if u, ok := d.Next(500*time.Millisecond, "s"); !ok || u.Waiter.Value != 10 {
		t.Error("the urgent one doesn't get the next slot")
	}
	if _, ok := d.Next(500*time.Millisecond, "s"); ok {
		t.Error("two wait for the next slot of one target")
	}
}

// Who has had its turn can't leave any more, and who left gets none.
func TestLeave(t *testing.T) {
	d, p := newDesk(1)
	a := d.Enqueue(0, ask(0, time.Second, 10*time.Second), 1)
	if _, ok := d.Next(0, "s"); !ok {
		t.Fatal("no turn")
	}
	if _, left := d.Remove(0, a); left {
		t.Error("left after its turn")
	}
	b := d.Enqueue(0, ask(0, time.Second, 10*time.Second), 2)
	if f, left := d.Remove(300*time.Millisecond, b); !left || f.Waited != 300*time.Millisecond {
		t.Errorf("leave: %+v, %v", f, left)
	}
	p.End(0, "t", 0, pool.Good)
	if _, ok := d.Next(time.Second, "s"); ok {
		t.Error("a turn for who has left")
	}
}

// A wait never takes more of the goal than leaves an answer time, and a late one
// nearly nothing of what the caller has left.
func TestPatience(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		g := time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(t, "goal"))
		u := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "used"))
		l := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "left"))
		w, late := sched.MaxWait(g, u, l)
		if due := time.Duration(0.85 * float64(g)); late != (u >= due) {
			t.Errorf("late is %v", late)
		}
		if w < 0 || (late && w > l/100) || (!late && w > g) {
			t.Errorf("wait %v, late %v", w, late)
		}
	})
}
