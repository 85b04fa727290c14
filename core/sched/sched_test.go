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

// newScheduler returns a scheduler with one engine, "t", for the service "s".
func newScheduler(slots int) (*sched.Scheduler[int], *pool.Pool) {
	r := rand.New(rand.NewPCG(1, 2))
	p := pool.New("", r)
	p.SetTargets([]pool.Target{{ID: "t", Service: "s", Slots: slots, Engine: true}})
	return sched.New[int](p, r), p
}

func request(rank int, wait, left time.Duration) sched.Request {
	return sched.Request{Criteria: pool.Criteria{Service: "s"}, TierRank: rank, MaxWait: wait, TimeLeft: left}
}

// Guards against a burst on full targets filling the queue with requests that can't be
// served in time. They are refused at once, with a retry delay that the time left allows.
func TestBurstOnFullTargetIsShed(t *testing.T) {
	s, _ := newScheduler(1)
	s.Enqueue(0, request(0, time.Second, 10*time.Second), 0)
	if _, ok := s.Next(0, "s"); !ok {
		t.Fatal("no slot granted at an idle target")
	}
	s.AddHold("s", 2*time.Second) // a slot becomes free every 2 s
	queued := 0
	for i := range 20 {
		w := s.Enqueue(0, request(0, 400*time.Millisecond, 9*time.Second), i)
		f, refused := s.Shed(0, w)
		if !refused {
			queued++
			continue
		}
		if f.RetryAfter < 300*time.Millisecond || f.RetryAfter > 3*time.Second || f.ExpectedWait <= 400*time.Millisecond {
			t.Errorf("refusal %+v, want RetryAfter from 300ms to 3s and ExpectedWait over 400ms", f)
		}
	}
	if queued != 1 {
		t.Errorf("%d requests stay queued, want 1", queued)
	}
}

// While all targets pause for longer than a request may wait, it is refused at once, with the
// end of the pause, also if it is the first of its class. For a shorter pause it waits.
func TestPauseOfAllTargetsIsRefused(t *testing.T) {
	for _, c := range []struct {
		pause   time.Duration
		refused bool
	}{{10 * time.Minute, true}, {2 * time.Second, true}, {200 * time.Millisecond, false}} {
		s, p := newScheduler(4)
		p.ObservePause(0, pool.Choice{ID: "t"}, c.pause)
		w := s.Enqueue(0, request(0, 400*time.Millisecond, 9*time.Second), 0)
		f, refused := s.Shed(0, w)
		if refused != c.refused || refused && f.RetryAfter < c.pause {
			t.Errorf("pause of %v: got refused %v, %+v", c.pause, refused, f)
		}
		if refused && c.pause > 3*time.Second && f.RetryAfter != c.pause {
			t.Errorf("got RetryAfter %v, want the end of the pause in %v", f.RetryAfter, c.pause)
		}
	}
}

// A free slot is held back for a request of a higher tier that waits at a peer.
func TestHigherTierAtPeerGoesFirst(t *testing.T) {
	s, p := newScheduler(3)
	p.Begin(0, "t", 0) // 2 slots remain
	h := pool.Hash("s")
	s.SetPeer("peer", sched.Report{Waiting: map[sched.WaitKey]int{{Service: h}: 2}})
	s.Enqueue(0, request(1, time.Second, 10*time.Second), 1)
	if _, ok := s.Next(0, "s"); ok {
		t.Error("a lower tier was granted a slot that a peer's request needs")
	}
	s.Enqueue(0, request(0, time.Second, 10*time.Second), 0)
	if g, ok := s.Next(0, "s"); !ok || g.Waiter.Value != 0 {
		t.Error("a request of the same tier was held back for the peer's")
	}
	s.RemovePeer("peer")
	if _, ok := s.Next(0, "s"); !ok {
		t.Error("no slot granted after the peer was removed")
	}
}

// Guards against late requests, which come from callers that retry, taking the slots of
// requests at peers that can still meet their goal. A late response is worth little.
func TestLateRequestYieldsToPeersOnTimeRequest(t *testing.T) {
	s, p := newScheduler(3)
	p.Begin(0, "t", 0) // 2 slots remain
	h := pool.Hash("s")
	s.SetPeer("peer", sched.Report{Waiting: map[sched.WaitKey]int{{Service: h}: 1, {Service: h, Priority: queue.Priority{Late: true}}: 9}})
	for i := range 2 {
		r := request(0, time.Second, 10*time.Second)
		r.Late = true
		s.Enqueue(0, r, i)
	}
	if _, ok := s.Next(0, "s"); !ok {
		t.Error("no slot granted though one remains after the peer's request")
	}
	if _, ok := s.Next(0, "s"); ok {
		t.Error("a late request was granted the slot that a peer's on-time request needs")
	}
	s.Enqueue(0, request(0, time.Second, 10*time.Second), 7)
	if g, ok := s.Next(0, "s"); !ok || g.Waiter.Value != 7 {
		t.Error("an on-time request was held back for a peer's on-time request")
	}
}

// Guards against starvation of the most urgent class in a long overload: a front whose
// own slots are all busy would keep it queued while other fronts' slots go to less
// urgent classes. After about one heartbeat interval such a request is sent to a full
// target, one request per target.
func TestUrgentRequestIsSentToFullTarget(t *testing.T) {
	s, p := newScheduler(1)
	p.SetPeer("peer", []pool.Use{{Target: pool.Hash("t"), Running: 1}})
	less := request(0, time.Second, 10*time.Second)
	less.RouteRank = 1
	s.Enqueue(0, less, 1)
	if _, ok := s.Next(400*time.Millisecond, "s"); ok {
		t.Error("a less urgent request was sent to a full target")
	}
	for i := range 2 {
		s.Enqueue(400*time.Millisecond, request(0, time.Second, 10*time.Second), 10+i)
	}
	if _, ok := s.Next(440*time.Millisecond, "s"); ok {
		t.Error("an urgent request was sent to a full target after 40ms")
	}
	if g, ok := s.Next(500*time.Millisecond, "s"); !ok || g.Waiter.Value != 10 {
		t.Error("an urgent request was not sent to a full target after 100ms")
	}
	if _, ok := s.Next(500*time.Millisecond, "s"); ok {
		t.Error("two requests were sent to a full target")
	}
}

// A dispatched request can't be removed, and a removed one is never dispatched.
func TestRemove(t *testing.T) {
	s, p := newScheduler(1)
	a := s.Enqueue(0, request(0, time.Second, 10*time.Second), 1)
	if _, ok := s.Next(0, "s"); !ok {
		t.Fatal("no slot granted at an idle target")
	}
	if _, removed := s.Remove(0, a); removed {
		t.Error("a dispatched request was removed")
	}
	b := s.Enqueue(0, request(0, time.Second, 10*time.Second), 2)
	if f, removed := s.Remove(300*time.Millisecond, b); !removed || f.Waited != 300*time.Millisecond {
		t.Errorf("Remove: got %+v, %v, want Waited 300ms, true", f, removed)
	}
	p.End(0, "t", 0, pool.Good)
	if _, ok := s.Next(time.Second, "s"); ok {
		t.Error("a removed request was dispatched")
	}
}

// The maximum wait leaves part of the goal for the response, and a late request leaves
// part of the time until its caller gives up.
func TestMaxWait(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		g := time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(t, "goal"))
		u := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "used"))
		l := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "left"))
		w, late := sched.MaxWait(g, u, l)
		if due := time.Duration(0.85 * float64(g)); late != (u >= due) {
			t.Errorf("late is %v", late)
		}
		if w < 0 || (late && w > l*7/10) || (!late && w > g) {
			t.Errorf("maximum wait %v is out of range; late is %v", w, late)
		}
	})
}

// Guards against a long answer that waits for a fast engine delaying the short requests
// behind it, which the free slots of the slow engine suit. A lower tier doesn't go past it.
func TestShortRequestPassesLongAnswer(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := pool.New("", r)
	p.SetTargets([]pool.Target{{ID: "fast", Service: "s", Slots: 1, Engine: true}, {ID: "slow", Service: "s", Slots: 2, Engine: true}})
	p.SetOwnSlots(map[string]int{"fast": 1, "slow": 2})
	for range 100 {
		p.ObserveEventGap("fast", 10*time.Millisecond)
		p.ObserveEventGap("slow", 40*time.Millisecond)
	}
	p.Begin(0, "fast", 0)
	s := sched.New[int](p, r)
	long := request(1, time.Second, 15*time.Second)
	long.Criteria.Events, long.Criteria.TimeLeft = 500, 15*time.Second
	s.Enqueue(0, long, 1)
	s.Enqueue(0, request(2, time.Second, 15*time.Second), 2)
	if g, ok := s.Next(0, "s"); ok {
		t.Errorf("request %d was sent to %s past a long answer of a higher tier", g.Waiter.Value, g.Choice.ID)
	}
	less := request(1, time.Second, 15*time.Second)
	less.RouteRank = 1
	s.Enqueue(0, less, 3)
	if g, ok := s.Next(0, "s"); !ok || g.Waiter.Value != 3 || g.Choice.ID != "slow" {
		t.Errorf("a short request of the same tier was not sent to the slow engine: %+v, %v", g.Choice, ok)
	}
}

// Guards against less urgent requests taking the last free slots at one front while urgent
// ones wait at its peers.
func TestUrgentRequestAtPeerGoesFirst(t *testing.T) {
	s, p := newScheduler(3)
	p.Begin(0, "t", 0) // 2 slots remain
	s.SetPeer("peer", sched.Report{Waiting: map[sched.WaitKey]int{{Service: pool.Hash("s")}: 2}})
	less := request(0, time.Second, 10*time.Second)
	less.RouteRank = 2
	s.Enqueue(0, less, 1)
	if _, ok := s.Next(0, "s"); ok {
		t.Error("a less urgent request was granted a slot that a peer's request needs")
	}
	s.Enqueue(0, request(0, time.Second, 10*time.Second), 0)
	if g, ok := s.Next(0, "s"); !ok || g.Waiter.Value != 0 {
		t.Error("a request of the same class was held back for the peer's")
	}
}
