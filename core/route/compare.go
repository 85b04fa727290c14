package route

import (
	"slices"
	"time"
)

const (
	// sampleSize is the number of targets that are sampled for one request.
	sampleSize = 4
	// otherCentre and otherRegion are the added times for targets in another data
	// centre of the same region, and in another region.
	otherCentre = 2 * time.Millisecond
	otherRegion = 100 * time.Millisecond
)

// comparison is the search for the target with the earliest predicted completion of
// one request.
type comparison struct {
	router   *Router
	now      time.Duration
	request  Request
	affinity affinity
	tried    []string
	best     *view
	least    time.Duration
}

// consider compares one more target. It ignores nil and targets that can't be used.
func (c *comparison) consider(v *view) {
	if v == nil || !v.target.serves(c.request) || !v.usable(c.now, c.request, c.tried) {
		return
	}
	if p := c.predict(v); c.best == nil || p < c.least {
		c.best, c.least = v, p
	}
}

// best compares a sample of the group's usable targets. If the sample has none, it
// searches the whole group, so that a request is shed only if all targets refused
// it.
func (r *Router) best(now time.Duration, q Request, g []*view, tried []string) (*view, error) {
	if len(g) == 0 {
		return nil, ErrNoTarget
	}
	c := comparison{router: r, now: now, request: q, affinity: r.affinity(now, q), tried: tried}
	c.consider(c.affinity.last)
	c.consider(c.affinity.preferred)
	for range sampleSize {
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

// live reports whether the target accepts requests at all.
func (v *view) live(now time.Duration) bool {
	return !v.target.Leaving && !v.load.Leaving && v.load.Incarnation != 0 && now >= v.suspectUntil
}

// usable reports whether a request may be offered to the target now.
func (v *view) usable(now time.Duration, q Request, tried []string) bool {
	if !v.live(now) || slices.Contains(tried, v.target.Name) {
		return false
	}
	return !v.refuses(now, q)
}

// predict returns the predicted time until a request that is offered now is
// complete: the wait for a slot, the service time and the network distance.
func (c *comparison) predict(v *view) time.Duration {
	s := v.load.Speed
	q := c.request
	wait := v.pending
	for _, t := range v.load.Tiers {
		if !t.Rank.Below(q.Rank) {
			wait += t.Work
		}
	}
	if b := v.load.Batch; b > 0 {
		wait /= time.Duration(b)
		// If all slots are occupied, one is predicted to become free after the time
		// to generate half the tokens of an average running request.
		if v.load.Running >= b {
			wait += s.Time(0, v.load.RunningTokens/v.load.Running/2)
		}
	}
	cached := c.affinity.cached(v)
	// Caching a new prefix evicts as many tokens of other prefixes, which will have
	// to be prefilled again.
	evicted := min(q.PrefixTokens, q.Prompt) - cached
	return wait + s.Time(q.Prompt-cached+evicted, q.Output) + c.router.distance(v.target)
}

// distance returns the added time for the distance between the entry and the
// target.
func (r *Router) distance(t Target) time.Duration {
	switch {
	case t.Region != r.region:
		return otherRegion
	case t.DataCentre != r.centre:
		return otherCentre
	default:
		return 0
	}
}
