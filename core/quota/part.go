package quota

import "time"

// Bounds of what a front uses of an allowance before it and the others know of each other.
const (
	// settleTime is how long fronts that have started together take to find each other.
	settleTime = 600 * time.Millisecond
	// Until then a front uses up to settlingParts times its even part of a second's allowance,
	// among the fronts that it knows or minSettling if those are fewer.
	settlingParts = 2
	minSettling   = 10
	// unreportedParts is how many times its even part of what is left of an allowance a front uses
	// until heartbeats have told the others. Callers are spread unevenly over fronts.
	unreportedParts = 2
	// scarceShare is the part of an allowance below which what is left of it is divided so.
	scarceShare = 0.1
	// heartbeatInterval is the longest time between two heartbeats, and reach the number of
	// fronts that each goes to.
	heartbeatInterval = 250 * time.Millisecond
	reach             = 24
)

// reportWait returns how long a request of cost n waits because this front has used its part of what
// is left until heartbeats have told the others; 0 if it hasn't. If that part is less than one
// request, the request fits with the probability that makes it up on average.
func (l *Limiter) reportWait(now time.Duration, a *account, n float64) time.Duration {
	d := heartbeatInterval * time.Duration(max(1, (l.fronts+reach-1)/reach))
	if now-a.reportedAt >= d {
		a.reported, a.reportedAt = a.used, now
	}
	u := a.used - a.reported
	if l.fronts <= unreportedParts || a.level()+u >= scarceShare*l.permitted(a) {
		return 0
	}
	part := unreportedParts * (a.level() + u) / float64(l.fronts)
	if u+n <= part || u <= 0 && l.random.Float64()*n < part {
		return 0
	}
	return a.reportedAt + d - now
}

// settling returns how much of an account this front uses until it knows the others.
func (l *Limiter) settling(a *account) float64 {
	return settlingParts * max(a.workspace.Rate, a.workspace.Burst) / float64(max(minSettling, l.fronts))
}
