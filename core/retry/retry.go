// Package retry bounds how many repeated sends a service gets, over all fronts.
//
// # Usage
//
//	b := retry.New(retry.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
//	b.Request(now, "service")
//	if b.Repeat(now, "service") { ... send once more ... }
//
// A front spends at most the ratio of the requests that it took itself, and its
// part of the slack. Both are sums over fronts, so no exchange is needed for the
// whole to keep the bound, and a partition changes nothing.
package retry

import "time"

// Limits are the bounds of all fronts together.
type Limits struct {
	// Ratio of repeated sends to requests.
	Ratio float64
	// Slack is how many are allowed beyond that in each window.
	Slack float64
	// Window is the span that the bound holds for.
	Window time.Duration
}

// Parts of the terms that a front spends.
const (
	// margin of the ratio is left unspent: requests are counted here when they
	// come, and the bound may count them in a window that began earlier.
	margin = 0.8
	// steps is how many parts a window is counted in.
	steps = 10
)

type counts struct {
	step     int64
	requests [steps + 1]float64
	repeats  [steps + 1]float64
}

// Budget is one front's spending. It is not safe for concurrent use.
type Budget struct {
	terms    Limits
	fronts   int
	services map[string]*counts
}

// New returns an unspent Budget.
func New(t Limits) *Budget {
	return &Budget{terms: t, fronts: 1, services: map[string]*counts{}}
}

// SetFronts sets the number of fronts that share the slack.
func (b *Budget) SetFronts(fronts int) { b.fronts = max(1, fronts) }

func (b *Budget) service(now time.Duration, name string) *counts {
	c := b.services[name]
	if c == nil {
		c = &counts{}
		b.services[name] = c
	}
	s := int64(now / (b.terms.Window / steps))
	for ; c.step < s; c.step++ {
		if s-c.step > steps+1 {
			c.step = s - steps - 2
		}
		i := (c.step + 1) % (steps + 1)
		c.requests[i], c.repeats[i] = 0, 0
	}
	return c
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Duration, service string) {
	c := b.service(now, service)
	c.requests[c.step%(steps+1)]++
}

// Take takes one repeated send, or reports false if there is none left.
func (b *Budget) Take(now time.Duration, service string) bool {
	c := b.service(now, service)
	if b.left(c) < 1 {
		return false
	}
	c.repeats[c.step%(steps+1)]++
	return true
}

// Remaining returns how many repeated sends a service may get now.
func (b *Budget) Remaining(now time.Duration, service string) float64 {
	return b.left(b.service(now, service))
}

func (b *Budget) left(c *counts) float64 {
	var q, r float64
	for i := range c.requests {
		q += c.requests[i]
		r += c.repeats[i]
	}
	return margin*(b.terms.Ratio*q+b.terms.Slack/float64(b.fronts)) - r
}
