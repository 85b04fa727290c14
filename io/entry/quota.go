package entry

import (
	"time"

	"golang.org/x/time/rate"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
)

// quotas enforces the rate limits of all workspaces at one entry, with token buckets. Each
// of n live entries grants 1/n of a contract's rate. No counts are shared, yet the entries
// together don't grant more than the rate for long: only in bursts, and while they differ
// about n. A workspace whose requests reach only some of the entries gets less than its
// rate.
//
// A quotas is not safe for concurrent use.
type quotas struct {
	// entries is the number of live entries, at least 1.
	entries int
	// config is the current configuration, or nil.
	config *conf.Config
	// workspaces has the quota of each workspace by its name.
	workspaces map[string]*quota
}

// quota holds the token buckets of one workspace: requests per second and model tokens per
// second. A nil bucket does not limit.
type quota struct {
	requests, tokens *rate.Limiter
}

// newQuotas returns quotas without limits, for one entry.
func newQuotas() *quotas {
	return &quotas{entries: 1, workspaces: make(map[string]*quota)}
}

// configure applies the rates of a new configuration.
func (q *quotas) configure(c *conf.Config) {
	q.config = c
	q.refresh()
}

// setEntries sets the number of live entries that share the rates.
func (q *quotas) setEntries(entries int) {
	q.entries = max(entries, 1)
	q.refresh()
}

// refresh rebuilds the buckets for the current configuration and number of entries. Buckets
// of workspaces that remain keep their level.
func (q *quotas) refresh() {
	if q.config == nil {
		return
	}
	old := q.workspaces
	q.workspaces = make(map[string]*quota)
	for _, k := range q.config.Contracts() {
		o := old[k.Workspace()]
		if o == nil {
			o = &quota{}
		}
		l := k.Limits()
		q.workspaces[k.Workspace()] = &quota{
			requests: q.limiter(o.requests, l.RequestsPerSecond),
			tokens:   q.limiter(o.tokens, l.TokensPerSecond),
		}
	}
}

// limiter returns a bucket with this entry's part of the given rate and a burst of one
// second's worth, at least 1. It reuses the old bucket, if there is one, with its level.
// It returns nil if the rate is 0, which means no limit.
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

// take charges a request of a tier rank and a number of model tokens to the workspace. If
// the rate is exceeded, it charges nothing and returns the retry delay and false. Lower
// tiers are refused first: each rank leaves a part of the bucket to the ranks above it.
func (q *quotas) take(workspace string, r call.Rank, tokens int, now time.Time) (time.Duration, bool) {
	s, ok := q.workspaces[workspace]
	if !ok {
		return 0, true
	}
	if !hasRoom(s.requests, r, 1, now) || !hasRoom(s.tokens, r, tokens, now) {
		return time.Second, false
	}
	consume(s.requests, 1, now)
	consume(s.tokens, tokens, now)
	return 0, true
}

// reservePerRank is the fraction of a bucket that each tier rank leaves to the rank above.
const reservePerRank = 0.1

// hasRoom reports whether a bucket has n tokens beyond what rank r must leave.
func hasRoom(l *rate.Limiter, r call.Rank, n int, now time.Time) bool {
	if l == nil {
		return true
	}
	reserved := reservePerRank * float64(r-1) * float64(l.Burst())
	// A request larger than the bucket is granted when all of the bucket that rank r
	// may use is available.
	need := min(float64(n), float64(l.Burst())-reserved)
	return l.TokensAt(now)-reserved >= need
}

// consume takes n tokens from a bucket, but no more than its burst.
func consume(l *rate.Limiter, n int, now time.Time) {
	if l == nil {
		return
	}
	l.ReserveN(now, min(n, l.Burst()))
}
