package front

import (
	"slices"
	"time"

	"kingcupstand/core/drain"
	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
	"kingcupstand/io/actor"
	"kingcupstand/schema/wire"
)

// ListDrains implements Sink.
func (f *Front) ListDrains(at drain.Stamp, listed []drain.Record) {
	f.changeDrains(fromPlatform, func(s drain.Set) (drain.Set, bool) { return s.WithList(at, listed) })
}

// PutDrain implements Sink.
func (f *Front) PutDrain(r drain.Record) {
	f.changeDrains(fromPlatform, func(s drain.Set) (drain.Set, bool) { return s.With(r) })
}

// changeDrains changes the drains and waits until that is in force: the platform
// passes on the plan, which makes a new front ready, only afterwards.
func (f *Front) changeDrains(from string, c func(drain.Set) (drain.Set, bool)) {
	actor.Ask(f.loop, func(now time.Duration, s *state) bool {
		n, changed := c(s.drains)
		if changed {
			f.applyDrains(now, s, n, from)
		}
		return changed
	})
}

// mergeDrains applies the records of a peer's heartbeat.
func (f *Front) mergeDrains(now time.Duration, s *state, peer string, ds []*wire.DataCentreDrain) {
	if !f.settings.Drains {
		return
	}
	n, changed := s.drains, false
	for _, d := range ds {
		if len(d.DataCentre) > drain.MaxName {
			continue
		}
		var ok bool
		n, ok = n.With(drain.Record{DataCentre: d.DataCentre, Stamp: drain.Stamp{Era: d.Era, Revision: d.Revision}, Drained: d.Drained})
		changed = changed || ok
	}
	if changed {
		f.applyDrains(now, s, n, peer)
	}
}

// applyDrains puts a new set of drains in force. What waits for a drained target moves to
// others or is refused at once; what has been sent to one ends there.
func (f *Front) applyDrains(now time.Duration, s *state, n drain.Set, from string) {
	old := s.drains
	s.drains, s.changed = n, true
	for _, r := range n.Records() {
		if slices.Contains(old.Records(), r) {
			continue
		}
		f.telem.Log.Info("data centre drain", "data-centre", r.DataCentre, "drained", r.Drained, "era", r.Era, "revision", r.Revision,
			"from", from, "targets", s.pool.CountIn(r.DataCentre))
	}
	f.meter.drained.Update(float64(len(n.Names())))
	s.pool.SetDrained(now, n.Names())
	f.withholdTargets(now, s)
	f.assignSlots(now, s)
	f.rejectDrained(now, s)
	f.dispatchAll(now, s)
}

// rejectDrained refuses the queued requests that no target outside the drained data centres can
// take.
func (f *Front) rejectDrained(now time.Duration, s *state) {
	if len(s.drains.Names()) == 0 {
		return
	}
	for _, name := range s.sched.Services() {
		for _, w := range s.sched.Reject(now, name, func(r sched.Request) bool { return s.pool.DrainedOnly(r.Criteria) }) {
			w.Waiter.Value.granted <- grant{err: errDrained, refusal: w.Refusal, waited: w.Refusal.Waited}
		}
	}
}

// drainedRefusal returns the refusal of a request that only targets in drained data centres could
// take. Nobody knows when the operator withdraws the drain, so the caller is to retry as late as
// it can.
func drainedRefusal(c pool.Criteria) *grant {
	return &grant{err: errDrained, refusal: sched.Refusal{RetryAfter: sched.LatestRetry(c.TimeLeft)}}
}

// encodeDrains returns the operator's requests for a heartbeat.
func encodeDrains(s drain.Set) []*wire.DataCentreDrain {
	var ds []*wire.DataCentreDrain
	for _, r := range s.Records() {
		ds = append(ds, &wire.DataCentreDrain{DataCentre: r.DataCentre, Era: r.Era, Revision: r.Revision, Drained: r.Drained})
	}
	return ds
}
