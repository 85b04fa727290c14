package gate

import "time"

// Speed is what is believed of a target's pace. It is an immutable value.
type Speed struct {
	// Prefill is the time per prompt token that is not in the prefix cache.
	Prefill time.Duration
	// Step is the time per output token.
	Step time.Duration
}

// gain is the weight of one observation in the moving averages, as a divisor.
const gain = 8

// own returns the predicted time of a request at a target that has a free slot.
func (s Speed) own(o Offer) time.Duration {
	return s.Time(o.Prompt-o.Cached, o.Output)
}

// Time returns the predicted time for so many uncached prompt tokens and output
// tokens.
func (s Speed) Time(prompt, output int) time.Duration {
	return time.Duration(max(prompt, 0))*s.Prefill + time.Duration(output)*s.Step
}

// observe returns the speed after the whole answer of j that ended now.
func (s Speed) observe(j *job, now time.Duration, f Finish) Speed {
	if !j.offer.Streamed {
		return s.observeWhole(j, now, f)
	}
	if !j.answering {
		return s
	}
	if n := f.Prompt - f.Cached; n > 0 {
		s.Prefill = blend(s.Prefill, (j.first-j.started)/time.Duration(n))
	}
	if n := f.Output - 1; n > 0 {
		s.Step = blend(s.Step, (now-j.first)/time.Duration(n))
	}
	return s
}

// observeWhole learns from an answer that came at once: all of its time but the
// prompt's predicted part was spent on its tokens.
func (s Speed) observeWhole(j *job, now time.Duration, f Finish) Speed {
	if d := now - j.started - s.Time(f.Prompt-f.Cached, 0); f.Output > 0 && d > 0 {
		s.Step = blend(s.Step, d/time.Duration(f.Output))
	}
	return s
}

// blend moves an average towards an observation.
func blend(avg, v time.Duration) time.Duration {
	return max(avg+(v-avg)/gain, 1)
}
