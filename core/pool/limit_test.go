package pool_test

import (
	"errors"
	"testing"
	"time"

	"kingcupstand/core/limit"
	"kingcupstand/core/pool"
)

// perSecond returns a limit.
func perSecond(n float64) limit.Rate { return limit.Rate{Named: true, PerSecond: n} }

// limited returns a pool with the target t, which names a limit of 2 requests a second that
// this front owns alone.
func limited(t pool.Target) *pool.Pool {
	p := newPool(1, t)
	p.ObserveLimit(0, 0, t.ID, perSecond(2))
	p.SetLimitUnits(0, map[string]int{t.ID: 2}, 1, 1)
	return p
}

// Guards against a path to a target that its limit doesn't hold on.
func TestEveryChoiceKeepsLimit(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*pool.Pool)
		edit    func(*pool.Criteria)
	}{
		"free slots":    {func(*pool.Pool) {}, func(*pool.Criteria) {}},
		"oversubscribe": {func(*pool.Pool) {}, func(c *pool.Criteria) { c.Oversubscribe, c.AllowGaps = true, true }},
		"suspended":     {func(p *pool.Pool) { p.MarkStalled(0, "a") }, func(*pool.Criteria) {}},
	} {
		p := limited(engine("a"))
		c.prepare(p)
		q, n := prompt(100), 0
		c.edit(&q)
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			if _, err := p.Choose(now, q); err == nil {
				n++
				p.Begin(now, "a", 100)
				p.End(now, "a", 100, pool.Unreachable)
			} else if !errors.Is(err, pool.ErrFull) && !errors.Is(err, pool.ErrNoTarget) {
				t.Fatal(err)
			}
		}
		if n == 0 || n > 20 {
			t.Errorf("%s: got %d requests in 10 s at a limit of 2 a second, want 1 to 20", name, n)
		}
	}
}

// What a target with a limit can't take now doesn't count as free, so that no request of a
// lower priority is let past others for it.
func TestLimitedTargetHasFewFreeSlots(t *testing.T) {
	p := limited(engine("a"))
	if n := p.FreeSlots(0, "llm"); n != 0 {
		t.Errorf("without a token: got %d free slots, want 0", n)
	}
	if n := p.FreeSlots(time.Second, "llm"); n != 1 {
		t.Errorf("with a token: got %d free slots, want 1", n)
	}
}

// Another process with the same id has not named the limit of the one before.
func TestLimitEndsWithProcess(t *testing.T) {
	a := engine("a")
	p := limited(a)
	old := p.LimitReports(time.Second)
	a.Born = 2
	p.SetTargets([]pool.Target{a})
	if r := p.Limit("a"); r.Named {
		t.Errorf("after a restart: got limit %+v, want none", r)
	}
	if cs := p.MergeLimits(2*time.Second, old); len(cs) > 0 {
		t.Errorf("report about the process before: got changes %v, want none", cs)
	}
	for i := range old {
		old[i].Born = 2
	}
	if cs := p.MergeLimits(2*time.Second, old); len(cs) != 1 || p.Limit("a") != perSecond(2) {
		t.Errorf("report about this process: got changes %v, limit %+v", cs, p.Limit("a"))
	}
}

// Behind a partition a front uses only the part of a limit that belongs to its side.
func TestPartitionDividesLimit(t *testing.T) {
	p := limited(engine("a"))
	p.SetLimitUnits(0, map[string]int{"a": 2}, 2, 5)
	if ls := p.Limited("llm"); len(ls) != 1 || ls[0].Share != 0.4 {
		t.Errorf("got %+v, want a share of 0.4", ls)
	}
}

// Guards against a target that loses its limit at all fronts when its entry expires in an
// outage of the platform and comes back.
func TestLimitStaysWhileTargetIsNotListed(t *testing.T) {
	a := engine("a")
	p := limited(a)
	p.SetTargets(nil)
	p.SetTargets([]pool.Target{a})
	if r := p.Limit("a"); r != perSecond(2) {
		t.Errorf("listed again: got limit %+v, want 2 a second", r)
	}
	p.SetTargets(nil)
	a.Born = 2
	p.SetTargets([]pool.Target{a})
	if r := p.Limit("a"); r.Named {
		t.Errorf("another process: got limit %+v, want none", r)
	}
}
