// Package limit holds the rate of requests that a target takes from all fronts together,
// and one front's part of it.
//
// A target names its limit in its responses. Each front records what the responses to its
// own requests name and passes the latest on to the other fronts, so that those that send
// the target nothing know it too. Reports carry the age of what they say rather than a time,
// as clocks differ.
//
// A lower limit takes effect at once. A higher one, or none, takes effect only if it is
// certainly later than what is known: if the request was sent after the response that named
// the known limit, or, for a report, if it is later by reportMargin. Responses overtake one
// another, and reports may be read late by a process that was paused.
//
// The limit is divided into units of about one request a second, which are assigned to
// fronts. A front collects tokens at the rate of its units, starting with none, and a request
// takes one. It keeps at most one token, or those of maxBurst if they are more, so that all
// fronts together exceed the limit by no more than the number of units, however many fronts
// there are. During a partition each side assigns all units, but uses only the part of the
// limit that corresponds to its fronts.
//
// # Usage
//
//	var l limit.Limit
//	l.Observe(now, sent, limit.Rate{Named: true, PerSecond: 4.2})
//	l.SetShare(now, share)
//	if l.Allows(now) {
//		l.Take(now)
//	}
//	r, ok := l.Report(now)
//	peer.Merge(now, r)
package limit

import (
	"math"
	"time"
)

const (
	// maxBurst is the time whose tokens are kept if they are more than one. It covers the
	// interval at which queued requests are dispatched.
	maxBurst = 100 * time.Millisecond
	// minRate is the rate that is used if the target names less, in requests a second:
	// without any request its limit could never end.
	minRate = 0.1
	// reportMargin is how much later a report must be to raise or end a limit. It is longer
	// than a target with a limit of a few requests a second takes to name it again.
	reportMargin = 500 * time.Millisecond
	// maxUnits is the largest number of units, which bounds the cost of their assignment.
	maxUnits = 32
	// reportEnded is how long the end of a limit is reported.
	reportEnded = time.Minute
)

// Rate is what a target names.
type Rate struct {
	// Named is false if the target names no limit.
	Named bool
	// PerSecond is the number of requests a second, from all fronts together.
	PerSecond float64
}

// above reports whether r allows more than o.
func (r Rate) above(o Rate) bool { return o.Named && (!r.Named || r.PerSecond > o.PerSecond) }

// Report is what a front tells its peers.
type Report struct {
	Rate
	// Age is how long ago the target named the rate.
	Age time.Duration
}

// Limit is the limit of one target as known to one front. The zero Limit is that of a target
// that has named none. It is not safe for concurrent use.
type Limit struct {
	rate Rate
	// as is the time as of which rate is known, once heard is true.
	as    time.Duration
	heard bool
	// ended is true if the target has named a limit and no longer does, since endedAt.
	ended   bool
	endedAt time.Duration
	// share is the fraction of the limit that this front uses.
	share float64
	// tokens is the number of requests that may be sent, as of updated.
	tokens  float64
	updated time.Duration
}

// Rate returns the latest rate that the target is known to have named.
func (l *Limit) Rate() Rate { return l.rate }

// Observe records what the response to a request names that was sent at the time sent. It
// reports whether the rate has changed.
func (l *Limit) Observe(now, sent time.Duration, r Rate) bool {
	if r.above(l.rate) && sent <= l.as {
		return false
	}
	if !r.Named {
		return l.set(now, sent, r)
	}
	return l.set(now, now, r)
}

// Merge records what a peer reports, and reports whether the rate has changed.
func (l *Limit) Merge(now time.Duration, r Report) bool {
	as := now - r.Age
	if l.heard && (as <= l.as || r.above(l.rate) && as <= l.as+reportMargin) {
		return false
	}
	return l.set(now, as, r.Rate)
}

func (l *Limit) set(now, as time.Duration, r Rate) bool {
	old := l.rate
	l.refill(now)
	if !old.Named {
		l.tokens = 0
	}
	if l.heard {
		as = max(as, l.as)
	}
	l.rate, l.as, l.heard = r, as, true
	if old.Named {
		l.ended, l.endedAt = !r.Named, now
	}
	return r != old
}

// Report returns what peers are to be told, if anything: the limit, or for a while that it
// has ended.
func (l *Limit) Report(now time.Duration) (Report, bool) {
	if !l.rate.Named && (!l.ended || now-l.endedAt > reportEnded) {
		return Report{}, false
	}
	return Report{Rate: l.rate, Age: max(0, now-l.as)}, true
}

// Units returns the number of units that the limit is divided into, or 0 without a limit.
func (l *Limit) Units() int {
	if !l.rate.Named {
		return 0
	}
	return int(math.Ceil(min(maxUnits, max(1, l.rate.PerSecond))))
}

// SetShare sets the fraction of the limit that this front uses, from 0 to 1.
func (l *Limit) SetShare(now time.Duration, share float64) {
	l.refill(now)
	l.share = share
	l.tokens = min(l.tokens, l.capacity())
}

// Share returns the fraction of the limit that this front uses.
func (l *Limit) Share() float64 { return l.share }

// ownRate returns the rate of this front in requests a second.
func (l *Limit) ownRate() float64 { return l.share * max(minRate, l.rate.PerSecond) }

// capacity returns the largest number of tokens that are kept.
func (l *Limit) capacity() float64 {
	if l.share <= 0 {
		return 0
	}
	return max(1, l.ownRate()*maxBurst.Seconds())
}

// refill adds the tokens of the time since the last call.
func (l *Limit) refill(now time.Duration) {
	if d := now - l.updated; d > 0 {
		l.tokens = min(l.capacity(), l.tokens+l.ownRate()*d.Seconds())
		l.updated = now
	}
}

// Allows reports whether this front may send a request now.
func (l *Limit) Allows(now time.Duration) bool {
	if !l.rate.Named {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// Take counts a request that is sent. Without a limit it has no effect.
func (l *Limit) Take(now time.Duration) {
	if !l.rate.Named {
		return
	}
	l.refill(now)
	l.tokens--
}
