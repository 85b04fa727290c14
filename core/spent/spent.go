// Package spent infers how long a caller has been trying already from how much
// longer it will wait.
//
// # Usage
//
//	p := past.New()
//	spent := p.Spent(now, "route", 11200*time.Millisecond)
//
// Callers of one route give up after about the same time, which they count from
// their first attempt: the longest wait that was lately seen. First attempts wait
// for somewhat different times, so only a wait that is well below the longest one
// tells a caller that was here before.
package spent

import "time"

// memory is how long the longest wait is remembered at least. Every few requests
// are first attempts, and a route's callers may change their limit.
const memory = 10 * time.Second

// first is the least part of the longest wait that first attempts have.
const first = 0.84

type longest struct {
	now, before time.Duration
	since       time.Duration
}

// Estimator knows the routes' longest waits. It is not safe for concurrent use.
type Estimator struct {
	routes map[string]*longest
}

// New returns a Past that has seen no request.
func New() *Estimator { return &Estimator{routes: map[string]*longest{}} }

// Estimate returns how long the caller has been trying before this attempt, if it
// will now wait for the given time. A wait of 0 tells nothing.
func (p *Estimator) Estimate(now time.Duration, route string, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	l := p.routes[route]
	if l == nil {
		l = &longest{since: now}
		p.routes[route] = l
	}
	if now-l.since > memory {
		l.before, l.now, l.since = l.now, 0, now
	}
	l.now = max(l.now, wait)
	m := max(l.now, l.before)
	if float64(wait) >= first*float64(m) {
		return 0
	}
	return m - wait
}
