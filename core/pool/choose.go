package pool

import (
	"errors"
	"math"
	"time"
)

// Choose returns the target with the smallest score. It returns ErrFull if no usable
// target has a slot for the request, and ErrNoTarget if there is no usable target and
// none that can be probed. A caller that sends the request calls Begin first.
func (p *Pool) Choose(now time.Duration, c Criteria) (Choice, error) {
	var best *target
	var least time.Duration
	err := ErrNoTarget
	f := p.fastest(now, c)
	for _, t := range p.byService[c.Service] {
		if !c.admits(t) || !t.usable(now) {
			continue
		}
		if !t.hasSlot() && (!c.Oversubscribe || p.far(t) || !t.acceptsExtra()) || now < t.fullUntil || !t.limit.Allows(now) || !t.pacer.Allows(now, t.elsewhere.recent) || !t.suits(now, c, f) {
			err = ErrFull
			continue
		}
		s := p.score(now, t, c)
		if best == nil || s < least {
			best, least = t, s
		}
	}
	if best == nil && errors.Is(err, ErrNoTarget) {
		best = p.suspended(now, c)
	}
	if best == nil {
		return Choice{}, err
	}
	return Choice{
		ID:                best.ID,
		Address:           best.Address,
		Born:              best.Born,
		Version:           best.Version,
		Running:           best.running(),
		Slots:             best.Slots,
		PrefillTokens:     best.prefillTokens(c.PromptTokens),
		ExpectedFirstByte: best.predictFirstByte(now, c.PromptTokens),
	}, nil
}

// fastest returns the shortest times that usable targets are expected to need for a request.
func (p *Pool) fastest(now time.Duration, c Criteria) times {
	f := times{firstByte: math.MaxInt64, output: math.MaxInt64}
	for _, t := range p.byService[c.Service] {
		if c.admits(t) && t.usable(now) {
			f.firstByte = min(f.firstByte, t.predictPrefill(now, c.PromptTokens))
			f.output = min(f.output, t.predictOutput(c.Events))
		}
	}
	return f
}

// suspended returns the target whose suspension ends first among those where this front
// has nothing in flight, or nil. It is used if no target is usable, because a dispatch that
// may fail is better for the caller than a refusal. One to a target that is replaced does fail, and
// the other one, which may be warming up, would get them all.
func (p *Pool) suspended(now time.Duration, c Criteria) *target {
	var best *target
	for _, t := range p.byService[c.Service] {
		if !c.admits(t) || t.replaced() || t.notices.paused(now) || t.ownRunning > 0 || !t.limit.Allows(now) || !t.pacer.Allows(now, t.elsewhere.recent) {
			continue
		}
		if best == nil || t.suspendedUntil < best.suspendedUntil {
			best = t
		}
	}
	return best
}

// Parameters of the score.
const (
	// jitter is the largest random part of a score, relative to the rest. Heartbeats
	// are about 50 ms old, in which other fronts send a handful of requests; 20%
	// is enough to make the fronts choose different targets.
	jitter = 0.2
	// failurePenalty is the weight of a target's failure rate: with 8, a target that
	// fails half of its requests counts as 5 times slower than without failures.
	failurePenalty = 8.0
	// noRetryPenalty replaces failurePenalty for requests that can't be sent again, and
	// so are lost if the target fails.
	noRetryPenalty = 24.0
	// outputWeight is the weight of the time in which the response is generated. It is far
	// below 1, because goals concern the first byte.
	outputWeight = 0.1
	// crossDataCentreRTT is the round-trip time to another data centre.
	crossDataCentreRTT = 2 * time.Millisecond
	// farPenalty is added for a far target, whose load may be a second old.
	farPenalty = 28 * time.Millisecond
)

// score returns the predicted time to the first byte, weighted by the load, the failure
// rate and the distance of the target.
func (p *Pool) score(now time.Duration, t *target, c Criteria) time.Duration {
	s := float64(t.predictFirstByte(now, c.PromptTokens))
	if t.DataCentre != p.dataCentre {
		s += float64(crossDataCentreRTT)
	}
	if p.far(t) {
		s += float64(farPenalty)
	}
	if t.Engine {
		// A larger batch slows down every token and leaves less room for long prompts.
		s += float64(t.eventGap)*float64(t.running()) + outputWeight*float64(t.predictOutput(c.Events))
	} else {
		s *= 1 + float64(t.running())
	}
	f := failurePenalty
	if c.NoRetry {
		f = noRetryPenalty
	}
	s *= 1 + f*t.failureRate.get(now)
	return time.Duration(s * (1 + jitter*p.random.Float64()))
}
