package sched_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
)

// newRegional returns a scheduler of a front in data centre "dc-0" and its pool, with one engine
// of 8 slots in each of two data centres, and reports from peers in both.
func newRegional() (*sched.Scheduler[int], *pool.Pool) {
	r := rand.New(rand.NewPCG(1, 2))
	p := pool.New("dc-0", r)
	p.SetTargets([]pool.Target{
		{ID: "near", DataCentre: "dc-0", Service: "chat", Slots: 8, Engine: true},
		{ID: "far", DataCentre: "dc-1", Service: "chat", Slots: 8, Engine: true},
	})
	s := sched.New[int](p, r)
	s.SetFronts(40, 40)
	s.SetRegional(true)
	for i := range 39 {
		d := pool.Hash(fmt.Sprintf("dc-%d", i%2))
		s.SetPeer(fmt.Sprint(i), sched.Report{DataCentre: d, Demand: map[uint32]float64{pool.Hash("chat"): 1}})
	}
	return s, p
}

// The slots of an engine belong to the fronts of its data centre only.
func TestSlotsBelongToNearFronts(t *testing.T) {
	const n = 40
	owned := map[string]int{}
	for i := range n {
		r := rand.New(rand.NewPCG(1, 2))
		p := pool.New(fmt.Sprintf("dc-%d", i%2), r)
		p.SetTargets([]pool.Target{
			{ID: "dc-0", DataCentre: "dc-0", Service: "chat", Slots: 8, Engine: true},
			{ID: "dc-1", DataCentre: "dc-1", Service: "chat", Slots: 8, Engine: true},
		})
		s := sched.New[int](p, r)
		s.SetFronts(n, n)
		s.SetRegional(true)
		s.Enqueue(0, sched.Request{Criteria: pool.Criteria{Service: "chat"}}, 1)
		for j := range n {
			if j != i {
				d := pool.Hash(fmt.Sprintf("dc-%d", j%2))
				s.SetPeer(fmt.Sprint(j), sched.Report{DataCentre: d, Demand: map[uint32]float64{pool.Hash("chat"): s.Demand(0, "chat")}})
			}
		}
		s.AssignSlots(0, fmt.Sprint(i))
		owned[fmt.Sprintf("dc-%d", i%2)] += p.Load(0, "chat").OwnSlots
	}
	if owned["dc-0"] != 8 || owned["dc-1"] != 8 {
		t.Errorf("fronts own %v slots by data centre, want the 8 of the engine there", owned)
	}
}

// A front sends to a far engine only with credits, and never to a full one, whose load it knows
// less well; of two equal engines the near one goes first.
func TestFarEnginesAreUsedWithCreditsOnly(t *testing.T) {
	s, p := newRegional()
	s.Enqueue(0, sched.Request{Criteria: pool.Criteria{Service: "chat"}}, 0)
	s.AssignSlots(0, "self")
	p.RefillCredits(0, 1)    // all free slots of the near engine
	p.RefillFarCredits(0, 4) // a quarter of those of the far one
	used := map[string]int{}
	for i := 1; ; i++ {
		g, ok := s.Next(0, "chat")
		if !ok {
			break
		}
		used[g.Choice.ID]++
		if i == 1 && g.Choice.ID != "near" {
			t.Error("the first request goes to the far engine, though the near one is free as well")
		}
		s.Enqueue(0, sched.Request{Criteria: pool.Criteria{Service: "chat"}}, i)
	}
	if used["near"] != 8 || used["far"] < 1 || used["far"] > 3 {
		t.Errorf("got %v requests, want 8 near and about 2 far", used)
	}
	// After a while the first request of the queue may go to the full near engine, as the next
	// one there, but not to the far one.
	if g, ok := s.Next(time.Second, "chat"); !ok || g.Choice.ID != "near" {
		t.Errorf("got %+v, %v, want the near engine", g.Choice, ok)
	}
	if _, err := p.Choose(time.Second, pool.Criteria{Service: "chat", Exclude: []string{"near"}, Oversubscribe: true}); !errors.Is(err, pool.ErrFull) {
		t.Errorf("got %v for the far engine, want ErrFull", err)
	}
}

// A front whose data centre has no engine owns slots of the engines elsewhere.
func TestFrontsWithoutNearEnginesOwnSlots(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := pool.New("dc-2", r)
	p.SetTargets([]pool.Target{
		{ID: "dc-0", DataCentre: "dc-0", Service: "chat", Slots: 80, Engine: true},
		{ID: "dc-1", DataCentre: "dc-1", Service: "chat", Slots: 80, Engine: true},
	})
	s := sched.New[int](p, r)
	s.SetFronts(39, 39)
	s.SetRegional(true)
	s.Enqueue(0, sched.Request{Criteria: pool.Criteria{Service: "chat"}}, 1)
	for i := range 38 {
		d := pool.Hash(fmt.Sprintf("dc-%d", i%3))
		s.SetPeer(fmt.Sprint(i), sched.Report{DataCentre: d, Demand: map[uint32]float64{pool.Hash("chat"): s.Demand(0, "chat")}})
	}
	s.AssignSlots(0, "self")
	// An even part of 160 slots among 39 fronts is 4; each engine's slots are shared by 26 fronts.
	if n := p.Load(0, "chat").OwnSlots; n < 3 || n > 12 {
		t.Errorf("owns %d of 160 slots, want about 6", n)
	}
}
