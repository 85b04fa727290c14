package pool

import "time"

// maxPause bounds pauses, against values that no target means.
const maxPause = 24 * time.Hour

// pause is the time for which a process wants nothing from this front. It ends at the latest time
// that any response of the process has named, or with the process: each response is a request of
// its own, and requests may be answered in any order. Afterwards the target gets one
// request at a time until it has taken one, as all that was held back would go there at once.
//
// A target in a pause is not a failing one: its failure rate, backoff and limit stay as they
// are, and its credits are not refilled.
type pause struct {
	// until is the end of the pause on the monotonic clock; 0 if there was none.
	until time.Duration
	// returning is true until the target has taken a request after the pause.
	returning bool
}

// Pause is a change of the pause of a target.
type Pause struct {
	// Until is the end of the pause, and Was the end that was known before; a time in the past
	// means that there was no pause.
	Until, Was time.Duration
}

// ObservePause records that the process that was chosen has turned a request away and wants
// nothing from this front for the time d. It reports whether that lengthens the pause.
func (p *Pool) ObservePause(now time.Duration, c Choice, d time.Duration) (Pause, bool) {
	n := p.noticesOf(c)
	if n == nil {
		return Pause{}, false
	}
	s := &n.pause
	v := Pause{Until: now + min(max(d, 0), maxPause), Was: s.until}
	if v.Until <= now || v.Until <= v.Was {
		return Pause{}, false
	}
	s.until, s.returning = v.Until, true
	return v, true
}

// paused reports whether the target wants nothing from this front now.
func (s *pause) paused(now time.Duration) bool { return now < s.until }

// probing reports whether the target may get one request at a time, as it has not taken one
// since the pause.
func (s *pause) probing(now time.Duration) bool { return s.returning && now >= s.until }

// taken records that the target has taken a request.
func (s *pause) taken(now time.Duration) {
	if now >= s.until {
		s.returning = false
	}
}

// PauseLeft returns the time until the first pause ends of the targets that suit a request, if
// all of them are in a pause. Targets that have turned this very request away count as well: the
// caller may send it again.
func (p *Pool) PauseLeft(now time.Duration, c Criteria) time.Duration {
	c.Exclude = nil
	var left time.Duration
	for _, t := range p.byService[c.Service] {
		if !c.admits(t) {
			continue
		}
		if !t.notices.paused(now) {
			return 0
		}
		if d := t.notices.until - now; left == 0 || d < left {
			left = d
		}
	}
	return left
}
