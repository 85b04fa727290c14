package queue

import (
	"math"
	"slices"
	"time"
)

// Weights of the classes of a tier.
const (
	// SecondWeight is the weight of the second class; the first has the weight 1.
	SecondWeight = 0.3
	// WeightRatio is the weight of each further class relative to the one before. It is
	// below 1 only to cover the error of shares that are measured over a few seconds, so
	// that no class is served a larger share than a more urgent one.
	WeightRatio = 0.85
	// lateWeight is the factor for a class whose first request is late: a late response is
	// worth a fraction of one on time.
	lateWeight = 0.3
	// minClassShare is the least served share of a class, relative to that of all requests
	// of its tier. It is a little more than 1/4, because a class counts as starved if it is
	// served less than a quarter as often as all requests.
	minClassShare = 0.28
)

// rank is the position of a class among those that have queued requests.
type rank struct {
	tierRank int
	// starved is true if the class is served less than minClassShare allows.
	starved bool
	// share is the served share divided by the weight.
	share     float64
	routeRank int
}

// compare returns a negative number if r comes before o, and a positive one if after.
func (r rank) compare(o rank) int {
	switch {
	case r.tierRank != o.tierRank:
		return r.tierRank - o.tierRank
	case r.starved != o.starved:
		if r.starved {
			return -1
		}
		return 1
	case r.share < o.share:
		return -1
	case r.share > o.share:
		return 1
	default:
		return r.routeRank - o.routeRank
	}
}

// priority returns the priority of a request of the class among those of other fronts.
func (r rank) priority(k SortKey) Priority {
	p := k.priority()
	if r.starved {
		p.RouteRank, p.OverShare = 0, false
	}
	return p
}

// rank returns the position of a class whose first request is late or not.
func (q *Queue[T]) rank(now time.Duration, c *class[T], late bool) rank {
	r := rank{tierRank: c.key.tierRank, routeRank: c.key.routeRank, share: c.recent(now).share() / q.weight(c)}
	r.starved = r.routeRank > 0 && c.past(now).share() < minClassShare*q.tierShare(now, r.tierRank)
	if late {
		r.share /= lateWeight
	}
	return r
}

// tierShare returns the served share of all requests of a tier.
func (q *Queue[T]) tierShare(now time.Duration, tierRank int) float64 {
	var s served
	for _, c := range q.ordered {
		if c.key.tierRank == tierRank {
			s = s.plus(c.past(now))
		}
	}
	return s.share()
}

// weight returns the weight of a class. A class whose requests occupy their slots for
// longer than those of a more urgent class has a proportionally smaller one.
func (q *Queue[T]) weight(c *class[T]) float64 {
	if c.key.routeRank == 0 {
		return 1
	}
	w := SecondWeight * math.Pow(WeightRatio, float64(c.key.routeRank-1))
	least := c.hold
	for _, o := range q.ordered {
		if o.key.tierRank == c.key.tierRank && o.key.routeRank < c.key.routeRank && o.hold > 0 {
			least = min(least, o.hold)
		}
	}
	if c.hold > 0 {
		w *= float64(least) / float64(c.hold)
	}
	return w
}

// Head is the first request of a lane of the queue.
type Head[T any] struct {
	Key   SortKey
	Value T
	// Priority orders the request among those of other fronts. A starved class has that of
	// the most urgent class.
	Priority Priority
	handle   *Handle[T]
}

// Heads returns the requests that may be dispatched next, in the order of preference: the
// first one of each lane, of workspaces within their share and over it. A later one is meant for slots that those before it can't use.
// The result is valid until the queue changes.
func (q *Queue[T]) Heads(now time.Duration) []Head[T] {
	type entry struct {
		rank  rank
		heads []*Handle[T]
	}
	es := make([]entry, 0, len(q.classes))
	for _, c := range q.ordered {
		if l := c.heads(now); len(l) > 0 {
			es = append(es, entry{q.rank(now, c, l[0].key.Late), l})
		}
	}
	slices.SortFunc(es, func(a, b entry) int { return a.rank.compare(b.rank) })
	hs := make([]Head[T], 0, 2*len(es))
	for _, e := range es {
		for _, h := range e.heads {
			hs = append(hs, Head[T]{Key: h.key, Value: h.value, Priority: e.rank.priority(h.key), handle: h})
		}
	}
	return hs
}

// Take removes the request of one of the Heads.
func (q *Queue[T]) Take(now time.Duration, h Head[T]) {
	h.handle.lane.pop(now, h.handle)
}

// Pop removes and returns the first of the Heads. It reports false if the queue is empty.
func (q *Queue[T]) Pop(now time.Duration) (v T, ok bool) {
	hs := q.Heads(now)
	if len(hs) == 0 {
		return v, false
	}
	q.Take(now, hs[0])
	return hs[0].Value, true
}
