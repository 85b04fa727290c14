package route

import (
	"slices"
	"time"
)

const (
	// sampled is the number of targets compared for one request.
	sampled = 4
	// farCentre and farRegion are added to the predicted time of distant targets.
	farCentre = 2 * time.Millisecond
	farRegion = 100 * time.Millisecond
)

// comparison is one request's search for the target with the earliest predicted
// completion.
type comparison struct {
	router *Router
	now    time.Duration
	want   Request
	warmth warmth
	tried  []string
	best   *view
	least  time.Duration
}

// consider compares one more target.
func (c *comparison) consider(v *view) {
	if v == nil || !v.target.serves(c.want) || !v.usable(c.now, c.want, c.tried) {
		return
	}
	if p := c.predict(v); c.best == nil || p < c.least {
		c.best, c.least = v, p
	}
}

// best compares a sample of the group's usable targets. If the sample has none,
// the whole group is searched, so that a request is shed only if all refused it.
func (r *Router) best(now time.Duration, w Request, g []*view, tried []string) (*view, error) {
	if len(g) == 0 {
		return nil, ErrNoTarget
	}
	c := comparison{router: r, now: now, want: w, warmth: r.warmth(now, w), tried: tried}
	c.consider(c.warmth.last)
	c.consider(c.warmth.home)
	for range sampled {
		c.consider(g[r.random.IntN(len(g))])
	}
	if c.best != nil {
		return c.best, nil
	}
	live := false
	for _, v := range g {
		live = live || v.live(now)
		c.consider(v)
	}
	switch {
	case c.best != nil:
		return c.best, nil
	case live || len(tried) > 0:
		return nil, ErrRefused
	default:
		return nil, ErrNoTarget
	}
}

// live reports whether the target takes work at all.
func (v *view) live(now time.Duration) bool {
	return !v.target.Leaving && !v.load.Leaving && v.load.Incarnation != 0 && now >= v.suspectUntil
}

// usable reports whether a request may be offered to the target now.
func (v *view) usable(now time.Duration, w Request, tried []string) bool {
	if !v.live(now) || slices.Contains(tried, v.target.Name) {
		return false
	}
	return !v.refuses(now, w)
}

// predict returns when a request that is offered now would be complete.
func (c *comparison) predict(v *view) time.Duration {
	s := v.load.Speed
	w := c.want
	wait := v.pending
	for _, t := range v.load.Tiers {
		if !t.Rank.Below(w.Rank) {
			wait += t.Work
		}
	}
	if b := v.load.Batch; b > 0 {
		wait /= time.Duration(b)
		if v.load.Running >= b {
			wait += s.Time(0, v.load.RunningTokens/v.load.Running/2)
		}
	}
	cached := c.warmth.cached(v)
	// A prefix that is stored anew pushes out as much of others, which will have
	// to be computed once more.
	evicted := min(w.PrefixTokens, w.Prompt) - cached
	return wait + s.Time(w.Prompt-cached+evicted, w.Output) + c.router.distance(v.target)
}

func (r *Router) distance(t Target) time.Duration {
	switch {
	case t.Region != r.region:
		return farRegion
	case t.DataCentre != r.centre:
		return farCentre
	default:
		return 0
	}
}
