package pool

import (
	"time"

	"kingcupstand/core/limit"
)

// LimitReport is what a front tells its peers about the limit of one target.
type LimitReport struct {
	// Target is the hash of the target's ID, and Born that of its process.
	Target uint32
	Born   int64
	limit.Report
}

// ObserveLimit records the limit that a response names, to a request that was sent to the
// target at the time sent. It reports whether the limit has changed.
func (p *Pool) ObserveLimit(now, sent time.Duration, id string, r limit.Rate) bool {
	t := p.targets[id]
	return t != nil && t.limit.Observe(now, sent, r)
}

// LimitChange is a change of the limit of a target.
type LimitChange struct {
	ID  string
	Old limit.Rate
}

// MergeLimits records the limits that a peer reports, and returns the changes. A limit that
// an earlier process with the same ID named is ignored.
func (p *Pool) MergeLimits(now time.Duration, rs []LimitReport) []LimitChange {
	var cs []LimitChange
	for _, r := range rs {
		t := p.byHash[r.Target]
		if t == nil || t.Born != r.Born {
			continue
		}
		if old := t.limit.Rate(); t.limit.Merge(now, r.Report) {
			cs = append(cs, LimitChange{ID: t.ID, Old: old})
		}
	}
	return cs
}

// LimitReports returns the limits for this front's heartbeats, and those that have ended
// lately.
func (p *Pool) LimitReports(now time.Duration) []LimitReport {
	var rs []LimitReport
	for _, t := range p.targets {
		if r, ok := t.limit.Report(now); ok {
			rs = append(rs, LimitReport{Target: Hash(t.ID), Born: t.Born, Report: r})
		}
	}
	return rs
}

// Limit returns the limit of a target.
func (p *Pool) Limit(id string) limit.Rate {
	if t := p.targets[id]; t != nil {
		return t.limit.Rate()
	}
	return limit.Rate{}
}

// Limited is a target that names a limit.
type Limited struct {
	ID string
	limit.Rate
	// Units is the number of units that the limit is divided into, and Share the fraction
	// of it that this front uses.
	Units int
	Share float64
	// Sent is the number of requests that this front has sent the target.
	Sent int
}

// Limited returns the targets of a service that name a limit.
func (p *Pool) Limited(service string) []Limited {
	var ls []Limited
	for _, t := range p.byService[service] {
		if r := t.limit.Rate(); r.Named {
			ls = append(ls, Limited{ID: t.ID, Rate: r, Units: t.limit.Units(), Share: t.limit.Share(), Sent: t.sent})
		}
	}
	return ls
}

// SetLimitUnits sets how many units of the targets' limits this front owns, by target ID, and
// the numbers of live fronts and of all that may be serving. While some of them are behind a
// partition, this side uses the part of the limits that belongs to its fronts.
func (p *Pool) SetLimitUnits(now time.Duration, own map[string]int, live, total int) {
	f := float64(live) / float64(max(1, live, total))
	for id, t := range p.targets {
		if n := t.limit.Units(); n > 0 {
			t.limit.SetShare(now, f*float64(min(own[id], n))/float64(n))
		}
	}
}
