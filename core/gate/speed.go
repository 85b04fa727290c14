package gate

import "time"

// Speed is an estimate of a target's speed. It is immutable.
type Speed struct {
	// Prefill is the time per prompt token that is not in the prefix cache.
	Prefill time.Duration
	// Step is the time per output token.
	Step time.Duration
}

// ewmaDivisor is the inverse weight of one observation in the exponentially
// weighted averages.
const ewmaDivisor = 8

// cost returns the predicted service time of a request on a free slot.
func (s Speed) cost(o Offer) time.Duration {
	return s.Time(o.Prompt-o.Cached, o.Output)
}

// Time returns the predicted time for the given numbers of uncached prompt tokens
// and output tokens.
func (s Speed) Time(prompt, output int) time.Duration {
	return time.Duration(max(prompt, 0))*s.Prefill + time.Duration(output)*s.Step
}

// observe returns the estimate updated with the response to j, which was completed
// at the time now.
func (s Speed) observe(j *job, now time.Duration, f Finish) Speed {
	if !j.offer.Streamed {
		return s.observeUnstreamed(j, now, f)
	}
	if !j.prefilled {
		return s
	}
	if n := f.Prompt - f.Cached; n > 0 {
		s.Prefill = ewma(s.Prefill, (j.firstByte-j.started)/time.Duration(n))
	}
	if n := f.Output - 1; n > 0 {
		s.Step = ewma(s.Step, (now-j.firstByte)/time.Duration(n))
	}
	return s
}

// observeUnstreamed updates the time per output token from a response that arrived
// at once: its duration less the predicted prefill time.
func (s Speed) observeUnstreamed(j *job, now time.Duration, f Finish) Speed {
	if d := now - j.started - s.Time(f.Prompt-f.Cached, 0); f.Output > 0 && d > 0 {
		s.Step = ewma(s.Step, d/time.Duration(f.Output))
	}
	return s
}

// ewma returns avg updated with the observation v, but at least 1 ns.
func ewma(avg, v time.Duration) time.Duration {
	return max(avg+(v-avg)/ewmaDivisor, 1)
}
