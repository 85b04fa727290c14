package front

import (
	"time"

	"kingcupstand/core/limit"
	"kingcupstand/core/pool"
	"kingcupstand/schema/wire"
)

// observeLimit records the limit that a response names, or that it names none.
func (e *exchange) observeLimit(status int, r Reply) {
	f, id, sent := e.request.front, e.choice.ID, e.started
	if r.LimitErr != nil {
		f.log("limit", "limit of a target ignored", "target", id, "error", r.LimitErr.Error())
		return
	}
	// Only a response that is certainly the target's can end its limit.
	if !r.fromTarget(status) {
		return
	}
	f.loop.Post(func(now time.Duration, s *state) {
		old := s.pool.Limit(id)
		if s.pool.ObserveLimit(now, now-time.Since(sent), id, limit.Rate{Named: r.HasLimit, PerSecond: r.Limit}) {
			f.limitChanged(now, s, id, old, "")
		}
	})
}

// mergeLimits records the limits that a peer's heartbeat reports.
func (f *Front) mergeLimits(now time.Duration, s *state, peer string, ls []*wire.TargetLimit) {
	rs := make([]pool.LimitReport, 0, len(ls))
	for _, l := range ls {
		rs = append(rs, decodeLimit(l))
	}
	for _, c := range s.pool.MergeLimits(now, rs) {
		f.limitChanged(now, s, c.ID, c.Old, peer)
	}
}

// limitChanged applies a new limit of a target at once and tells the peers with the next
// heartbeat. From is the peer that reported it, or "" if the target named it to this front.
func (f *Front) limitChanged(now time.Duration, s *state, target string, old limit.Rate, from string) {
	s.changed = true
	f.assignSlots(now, s)
	n := 0
	for _, v := range s.sched.Services() {
		n += len(s.pool.Limited(v))
	}
	f.meter.limited.Update(float64(n))
	r := s.pool.Limit(target)
	f.log("limit", "limit of a target", "target", target, "limited", r.Named, "per-second", r.PerSecond,
		"was-limited", old.Named, "was-per-second", old.PerSecond, "from", from)
}

// reportLimits logs the limits that targets of a service name, and this front's part of them.
func (f *Front) reportLimits(s *state, service string) {
	for _, l := range s.pool.Limited(service) {
		f.telem.Log.Info("limited target", "target", l.ID, "per-second", l.PerSecond, "share", l.Share, "sent", l.Sent)
	}
}

// encodeLimit and decodeLimit translate between a report and its message.
func encodeLimit(r pool.LimitReport) *wire.TargetLimit {
	m := &wire.TargetLimit{Target: r.Target, Born: r.Born, AgeMs: milliseconds(r.Age)}
	if r.Named {
		m.PerSecond = &r.PerSecond
	}
	return m
}

func decodeLimit(m *wire.TargetLimit) pool.LimitReport {
	r := limit.Report{Rate: limit.Rate{Named: m.PerSecond != nil, PerSecond: m.GetPerSecond()}, Age: time.Duration(m.AgeMs) * time.Millisecond}
	return pool.LimitReport{Target: m.Target, Born: m.Born, Report: r}
}
