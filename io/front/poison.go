package front

import (
	"errors"
	"math"
	"time"

	"kingcupstand/core/poison"
	"kingcupstand/io/actor"
	"kingcupstand/schema/wire"
)

var (
	errIsolated        = errors.New("a part of the prompt crashes targets")
	errRequestIsolated = errors.New("the request crashes targets")
)

// parts returns the parts of the request's prompt that other requests may share.
func (c Call) parts() []poison.Part {
	if len(c.Parts) == 0 {
		return nil
	}
	ps := make([]poison.Part, len(c.Parts))
	for i, id := range c.Parts {
		ps[i] = poison.PartOf(id)
	}
	return ps
}

// isolated reports whether the request, or a part of its prompt, is isolated: why, and for how
// long. An isolated request that it is this front's turn to try again isn't, and with probe that is
// recorded.
func (q *request) isolated(probe bool) (left time.Duration, err error) {
	m := *q.front.isolations.Load()
	if len(m) == 0 {
		return 0, nil
	}
	now := q.front.loop.Now()
	for _, p := range q.parts {
		if until := m[p]; until > now {
			left, err = max(left, until-now), errIsolated
		}
	}
	at, ok := m[q.identity]
	if err != nil || !ok || q.probing {
		return left, err
	}
	if at > now {
		return at - now, errRequestIsolated
	}
	if !q.front.mayProbe(q.identity, probe) {
		return poison.ProbeTurn, errRequestIsolated
	}
	q.probing = probe
	return 0, nil
}

// mayProbe reports whether it is this front's turn to try an isolated request again. With probe
// it records that the request is tried.
func (f *Front) mayProbe(request poison.Part, probe bool) bool {
	return actor.Ask(f.loop, func(now time.Duration, s *state) bool {
		live, _ := s.peers.Count(now)
		if !probe {
			return s.poison.MayProbe(now, request, s.peers.Position(now), live)
		}
		ok := s.poison.Probe(now, request, s.peers.Position(now), live)
		if ok {
			s.changed = true
			f.publishIsolations(s)
			f.log("isolated", "isolated request is tried again", "request", request.String())
		}
		return ok
	})
}

// noteBegun records that the target has begun to answer, once it has sent begunEvents events. It
// is known long before the stream ends.
func (e *exchange) noteBegun() {
	q := e.request
	if e.sound || e.received < begunEvents {
		return
	}
	e.sound = true
	if q.front.suspects.Load() {
		q.front.loop.Post(func(now time.Duration, s *state) { q.front.recordSound(now, s, q) })
	}
}

// recordCrash records that a target has crashed which had hardly begun to answer requests, some
// with parts.
func (f *Front) recordCrash(now time.Duration, s *state, c poison.CrashID, parts, requests []poison.Part) {
	s.poison.Crash(now, c, parts)
	for _, r := range requests {
		s.poison.CrashRequest(now, c, r)
	}
	s.changed = true
	f.suspectsChanged(s, nil, "")
}

// recordSound records that a target has answered a request, or has begun to.
func (f *Front) recordSound(now time.Duration, s *state, q *request) {
	cs := s.poison.Sound(now, q.parts)
	f.suspectsChanged(s, append(cs, s.poison.SoundRequest(now, q.identity)...), "")
}

// mergeSuspects records what a peer's heartbeat reports of parts under which targets crash.
func (f *Front) mergeSuspects(now time.Duration, s *state, peer string, ms []*wire.SuspectPart) {
	rs := make([]poison.Report, 0, len(ms))
	for _, m := range ms {
		rs = append(rs, decodeSuspect(m))
	}
	f.suspectsChanged(s, s.poison.Merge(now, rs), peer)
}

// suspectsChanged publishes the isolated parts and requests after changes. From is the peer that
// reported them, or "" if this front has found them.
func (f *Front) suspectsChanged(s *state, cs []poison.Change, from string) {
	f.suspects.Store(s.poison.Len() > 0)
	f.publishIsolations(s)
	for _, c := range cs {
		s.changed = true
		msg, key := "part of prompts that crashes targets", "part"
		if c.Request {
			msg, key = "request that crashes targets", "request"
		}
		f.log("isolated", msg, key, c.Part.String(), "isolated", c.Isolated, "crashes", c.Crashes, "from", from)
	}
}

// publishIsolations publishes the isolated parts and requests if they have changed.
func (f *Front) publishIsolations(s *state) {
	if !s.poison.Outdated() {
		return
	}
	m := s.poison.Set()
	f.isolations.Store(&m)
	parts, requests := s.poison.Isolations()
	f.meter.isolated.Update(float64(parts))
	f.meter.isolatedRequests.Update(float64(requests))
}

// encodeSuspect and decodeSuspect translate between a report and its message.
func encodeSuspect(r poison.Report) *wire.SuspectPart {
	m := &wire.SuspectPart{Part: uint64(r.Part), Request: r.Request, Probes: uint32(r.Probes), ProbeAgeMs: milliseconds(r.ProbeAge)}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &wire.Crash{Id: uint64(c.ID), AgeMs: milliseconds(c.Age)})
	}
	if r.HasSound {
		a := milliseconds(r.SoundAge)
		m.SoundAgeMs = &a
	}
	if r.HasIsolated {
		a := milliseconds(r.IsolatedAge)
		m.IsolatedAgeMs = &a
	}
	return m
}

func decodeSuspect(m *wire.SuspectPart) poison.Report {
	r := poison.Report{
		Part: poison.Part(m.Part), Request: m.Request,
		Probes: int(m.Probes), ProbeAge: time.Duration(m.ProbeAgeMs) * time.Millisecond,
		HasSound: m.SoundAgeMs != nil, SoundAge: time.Duration(m.GetSoundAgeMs()) * time.Millisecond,
		HasIsolated: m.IsolatedAgeMs != nil, IsolatedAge: time.Duration(m.GetIsolatedAgeMs()) * time.Millisecond,
	}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, poison.CrashAge{ID: poison.CrashID(c.Id), Age: time.Duration(c.AgeMs) * time.Millisecond})
	}
	return r
}

// milliseconds returns a time as messages carry it: the nearest one from 0 to some 49 days.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
