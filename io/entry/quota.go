package entry

import (
	"time"

	"golang.org/x/time/rate"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
)

// quotas hold the rates of all workspaces at one entry. Each of n entries grants
// an n-th of a contract's rate, so together they never grant more than all of it
// for long, without a shared count; a workspace whose calls reach only some
// entries gets less.
type quotas struct {
	entries int
	config  *conf.Config
	spaces  map[string]*quota
}

// quota is one workspace's buckets; a nil bucket is not limited.
type quota struct {
	requests, tokens *rate.Limiter
}

func newQuotas() *quotas {
	return &quotas{entries: 1, spaces: make(map[string]*quota)}
}

// configure puts a configuration's rates in force.
func (q *quotas) configure(c *conf.Config) {
	q.config = c
	q.refresh()
}

// share sets the number of entries that share the rates.
func (q *quotas) share(entries int) {
	q.entries = max(entries, 1)
	q.refresh()
}

func (q *quotas) refresh() {
	if q.config == nil {
		return
	}
	old := q.spaces
	q.spaces = make(map[string]*quota)
	for _, k := range q.config.Contracts() {
		o := old[k.Workspace()]
		if o == nil {
			o = &quota{}
		}
		l := k.Limits()
		q.spaces[k.Workspace()] = &quota{
			requests: q.limiter(o.requests, l.RequestsPerSecond),
			tokens:   q.limiter(o.tokens, l.TokensPerSecond),
		}
	}
}

// limiter returns a bucket of one second's worth of an entry's part of the rate,
// keeping what is in the old one.
func (q *quotas) limiter(old *rate.Limiter, perSecond uint32) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	r := float64(perSecond) / float64(q.entries)
	b := max(int(r), 1)
	if old == nil {
		return rate.NewLimiter(rate.Limit(r), b)
	}
	old.SetLimit(rate.Limit(r))
	old.SetBurst(b)
	return old
}

// take counts a request and reports when to come back if it is over the rate.
// A lower tier is refused while there is still something left for higher ones.
func (q *quotas) take(workspace string, r call.Rank, tokens int, now time.Time) (time.Duration, bool) {
	s, ok := q.spaces[workspace]
	if !ok {
		return 0, true
	}
	if !room(s.requests, r, 1, now) || !room(s.tokens, r, tokens, now) {
		return time.Second, false
	}
	spend(s.requests, 1, now)
	spend(s.tokens, tokens, now)
	return 0, true
}

// reserve is the part of a bucket that each tier leaves to the tier above.
const reserve = 0.1

func room(l *rate.Limiter, r call.Rank, n int, now time.Time) bool {
	if l == nil {
		return true
	}
	kept := reserve * float64(r-1) * float64(l.Burst())
	// A request larger than the bucket passes when the bucket is full enough.
	need := min(float64(n), float64(l.Burst())-kept)
	return l.TokensAt(now)-kept >= need
}

func spend(l *rate.Limiter, n int, now time.Time) {
	if l == nil {
		return
	}
	l.ReserveN(now, min(n, l.Burst()))
}
