package pool_test

import (
	"errors"
	"testing"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/core/warm"
)

var warmTerms = map[string]warm.Terms{"llm": warm.New(3*time.Second, 14).WithBound(1.5, 5)}

// newWarmPool returns a pool with two engines that need a warm-up.
func newWarmPool(seed uint64) *pool.Pool {
	p := newPool(seed)
	p.SetWarmTerms(warmTerms)
	p.SetTargets([]pool.Target{engine("a"), engine("b")})
	p.SetOwnSlots(map[string]int{"a": 12, "b": 12})
	return p
}

// Guards against a target that stays paced, and is never tried again, because fronts that could not
// reach it once keep reporting so to each other.
func TestLostTargetIsTriedAgain(t *testing.T) {
	ps := []*pool.Pool{newWarmPool(1), newWarmPool(2)}
	for _, p := range ps {
		p.Begin(0, "a", 100)
		p.End(0, "a", 100, pool.Unreachable)
	}
	onlyA := prompt(100)
	onlyA.Exclude = []string{"b"}
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for i, p := range ps {
			p.MergeWarming(now, ps[1-i].WarmingReports(now))
		}
		if _, err := ps[0].Choose(now, onlyA); err == nil {
			return
		}
	}
	t.Error("the target is not tried within 10 s")
}

// Guards against targets that are paced after each silence or cut, though they prove that they have
// run all the while: in a fleet with many of these, all targets were paced all the time.
func TestLostTargetThatStillRunsIsNotPaced(t *testing.T) {
	const now = time.Minute
	a := pool.Choice{ID: "a", Address: "a"}
	for _, c := range []struct {
		name   string
		lose   func(*pool.Pool)
		proved pool.Choice
		want   bool
	}{
		{"silent", func(p *pool.Pool) { p.MarkStalled(now-time.Second, "a") }, a, false},
		{"cut off", func(p *pool.Pool) { p.Begin(0, "a", 1); p.End(now-time.Second, "a", 1, pool.Unreachable) }, a, false},
		{"silent, no proof", func(p *pool.Pool) { p.MarkStalled(now-time.Second, "a") }, pool.Choice{}, true},
		{"cut off, no proof", func(p *pool.Pool) { p.Begin(0, "a", 1); p.End(now-time.Second, "a", 1, pool.Unreachable) }, pool.Choice{}, true},
		{"proof of an earlier process", func(p *pool.Pool) { p.MarkStalled(now-time.Second, "a") }, pool.Choice{ID: "a", Address: "a", Born: 1}, true},
	} {
		p := newWarmPool(1)
		c.lose(p)
		p.Begin(now, "a", 100)
		p.ObserveProcess(c.proved)
		p.ObserveFirstByte(now, "a", 100, 100, time.Millisecond)
		if got := len(p.Warming(now)) > 0; got != c.want {
			t.Errorf("%s: paced %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against answers that prove nothing and yet end the bound of a target, which may have turned cold
// unnoticed: of an earlier process, to an earlier request, or before a warm-up.
func TestOnlyWarmTargetsGetMoreThanTheBound(t *testing.T) {
	const now = time.Minute
	a := pool.Choice{ID: "a", Address: "a"}
	onlyA := prompt(100)
	onlyA.Exclude = []string{"b"}
	for name, answer := range map[string]func(*pool.Pool){
		"warm":            func(p *pool.Pool) { p.ObserveWarm(now, now, a) },
		"earlier process": func(p *pool.Pool) { p.ObserveWarm(now, now, pool.Choice{ID: "a", Address: "a", Born: 1}) },
		"earlier request": func(p *pool.Pool) { p.ObserveWarm(now, now-time.Millisecond, a) },
		"warms up since":  func(p *pool.Pool) { p.ObserveWarm(now, now, a); p.ObserveWarming(now, a, time.Millisecond) },
	} {
		p := newWarmPool(1)
		for range 23 { // nine tenths of the bound of 26
			p.Begin(now, "a", 0)
			p.End(now, "a", 0, pool.Neutral)
		}
		answer(p)
		if _, err := p.Choose(now+10*time.Millisecond, onlyA); (err == nil) != (name == "warm") {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against warm-ups that a front learns late: from the list, a response, a peer, the return of a
// target that was lost, or the end of a drain. A front without units sends such a target nothing.
func TestSignsOfAWarmUp(t *testing.T) {
	const now = time.Minute
	choice := pool.Choice{ID: "a", Address: "a"}
	for name, sign := range map[string]func(*pool.Pool){
		"list": func(p *pool.Pool) {
			a := engine("a")
			a.Warming = 2 * time.Second
			p.SetTargets([]pool.Target{a, engine("b")})
			p.ApplyListedWarmUp(now)
		},
		"response": func(p *pool.Pool) { p.ObserveWarming(now, choice, time.Hour) },
		"peer": func(p *pool.Pool) {
			p.MergeWarming(now, []pool.WarmingReport{{Target: pool.Hash("a"), Left: time.Hour}})
		},
		"restart": func(p *pool.Pool) {
			p.MarkStalled(now-10*time.Second, "a")
			p.Begin(now, "a", 100)
			p.ObserveFirstByte(now, "a", 100, 100, time.Millisecond)
		},
		"drain": func(p *pool.Pool) {
			p.SetDrained(now-time.Second, []string{dataCentre})
			p.SetDrained(now, nil)
		},
	} {
		p := newWarmPool(1)
		sign(p)
		if ts := p.Warming(now); len(ts) == 0 || string(ts[0].Source) != name {
			t.Errorf("%s: warming %v", name, ts)
		}
		p.SetWarmUnits(now, nil)
		onlyA := prompt(100)
		onlyA.Exclude = []string{"b"}
		if _, err := p.Choose(now+time.Second, onlyA); !errors.Is(err, pool.ErrFull) {
			t.Errorf("%s: error %v, want ErrFull", name, err)
		}
		if _, err := p.Choose(now+time.Minute+time.Second, onlyA); err != nil {
			t.Errorf("%s: error %v a minute later, want none", name, err)
		}
	}
}

// Guards against refusals that name a drain although a target elsewhere has only turned the request
// away, and against requests that wait although all targets are drained.
func TestDrainedOnly(t *testing.T) {
	p, o := newPool(1), engine("b")
	o.DataCentre = "z2"
	p.SetTargets([]pool.Target{engine("a"), o})
	p.SetDrained(0, []string{dataCentre})
	c := prompt(100)
	c.Exclude = []string{"b"}
	if p.DrainedOnly(c) {
		t.Error("drained, but a target of another data centre serves")
	}
	p.SetDrained(0, []string{dataCentre, "z2"})
	if !p.DrainedOnly(c) {
		t.Error("not drained, but all data centres are")
	}
}
