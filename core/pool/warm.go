package pool

import (
	"time"

	"kingcupstand/core/warm"
)

// warmUp is what a front knows of the warm-up of one target.
type warmUp struct {
	pacer *warm.Pacer
	// listed is the rest of the warm-up that the target's entry names, as last applied.
	listed time.Duration
	// lost is true after the target could not be reached or fell silent, until it answers: another
	// process may have started in its place.
	lost bool
	// source is what the latest news of the warm-up came from.
	source WarmSource
	// learned is the time until which the target warms up as this front itself has found.
	learned time.Duration
}

// WarmSource is where news of a target's warm-up comes from.
type WarmSource string

// Sources of news of a warm-up.
const (
	WarmListed   WarmSource = "list"
	WarmResponse WarmSource = "response"
	WarmRestart  WarmSource = "restart"
	WarmDrain    WarmSource = "drain"
	WarmPeer     WarmSource = "peer"
)

// extend records that the target warms up until a time.
func (w *warmUp) extend(now, until time.Duration, s WarmSource) {
	if w.pacer.Extend(now, until) {
		w.source = s
	}
}

// learn records that this front has found that the target warms up for the time d.
func (w *warmUp) learn(now, d time.Duration, s WarmSource) {
	w.extend(now, now+d, s)
	w.learned = max(w.learned, min(now+d, w.pacer.Until()))
}

// answered records that the target has taken a request. If it was lost before and nothing proves
// that it is the same process, it may have started just now.
func (w *warmUp) answered(now time.Duration) {
	if w.lost {
		w.lost = false
		w.learn(now, w.pacer.Terms().Lasting(), WarmRestart)
	}
}

// ObserveProcess records that a response proves that the process that was chosen still runs: it was
// only cut off or busy, if it could not be reached or was silent.
func (p *Pool) ObserveProcess(c Choice) {
	if t := p.targets[c.ID]; t != nil && t.is(c.Born, c.Address) {
		t.lost = false
	}
}

// ObserveWarm records that the process that was chosen has answered a request that was sent at a time,
// and that its response proves that it doesn't warm up.
func (p *Pool) ObserveWarm(now, sent time.Duration, c Choice) {
	if t := p.targets[c.ID]; t != nil && t.is(c.Born, c.Address) {
		t.pacer.ObserveWarm(now, sent)
	}
}

// SetWarmTerms sets how the targets of each service warm up, by the service's name.
func (p *Pool) SetWarmTerms(m map[string]warm.Terms) {
	p.warmTerms = m
	for _, t := range p.targets {
		t.pacer.SetTerms(m[t.Service])
	}
}

// ApplyListedWarmUp applies the warm-ups that the entries of the target list name. An
// entry counts from when its value was first seen here, so that an old one that is read again
// doesn't prolong the warm-up.
func (p *Pool) ApplyListedWarmUp(now time.Duration) {
	for _, t := range p.targets {
		if t.Warming != t.listed {
			t.listed = t.Warming
			t.extend(now, now+t.Warming, WarmListed)
		}
	}
}

// ObserveWarming records for how much longer the process that was chosen warms up, as a response of
// it states. It reports whether it wasn't known to warm up.
func (p *Pool) ObserveWarming(now time.Duration, c Choice, d time.Duration) bool {
	t := p.targets[c.ID]
	if t == nil || !t.is(c.Born, c.Address) || d <= 0 {
		return false
	}
	news := !t.pacer.Warming(now)
	t.learn(now, d, WarmResponse)
	return news && t.pacer.Warming(now)
}

// WarmingReport is what a front sends its peers about the warm-up of one target.
type WarmingReport struct {
	// Target is the hash of the target's ID, and Born that of its process.
	Target uint32
	Born   int64
	Left   time.Duration
}

// WarmingReports returns what this front itself has found, for its heartbeats. What it knows from
// peers is left out: passed on in turn, each report would last a little longer than the one before.
func (p *Pool) WarmingReports(now time.Duration) []WarmingReport {
	var rs []WarmingReport
	for _, t := range p.targets {
		if left := t.learned - now; left > 0 && t.pacer.Terms().Paced() {
			rs = append(rs, WarmingReport{Target: Hash(t.ID), Born: t.Born, Left: left})
		}
	}
	return rs
}

// MergeWarming records what a peer reports.
func (p *Pool) MergeWarming(now time.Duration, rs []WarmingReport) {
	for _, r := range rs {
		if t := p.byHash[r.Target]; t != nil && t.Born == r.Born {
			t.extend(now, now+r.Left, WarmPeer)
		}
	}
}

// WarmTarget is a target that warms up, with the units that its allowance is divided into.
type WarmTarget struct {
	warm.Target
	Until  time.Duration
	Source WarmSource
}

// Warming returns the targets that warm up, in any order.
func (p *Pool) Warming(now time.Duration) []WarmTarget {
	var ts []WarmTarget
	for _, t := range p.targets {
		if t.pacer.Warming(now) {
			w := warm.Target{ID: t.ID, DataCentre: Hash(t.DataCentre), Units: t.pacer.Terms().Units(t.Slots)}
			ts = append(ts, WarmTarget{Target: w, Until: t.pacer.Until(), Source: t.source})
		}
	}
	return ts
}

// SetWarmUnits sets how many units of the allowances of the targets that warm up this front owns,
// by target ID.
func (p *Pool) SetWarmUnits(now time.Duration, own map[string]int) {
	for id, t := range p.targets {
		if t.pacer.Warming(now) {
			t.pacer.SetUnits(now, own[id], t.pacer.Terms().Units(t.Slots))
		}
	}
}
