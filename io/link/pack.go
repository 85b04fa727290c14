package link

import (
	"net/http"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/gate"
	"kingcupstand/schema/wire"
)

// PackLoad converts a load report to its message.
func PackLoad(l gate.Load) *wire.Load {
	m := &wire.Load{
		Incarnation:       l.Incarnation,
		UptimeMs:          uint64(l.Uptime / time.Millisecond),
		Leaving:           l.Leaving,
		Running:           uint32(l.Running),
		Queued:            uint32(l.Queued),
		RunningTokens:     uint64(l.RunningTokens),
		Batch:             uint32(l.Batch),
		PrefillNsPerToken: uint64(l.Speed.Prefill),
		StepNs:            uint64(l.Speed.Step),
		ShedBelow:         uint32(l.ShedBelow),
	}
	for _, t := range l.Tiers {
		m.Tiers = append(m.Tiers, &wire.TierLoad{Rank: uint32(t.Rank), WorkUs: uint64(t.Work / time.Microsecond)})
	}
	return m
}

// UnpackLoad is the inverse of PackLoad.
func UnpackLoad(m *wire.Load) gate.Load {
	l := gate.Load{
		Incarnation:   m.GetIncarnation(),
		Uptime:        time.Duration(m.GetUptimeMs()) * time.Millisecond,
		Leaving:       m.GetLeaving(),
		Running:       int(m.GetRunning()),
		Queued:        int(m.GetQueued()),
		RunningTokens: int(m.GetRunningTokens()),
		Batch:         int(m.GetBatch()),
		Speed: gate.Speed{
			Prefill: time.Duration(m.GetPrefillNsPerToken()),
			Step:    time.Duration(m.GetStepNs()),
		},
		ShedBelow: call.Rank(m.GetShedBelow()),
	}
	for _, t := range m.GetTiers() {
		l.Tiers = append(l.Tiers, gate.TierLoad{Rank: call.Rank(t.Rank), Work: time.Duration(t.WorkUs) * time.Microsecond})
	}
	return l
}

// PackRefusal converts the outcome of a refused request to its message. Released is true
// if the agent will never dispatch the request's id, so that the entry may offer the
// request to another agent.
func PackRefusal(e call.Outcome, released bool) *wire.Refusal {
	return &wire.Refusal{
		Reason:       string(e.Reason),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Released:     released,
		Ran:          e.Ran.String(),
	}
}

// UnpackRefusal converts a refusal to the outcome of its request.
func UnpackRefusal(m *wire.Refusal) call.Outcome {
	return call.Outcome{
		Ran:        call.ParseRan(m.GetRan()),
		Reason:     call.Reason(m.GetReason()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
}

// PackHeaders converts HTTP headers to their messages, except the excluded ones, whose
// names must be in canonical form. Excluded may be nil.
func PackHeaders(h http.Header, excluded map[string]bool) []*wire.Header {
	var l []*wire.Header
	for n, vs := range h {
		if excluded[n] {
			continue
		}
		for _, v := range vs {
			l = append(l, &wire.Header{Name: n, Value: v})
		}
	}
	return l
}
