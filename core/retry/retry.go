// Package retry bounds how many retries the requests for a service get, summed over all
// fronts.
//
// In each window, the number of retries is at most Ratio times the number of requests
// plus Slack. A front counts its own requests and retries over a sliding window and
// spends at most Ratio of its own requests and an equal share of the slack. Requests,
// retries and shares add up over the fronts, so the bound holds for all of them without
// any exchange of counters.
//
// A partition doesn't change what Ratio allows. The shares of the slack add up to no more
// than Slack while the fronts on the other side are included in SetFronts, as
// peers.Table.Count includes them for peers.ServingFor after their last heartbeats. In a
// longer partition each side spends the full slack.
//
// # Usage
//
//	b := retry.New(retry.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
//	b.SetFronts(5)
//	b.CountRequest(now, "service")
//	if b.Take(now, "service") { ... retry ... }
package retry

import "time"

// Limits are the bounds for all fronts together.
type Limits struct {
	// Ratio is the number of retries allowed for each request, such as 0.2.
	Ratio float64
	// Slack is the number of retries allowed in each window in addition.
	Slack float64
	// Window is the time over which the bound holds.
	Window time.Duration
}

const (
	// usable is the fraction of the bound that is spent. The rest is a margin: a
	// request is counted here when it arrives, while a check of the bound may count it
	// in a window that began earlier.
	usable = 0.8
	// steps is the number of steps that a window is divided into.
	steps = 10
)

// counts holds the requests and retries of the last steps. The arrays are rings with
// one place for each step of a window and one for the step that is being counted.
type counts struct {
	// step is the number of the current step, counted from time 0.
	step     int64
	requests [steps + 1]float64
	retries  [steps + 1]float64
}

// Budget holds one front's part of the retry budgets of all services. It is not safe for
// concurrent use.
type Budget struct {
	limits   Limits
	fronts   int
	services map[string]*counts
}

// New returns an unspent Budget of a front that is alone.
func New(l Limits) *Budget {
	return &Budget{limits: l, fronts: 1, services: map[string]*counts{}}
}

// SetFronts sets the number of fronts that share the slack: this one, the other live ones
// and those that may be serving on the other side of a partition.
func (b *Budget) SetFronts(fronts int) { b.fronts = max(1, fronts) }

// service returns the counts of a service, advanced to the current step.
func (b *Budget) service(now time.Duration, name string) *counts {
	c := b.services[name]
	if c == nil {
		c = &counts{}
		b.services[name] = c
	}
	s := int64(now / (b.limits.Window / steps))
	for ; c.step < s; c.step++ {
		if s-c.step > steps+1 {
			c.step = s - steps - 2
		}
		i := (c.step + 1) % (steps + 1)
		c.requests[i], c.retries[i] = 0, 0
	}
	return c
}

// CountRequest counts a request for a service. Retries are not counted as requests.
func (b *Budget) CountRequest(now time.Duration, service string) {
	c := b.service(now, service)
	c.requests[c.step%(steps+1)]++
}

// Take takes one retry out of a service's budget. It reports false if less than one
// is left.
func (b *Budget) Take(now time.Duration, service string) bool {
	c := b.service(now, service)
	if b.remaining(c) < 1 {
		return false
	}
	c.retries[c.step%(steps+1)]++
	return true
}

// Remaining returns the number of retries that are left in a service's budget. It is
// negative if the bound has shrunk below what was spent.
func (b *Budget) Remaining(now time.Duration, service string) float64 {
	return b.remaining(b.service(now, service))
}

func (b *Budget) remaining(c *counts) float64 {
	var q, r float64
	for i := range c.requests {
		q += c.requests[i]
		r += c.retries[i]
	}
	return usable*(b.limits.Ratio*q+b.limits.Slack/float64(b.fronts)) - r
}
