package front

import (
	"net/http"
	"time"
)

// limited is a target that names a limit.
type limited struct {
	// perSecond is the number of requests a second that it takes from all fronts together.
	perSecond float64
	// sent is the number of requests that this front has sent since the last report.
	sent int
}

// observeLimit records the limit that a response names, or that it names none.
func (e *exchange) observeLimit(status int, r Reply) {
	f, id := e.request.front, e.choice.ID
	if r.LimitErr != nil {
		f.log("limit", "limit of a target ignored", "target", id, "error", r.LimitErr.Error())
		return
	}
	// A misdirected request has reached another process. Only a response that is certainly
	// the target's can end its limit.
	if status == http.StatusMisdirectedRequest || !r.HasLimit && !r.HasReceipt && !r.NotRun {
		return
	}
	f.loop.Post(func(_ time.Duration, s *state) {
		var old float64
		l, known := s.limited[id]
		if known {
			old = l.perSecond
		}
		if known == r.HasLimit && old == r.Limit {
			return
		}
		switch {
		case !r.HasLimit:
			delete(s.limited, id)
		case known:
			l.perSecond = r.Limit
		default:
			s.limited[id] = &limited{perSecond: r.Limit}
		}
		f.log("limit", "limit of a target", "target", id, "limited", r.HasLimit, "per-second", r.Limit, "was-limited", known, "was-per-second", old)
		f.meter.limited.Update(float64(len(s.limited)))
	})
}

// countSend counts a request that was sent to a target with a limit.
func (e *exchange) countSend() {
	id := e.choice.ID
	e.request.front.loop.Post(func(_ time.Duration, s *state) {
		if l := s.limited[id]; l != nil {
			l.sent++
		}
	})
}

// reportLimits logs how many requests each target with a limit has got from this front since
// the last report.
func (f *Front) reportLimits(s *state) {
	for id, l := range s.limited {
		f.telem.Log.Info("limited target", "target", id, "per-second", l.perSecond, "sent", l.sent)
		l.sent = 0
	}
}
