package front

import (
	"maps"
	"time"

	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/warm"
	"kingcupstand/schema/wire"
)

// A front owns units of the allowances of targets that warm up only some time after it has started or
// was suspended: unitsAfter, and unitsAfterPeer for each peer. It knows nearly all of its peers by
// then; until it does, it would take their units for its own.
const (
	unitsAfter     = 2 * time.Second
	unitsAfterPeer = 10 * time.Millisecond
	// longestTick is the time between two ticks from which a front counts as suspended.
	longestTick = time.Second
)

// warmTerms returns how the targets of each service of the plan warm up.
func (f *Front) warmTerms(p *plan.Plan) map[string]warm.Terms {
	m := map[string]warm.Terms{}
	for _, v := range p.Services() {
		if v.WarmUpRate > 0 && f.settings.WarmOvershoot > 0 {
			m[v.Name] = warm.New(v.WarmUp, v.WarmUpRate).WithBound(f.settings.WarmOvershoot, f.settings.WarmSlack)
		}
	}
	return m
}

// updateWarming assigns the units of the targets that warm up, and logs which begin or end to.
func (f *Front) updateWarming(now time.Duration, s *state) {
	if now-s.ticked > longestTick {
		s.resumed = now
	}
	s.ticked = now
	ts := s.pool.Warming(now)
	warming := make(map[string]bool, len(ts))
	us := make([]warm.Target, 0, len(ts))
	for _, t := range ts {
		warming[t.ID] = true
		us = append(us, t.Target)
		if !s.warming[t.ID] {
			f.log("warm", "target warms up", "target", t.ID, "until", time.Now().Add(t.Until-now).UTC(), "left-ms", (t.Until - now).Milliseconds(), "from", t.Source, "units", t.Units)
		}
	}
	for id := range s.warming {
		if !warming[id] {
			f.log("warm", "target has warmed up", "target", id)
		}
	}
	if len(ts) > 0 || len(s.warming) > 0 {
		f.meter.warming.Update(float64(len(ts)))
	}
	same := maps.Equal(warming, s.warming)
	s.warming = warming
	if len(us) == 0 || same && now-s.unitsAssigned < assignInterval {
		return
	}
	s.unitsAssigned = now
	var own map[string]int
	ms, regional := s.peers.Members(now)
	if now-s.resumed >= unitsAfter+time.Duration(len(ms))*unitsAfterPeer || !hasPeers(f.settings) {
		fs := []warm.Front{{Name: f.settings.Peer, DataCentre: s.pool.DataCentre()}}
		for _, m := range ms {
			fs = append(fs, warm.Front(m))
		}
		own = warm.Owned(f.settings.Peer, fs, us, regional)
	}
	s.pool.SetWarmUnits(now, own)
}

// observeWarming records for how much longer a target warms up, as it states in a response.
func (e *exchange) observeWarming(r Reply) {
	f, c := e.request.front, e.choice
	if r.WarmingErr != nil {
		f.log("warm", "warm-up time of a target ignored", "target", c.ID, "request-id", e.request.call.ID, "error", r.WarmingErr.Error())
		return
	}
	if r.Warming <= 0 {
		return
	}
	f.loop.Post(func(now time.Duration, s *state) {
		if s.pool.ObserveWarming(now, c, r.Warming) {
			s.changed = true
			f.updateWarming(now, s)
		}
	})
}

// encodeWarming and decodeWarming translate between reports and their messages.
func encodeWarming(rs []pool.WarmingReport) []*wire.WarmingTarget {
	var ms []*wire.WarmingTarget
	for _, r := range rs {
		ms = append(ms, &wire.WarmingTarget{Target: r.Target, Born: r.Born, LeftMs: milliseconds(r.Left)})
	}
	return ms
}

func decodeWarming(ms []*wire.WarmingTarget) []pool.WarmingReport {
	var rs []pool.WarmingReport
	for _, m := range ms {
		rs = append(rs, pool.WarmingReport{Target: m.Target, Born: m.Born, Left: time.Duration(m.LeftMs) * time.Millisecond})
	}
	return rs
}
