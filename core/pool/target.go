package pool

import (
	"math"
	"time"

	"kingcupstand/core/limit"
	"kingcupstand/core/warm"
)

// Outcome is the result of a dispatch, as far as it concerns the target.
type Outcome int

// Outcomes of dispatches.
const (
	// Good means that a complete response arrived.
	Good Outcome = iota
	// Neutral is a result that gives no information about the target, for example that
	// the caller disconnected or the deadline passed.
	Neutral
	// Failed means that the response reports a failure.
	Failed
	// Rejected means that the target was full.
	Rejected
	// Broken means that the response was cut off, invalid or missing.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Misdirected means that the request was refused as one for another target.
	Misdirected
)

// Initial estimates, used until there are responses. They affect only the first
// choices, because the measured values replace them within a few responses.
const (
	// defaultSetup and defaultPerToken predict the first event of an engine.
	defaultSetup    = 8 * time.Millisecond
	defaultPerToken = 20 * time.Microsecond
	// defaultEventGap is the gap between the events of a stream.
	defaultEventGap = 25 * time.Millisecond
	// defaultPlainTime is the time to the first byte of a plain service.
	defaultPlainTime = 20 * time.Millisecond
	// sampleWeight is the weight of a new sample in an exponentially weighted average.
	sampleWeight = 0.2
	// maxSlowdown and minSlowdown bound the measured slowdown of a target.
	maxSlowdown = 20.0
	minSlowdown = 0.1
)

// Parameters of suspension, failure rates and slots.
const (
	// fullBackoff is how long a target gets nothing after it was full. A slot of an
	// engine's batch becomes free about this often.
	fullBackoff = 60 * time.Millisecond
	// minBackoff is how long a target is suspended after a failure. The time doubles
	// with each consecutive suspension up to maxBackoff, which is shorter than the time
	// after which the platform removes a dead target.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// failureTimeConstant is the time constant with which the failure rate decays.
	failureTimeConstant = 4 * time.Second
	// deadlineShare is the share of the time left within which a response must be expected
	// to end, as its length is known only roughly.
	deadlineShare = 0.8
	// slowerFactor is how much longer than at the fastest target a response that is not
	// expected to end in time anywhere, or a prompt that causes a long gap anywhere, may take.
	slowerFactor = 1.3
	// maxGapShare is the share of the longest gap that prefilling may cause.
	maxGapShare = 0.5
	// slowdownTimeConstant is the time constant with which a slowdown decays.
	slowdownTimeConstant = 10 * time.Second
	// plainSlotFactor is the number of requests that a plain service gets per slot: its
	// requests are short and it queues a few itself.
	plainSlotFactor = 2.0
)

// target is the state of one target.
type target struct {
	Target
	// peers holds what each peer has in flight here, and elsewhere the sum.
	peers     map[string]Use
	elsewhere struct{ running, promptTokens, failing, recent int }
	// ownRunning is the number of this front's requests in flight, and ownTokens the
	// prompt tokens of those whose first event has not arrived.
	ownRunning int
	ownTokens  int
	// credits is how many more requests this front may send to other fronts' slots
	// before the next round of heartbeats.
	credits float64
	// enforced is true if the assignment of slots is enforced: this front may then use
	// other fronts' slots only with credits or Criteria.Oversubscribe.
	enforced bool
	// ownSlots is the number of slots that this front owns.
	ownSlots int
	// ended is true if the process has ended; see ObserveEnd.
	ended bool
	// estimator is shared by the targets of a service.
	estimator *estimator
	// slowdown is the response time relative to the estimate, as of slowdownAt.
	slowdown    float64
	slowdownAt  time.Duration
	eventGap    time.Duration
	failureRate decayingAverage
	// fullUntil is the time until which the target is assumed to be full.
	fullUntil time.Duration
	// suspendedUntil is the end of the suspension, and backoff the length of the next
	// one. A backoff of more than minBackoff means that no response has begun to arrive
	// since the last suspension.
	suspendedUntil time.Duration
	backoff        time.Duration
	// probing is true while the probe request after a suspension or a pause is in flight.
	probing bool
	// misdirected is true if the latest request was refused as one for another target, and shared if
	// another target is listed with the same address.
	misdirected, shared bool
	// limit is the rate of requests that the target takes, and sent the number of requests
	// that this front has sent.
	limit limit.Limit
	sent  int
	// notices is what the process has said of itself in its responses.
	notices notices
	// drained is true while the target's data centre is drained.
	drained bool
	warmUp
}

func newTarget(e *estimator) *target {
	return &target{peers: map[string]Use{}, estimator: e, slowdown: 1, eventGap: defaultEventGap, backoff: minBackoff, warmUp: warmUp{pacer: warm.NewPacer(warm.Terms{})}}
}

// setPeer replaces what a peer has in flight here.
func (t *target) setPeer(peer string, u Use) {
	t.removePeer(peer)
	t.peers[peer] = u
	t.addElsewhere(u, 1)
}

// removePeer discards what a peer has in flight here.
func (t *target) removePeer(peer string) {
	if u, ok := t.peers[peer]; ok {
		delete(t.peers, peer)
		t.addElsewhere(u, -1)
	}
}

// addElsewhere adds a use to the sum of the peers, or takes it off if sign is -1.
func (t *target) addElsewhere(u Use, sign int) {
	t.elsewhere.running += sign * u.Running
	t.elsewhere.promptTokens += sign * u.PromptTokens
	t.elsewhere.recent += sign * u.Recent
	if u.Failing {
		t.elsewhere.failing += sign
	}
}

// running returns the number of requests in flight from all fronts.
func (t *target) running() int { return t.ownRunning + t.elsewhere.running }

// places returns the number of requests that may be in flight.
func (t *target) places() int {
	if t.Engine {
		return t.Slots
	}
	return int(float64(t.Slots) * plainSlotFactor)
}

// hasSlot reports whether this front may send one more request. It may always
// fill its own slots, and other fronts' slots only while it has credits, because the
// requests that peers have sent since their last heartbeats are not known yet.
func (t *target) hasSlot() bool {
	if t.running() >= t.places() {
		return false
	}
	return !t.Engine || !t.enforced || t.ownRunning < t.ownSlots || t.credits >= 1
}

// acceptsExtra reports whether a full engine may get one request beyond its slots: as
// far as is known, no other request waits for its next free slot.
func (t *target) acceptsExtra() bool { return t.Engine && t.running() <= t.places() }

// freeSlots returns the number of free slots.
func (t *target) freeSlots() int { return max(0, t.places()-t.running()) }

// openPlaces returns the number of slots that are in use or that requests may be sent to now.
// It is less than places if the target names a limit or warms up.
func (t *target) openPlaces(now time.Duration) int {
	if !t.limit.Rate().Named && !t.pacer.Warming(now) {
		return t.places()
	}
	n := t.running()
	if t.limit.Allows(now) && t.pacer.Allows(now, t.elsewhere.recent) {
		n++
	}
	return min(n, t.places())
}

// refillCredits adds this front's share of the free slots to its credits. What all fronts
// together add matches the free slots, so that they don't overload a target that has just
// started or recovered. It also sets enforced for the given number of fronts.
func (t *target) refillCredits(now time.Duration, fronts int) {
	t.enforced = fronts > 1
	if t.notices.paused(now) {
		return
	}
	n := float64(t.freeSlots())
	t.credits = min(n, t.credits+n/float64(max(1, fronts)))
}

// usable reports whether the target may get a request now. After a suspension or a pause it
// gets one probe at a time. While a peer has suspended it, it gets one request at a time from
// this front.
func (t *target) usable(now time.Duration) bool {
	if now < t.suspendedUntil || t.notices.paused(now) || t.probing && (t.backoff > minBackoff || t.notices.returning) {
		return false
	}
	if t.backoff > minBackoff {
		return true
	}
	return t.elsewhere.failing == 0 || t.ownRunning == 0
}

// replaced reports whether the target has ended, as its address belongs to another one. A refusal
// alone doesn't show that: the target may have other reasons for it.
func (t *target) replaced() bool { return t.misdirected && t.shared }

// prefillTokens returns the number of prompt tokens that are prefilled before the
// response to a prompt begins, those of the prompt included.
func (t *target) prefillTokens(prompt int) int {
	return prompt + t.ownTokens + t.elsewhere.promptTokens
}

// currentSlowdown returns the slowdown, which decays to 1 while there are no responses:
// a target that was avoided for a while may have recovered.
func (t *target) currentSlowdown(now time.Duration) float64 {
	return math.Pow(t.slowdown, math.Exp(-float64(now-t.slowdownAt)/float64(slowdownTimeConstant)))
}

// predictFirstByte returns the predicted time to the first byte of a response.
func (t *target) predictFirstByte(now time.Duration, prompt int) time.Duration {
	if !t.Engine {
		return time.Duration(t.currentSlowdown(now) * float64(defaultPlainTime))
	}
	return t.predictPrefill(now, t.prefillTokens(prompt))
}

// predictPrefill returns the predicted time to the first byte of an engine that has the given
// number of prompt tokens to prefill.
func (t *target) predictPrefill(now time.Duration, tokens int) time.Duration {
	return time.Duration(t.currentSlowdown(now) * float64(t.estimator.predict(tokens)))
}

// predictOutput returns the predicted time from the first to the last event of a response.
func (t *target) predictOutput(events float64) time.Duration {
	return time.Duration(events * float64(t.eventGap))
}

// times are the times that a target is expected to need for a request alone.
type times struct{ firstByte, output time.Duration }

// suits reports whether an engine is expected to finish the response in time, and to prefill
// the prompt without a long gap in the streams that it runs, or to need hardly more time for
// either than the fastest one.
func (t *target) suits(now time.Duration, c Criteria, fastest times) bool {
	if !t.Engine {
		return true
	}
	first, output := t.predictFirstByte(now, c.PromptTokens), t.predictOutput(c.Events)
	if c.Events > 0 && c.TimeLeft > 0 && float64(first+output) > deadlineShare*float64(c.TimeLeft) && float64(output) > slowerFactor*float64(fastest.output) {
		return false
	}
	return c.AllowGaps || c.MaxGap == 0 || t.running() == 0 || float64(first) <= max(maxGapShare*float64(c.MaxGap), slowerFactor*float64(fastest.firstByte))
}

func (t *target) begin(now time.Duration, prompt int) {
	if t.ownRunning >= t.ownSlots {
		t.credits = max(0, t.credits-1)
	}
	t.limit.Take(now)
	t.pacer.Take(now)
	t.sent++
	t.ownRunning++
	t.ownTokens += prompt
	if t.backoff > minBackoff && now >= t.suspendedUntil || t.notices.probing(now) {
		t.probing = true
	}
}

// observeFirstByte updates the estimates with a first byte that arrived after d, where
// prefill tokens had to be prefilled. The slowdown is averaged geometrically.
func (t *target) observeFirstByte(now time.Duration, prompt, prefill int, d time.Duration) {
	t.ownTokens = max(0, t.ownTokens-prompt)
	e := defaultPlainTime
	if t.Engine {
		e = t.estimator.predict(prefill)
		t.estimator.observe(prefill, d)
	}
	r := min(maxSlowdown, max(minSlowdown, float64(d)/float64(e)))
	f := t.currentSlowdown(now)
	t.slowdown, t.slowdownAt = f*math.Pow(r/f, sampleWeight), now
	t.resume(now)
}

func (t *target) observeEventGap(d time.Duration) {
	t.eventGap += time.Duration(sampleWeight * float64(d-t.eventGap))
}

// resume ends a suspension and resets the backoff, as the target has taken a request.
func (t *target) resume(now time.Duration) {
	t.notices.taken(now)
	t.answered(now)
	t.probing, t.misdirected, t.backoff, t.suspendedUntil = false, false, minBackoff, 0
}

// suspend suspends the target and doubles the backoff. It has no effect on a target
// that is suspended already.
func (t *target) suspend(now time.Duration) {
	if now < t.suspendedUntil {
		return
	}
	t.probing = false
	t.suspendedUntil = now + t.backoff
	t.backoff = min(maxBackoff, 2*t.backoff)
}

func (t *target) end(now time.Duration, prompt int, o Outcome) {
	t.ownRunning = max(0, t.ownRunning-1)
	t.ownTokens = max(0, t.ownTokens-prompt)
	if o != Neutral && o != Broken {
		t.misdirected = o == Misdirected
	}
	switch o {
	case Good:
		t.failureRate.add(now, 0)
		t.resume(now)
	case Neutral:
		t.probing = false
	case Failed:
		t.failureRate.add(now, 1)
		t.notices.taken(now)
		t.answered(now)
		t.probing = false
	case Rejected:
		t.fullUntil = now + fullBackoff
		t.answered(now)
		t.probing = false
	case Broken:
		t.failureRate.add(now, 1)
		t.suspend(now)
	case Unreachable, Misdirected:
		if t.replaced() {
			t.backoff = maxBackoff
		}
		t.suspend(now)
		t.lost = true
	}
}

// decayingAverage is an exponentially weighted average that also decays to 0 over time.
type decayingAverage struct {
	value   float64
	updated time.Duration
}

func (a *decayingAverage) get(now time.Duration) float64 {
	return a.value * math.Exp(-float64(now-a.updated)/float64(failureTimeConstant))
}

func (a *decayingAverage) add(now time.Duration, v float64) {
	a.value = a.get(now)*(1-sampleWeight) + sampleWeight*v
	a.updated = now
}
