// Package spent estimates how long a caller has spent on earlier attempts at a request,
// given how much longer it is willing to wait.
//
// The callers of one route give up after about the same time, counted from their first
// attempt. The longest wait seen lately on the route is taken for that time limit. First
// attempts differ somewhat in their wait, so a wait that is close to the longest one
// counts as a first attempt; a shorter one is a later attempt, and the difference is the
// time spent already.
//
// # Usage
//
//	e := spent.New()
//	d := e.Estimate(now, "route", 11200*time.Millisecond, false)
//	m, ok := e.Limit("route")
package spent

import "time"

// window is the shortest time for which the longest wait is kept. First attempts are
// frequent enough to be seen in each window, and the callers of a route may change
// their time limit.
const window = 10 * time.Second

// firstAttempt is the smallest fraction of the longest wait that a first attempt has.
const firstAttempt = 0.84

// minSamples is the number of requests after which the time limit of a route's callers is known:
// after a fault that many callers notice, nearly all requests are later attempts for a while.
const minSamples = 16

// longest is the longest wait of a route in the current and the previous window.
type longest struct {
	current, previous time.Duration
	// samples is the number of requests that may be first attempts, up to minSamples.
	samples int
	// started is when the current window began.
	started time.Duration
}

// Estimator holds the longest waits of all routes. It is not safe for concurrent use.
type Estimator struct {
	routes map[string]*longest
}

// New returns an Estimator that has seen no request.
func New() *Estimator { return &Estimator{routes: map[string]*longest{}} }

// Estimate records a request whose caller will wait for the given time from now, and
// returns how long the caller has spent on earlier attempts: 0 for a first attempt, and
// if wait is not above 0, which means that it is unknown. Later is true if the request is known
// to be a later attempt.
func (e *Estimator) Estimate(now time.Duration, route string, wait time.Duration, later bool) time.Duration {
	if wait <= 0 {
		return 0
	}
	l := e.routes[route]
	if l == nil {
		l = &longest{started: now}
		e.routes[route] = l
	}
	if now-l.started > window {
		l.previous, l.current, l.started = l.current, 0, now
	}
	l.current = max(l.current, wait)
	if !later {
		l.samples = min(l.samples+1, minSamples)
	}
	m := max(l.current, l.previous)
	if float64(wait) >= firstAttempt*float64(m) {
		return 0
	}
	return m - wait
}

// Limit returns the longest time for which callers of a route wait from their first attempt on.
// It reports false if too few requests were seen.
func (e *Estimator) Limit(route string) (time.Duration, bool) {
	l := e.routes[route]
	if l == nil || l.samples < minSamples {
		return 0, false
	}
	return time.Duration(float64(max(l.current, l.previous)) / firstAttempt), true
}
