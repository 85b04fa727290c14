// Package warm paces the requests to a target that warms up: after its start, or after it
// has come back, a target is slow for some seconds and crashes if it gets many requests.
//
// Terms say how many requests a warming target may get in any second from all fronts
// together. A front can't ask the others before each request, and gets their counts a
// fraction of a second late. So the allowance is divided into units that belong to one
// front each. A front collects tokens at the rate of its units, starting with none, and keeps
// at most one for each unit. All fronts together send at most the rate plus the number of
// units in any second, which Terms keep within the bound.
//
// A target that isn't known to warm up may begin to at any moment, and a front may learn that late.
// So fronts also exchange what they have sent each target in the last second, and stop a little
// below the bound whether it warms up or not. An answer that names no warm-up proves that the
// target was warm when it got the request: what was sent until then no longer counts, except for as
// much as may be sent before the peers know of it. A warm target thus gets what it can serve.
//
// Units are assigned to all fronts that may be running, live or not, with equal weights. Fronts
// on both sides of a partition then agree on who owns which unit, and a front's demand, which
// its peers know late, doesn't move units. The units of a front that has died stay unused
// for two minutes, which is far longer than a target warms up.
//
// # Usage
//
//	t := warm.New(3*time.Second, 14).WithBound(1.5, 5)
//	p := warm.NewPacer(t)
//	p.Extend(now, now+2*time.Second) // as the target's response states
//	p.SetUnits(now, own, t.Units(slots))
//	p.ObserveWarm(now, sent) // as another response proves
//	if p.Allows(now, elsewhere) {
//		p.Take(now)
//	}
package warm

import (
	"math"
	"time"
)

const (
	// maxWarming bounds how long a target counts as warming after one report of it.
	maxWarming = time.Minute
	// never is the time of what has not happened, before any other.
	never = time.Duration(math.MinInt64)
)

// Terms are how the targets of a service warm up. The zero Terms are those of targets that
// need no warm-up.
type Terms struct {
	lasting          time.Duration
	perSecond        float64
	overshoot, slack float64
}

// New returns the Terms of targets that warm up for a time and take a number of requests a
// second meanwhile. A number of 0 means that they need no warm-up.
func New(lasting time.Duration, perSecond float64) Terms {
	return Terms{lasting: lasting, perSecond: max(0, perSecond), overshoot: 1}
}

// WithBound returns the Terms with the bound of requests in any second: overshoot times the
// rate plus slack.
func (t Terms) WithBound(overshoot, slack float64) Terms {
	t.overshoot, t.slack = max(1, overshoot), max(0, slack)
	return t
}

// Paced reports whether the targets need a warm-up.
func (t Terms) Paced() bool { return t.perSecond > 0 }

// Lasting returns how long a target warms up after its start.
func (t Terms) Lasting() time.Duration { return t.lasting }

// Bound returns the largest number of requests that a warming target may get in any second.
func (t Terms) Bound() float64 { return t.perSecond*t.overshoot + t.slack }

// reserve is the number of requests a second that units leave of the bound: requests that were
// delayed on their way, by a wait for a connection, may arrive in the same second as later ones.
const reserve = 2

// Units returns the number of units that the allowance of a target is divided into: one for
// each slot, if the bound leaves as much room above the rate and the reserve.
func (t Terms) Units(slots int) int {
	return min(slots, max(1, int(t.Bound()-t.perSecond)-reserve))
}

// rate returns the number of requests a second that all units together collect tokens for.
func (t Terms) rate(units int) float64 {
	return max(0, min(t.perSecond, t.Bound()-float64(units)))
}

// knownShare is the part of the bound up to which fronts use it together, as far as they know. The
// rest covers what they have sent since their last heartbeats.
const knownShare = 0.9

// unknownShare is the share of a front's requests of the last second that its peers may not know of,
// as it sent them since its last heartbeat.
const unknownShare = 1.0 / 8

// room reports whether a target may get one more request, after a number of them in the last second
// from all fronts, as far as is known. One that isn't known to warm up could begin to without
// notice, and must not get more than the bound then either.
func (t Terms) room(recent int) bool { return float64(recent+1) <= max(1, knownShare*t.Bound()) }

// Pacer paces one front's requests to one target. It is not safe for concurrent use.
type Pacer struct {
	terms Terms
	// until is the time until which the target warms up.
	until time.Duration
	// own is the number of this front's units, of all.
	own, all int
	// tokens is the number of requests that may be sent as of updated.
	tokens  float64
	updated time.Duration
	// sent counts this front's requests in the last second.
	sent Window
	// warmAsOf is when the latest request was sent that a warm target is known to have got.
	warmAsOf time.Duration
}

// NewPacer returns the Pacer of a target that isn't known to warm up, and that the front owns no
// units of.
func NewPacer(t Terms) *Pacer { return &Pacer{terms: t, warmAsOf: never} }

// SetTerms replaces the terms.
func (p *Pacer) SetTerms(t Terms) { p.terms = t }

// Terms returns the terms.
func (p *Pacer) Terms() Terms { return p.terms }

// Extend records that the target warms up until a time, and reports whether that is news: the
// target wasn't known to warm up. The time is never shortened, as reports may be old.
func (p *Pacer) Extend(now, until time.Duration) bool {
	until = min(until, now+maxWarming)
	if !p.terms.Paced() || until <= now || until <= p.until {
		return false
	}
	news := !p.Warming(now)
	if news {
		p.tokens, p.updated, p.warmAsOf = 0, now, never
	}
	p.until = until
	return news
}

// Until returns the time until which the target warms up.
func (p *Pacer) Until() time.Duration { return p.until }

// Warming reports whether the target warms up.
func (p *Pacer) Warming(now time.Duration) bool { return p.terms.Paced() && now < p.until }

// ObserveWarm records that the target has answered a request that was sent at a time, and that the
// answer proves that it doesn't warm up. It has no effect while the target is known to warm up, as
// the answer may be late.
func (p *Pacer) ObserveWarm(now, sent time.Duration) {
	if !p.Warming(now) {
		p.warmAsOf = max(p.warmAsOf, sent)
	}
}

// SetUnits sets how many of all units this front owns.
func (p *Pacer) SetUnits(now time.Duration, own, all int) {
	p.refill(now)
	p.own, p.all = min(own, all), all
	p.tokens = min(p.tokens, float64(p.own))
}

// refill adds the tokens of the time since the last call.
func (p *Pacer) refill(now time.Duration) {
	if d := now - p.updated; d > 0 && p.all > 0 {
		r := p.terms.rate(p.all) * float64(p.own) / float64(p.all)
		p.tokens = min(float64(p.own), p.tokens+r*d.Seconds())
	}
	p.updated = max(p.updated, now)
}

// Allows reports whether the front may send a request now. Elsewhere is the sum of what Recent
// returns at the other fronts, as far as is known.
func (p *Pacer) Allows(now time.Duration, elsewhere int) bool {
	if !p.terms.Paced() {
		return true
	}
	if !p.terms.room(p.Recent(now) + elsewhere) {
		return false
	}
	if !p.Warming(now) {
		return true
	}
	p.refill(now)
	return p.tokens >= 1
}

// Take counts a request that is sent.
func (p *Pacer) Take(now time.Duration) {
	if !p.terms.Paced() {
		return
	}
	p.sent.Add(now)
	if p.Warming(now) {
		p.refill(now)
		p.tokens--
	}
}

// Recent returns the number of this front's requests in the last second that the target may have got
// while it warmed up, and of those that may follow before the peers know of them.
func (p *Pacer) Recent(now time.Duration) int {
	n := p.sent.Len(now)
	if p.Warming(now) {
		return n
	}
	return min(n, p.sent.Since(now, p.warmAsOf)+int(math.Ceil(unknownShare*float64(n))))
}
