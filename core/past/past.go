// Package past infers how long a caller has been trying already from how much
// longer it will wait.
//
// # Usage
//
//	p := past.New()
//	spent := p.Spent(now, "route", 11200*time.Millisecond)
//
// Callers of one route give up after the same time, which they count from their
// first attempt. The longest wait that was lately seen is that time, so the
// difference to it has passed before this attempt.
package past

import "time"

// memory is how long the longest wait is remembered at least. Every few requests
// are first attempts, and a route's callers may change their limit.
const memory = 10 * time.Second

type longest struct {
	now, before time.Duration
	since       time.Duration
}

// Past knows the routes' longest waits. It is not safe for concurrent use.
type Past struct {
	routes map[string]*longest
}

// New returns a Past that has seen no request.
func New() *Past { return &Past{routes: map[string]*longest{}} }

// Spent returns how long the caller has been trying before this attempt, if it
// will now wait for the given time. A wait of 0 tells nothing.
func (p *Past) Spent(now time.Duration, route string, wait time.Duration) time.Duration {
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
	return max(l.now, l.before) - wait
}
