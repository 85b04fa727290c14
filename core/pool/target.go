package pool

import (
	"math"
	"time"
)

// Outcome is how a send ended, as far as it speaks of its target.
type Outcome int

// Outcomes of sends.
const (
	// Good is a whole answer.
	Good Outcome = iota
	// Neutral says nothing about the target: the caller left, or time ran out.
	Neutral
	// Failed is an answer that reports a failure.
	Failed
	// Rejected means that the target had no room.
	Rejected
	// Broken is an answer that was cut, wrong or never came.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
)

// Speeds that are assumed until answers have been seen. They only order the first
// choices; each target's own speed replaces them within a few answers.
const (
	assumedSetup   = 8 * time.Millisecond
	assumedToken   = 20 * time.Microsecond
	assumedPace    = 25 * time.Millisecond
	assumedService = 20 * time.Millisecond
	// learn is the weight of a new measurement against the old ones.
	learn = 0.2
	// slowest and fastest bound the factor by which a target differs.
	slowest = 20.0
	fastest = 0.1
)

// Times of doubt.
const (
	// fullPause is how long a target that had no room is left alone; a slot of a
	// batch comes free about this often.
	fullPause = 60 * time.Millisecond
	// firstDoubt is how long a target that broke off is left alone; it doubles
	// with each failure in a row up to longestDoubt, which is shorter than the
	// time in which the platform drops a dead target.
	firstDoubt   = 400 * time.Millisecond
	longestDoubt = 3 * time.Second
	// failMemory is the time in which the share of failures fades.
	failMemory = 4 * time.Second
	// divideFrom is the number of fronts from which slots are divided. Fewer meet
	// at one target less often than a division leaves slots idle.
	divideFrom = 8
	// slowMemory is the time in which the belief that a target is slow fades.
	slowMemory = 10 * time.Second
	// plainQueue is how many requests beyond its slots a plain service gets: its
	// work is short, and it queues a few itself.
	plainQueue = 2.0
)

// target is one target and what is known of it.
type target struct {
	Target
	peers map[string]Use
	// own is what this front has in flight, and prompt the tokens of it that have
	// not led to a first event.
	own    int
	prompt int
	// credit is how many more requests may go to other fronts' slots before the
	// next beats.
	credit float64
	// divided is true if slots belong to fronts.
	divided bool
	// mine is how many slots belong to this front.
	mine int
	fit  *fit
	// factor is how many times slower than the service's others the target is.
	factor  float64
	learned time.Duration
	pace    time.Duration
	fails   share
	// full is until when the target is believed to have no room.
	full time.Duration
	// until is when a target in doubt may be tried again, and doubt the pause
	// that the next failure sets.
	until  time.Duration
	doubt  time.Duration
	trying bool
}

func newTarget(f *fit) *target {
	return &target{peers: map[string]Use{}, fit: f, factor: 1, pace: assumedPace, doubt: firstDoubt}
}

// running returns what all fronts have in flight.
func (t *target) running() int {
	n := t.own
	for _, u := range t.peers {
		n += u.Running
	}
	return n
}

// limit returns how much the target is given at once.
func (t *target) limit() int {
	if t.Engine {
		return t.Slots
	}
	return int(float64(t.Slots) * plainQueue)
}

// room reports whether this front may send one more request. It fills its own
// slots, and others' only while its credit lasts: what peers have begun since their
// last beats is not seen yet.
func (t *target) room() bool {
	if t.running() >= t.limit() {
		return false
	}
	return !t.Engine || !t.divided || t.own < t.mine || t.credit >= 1
}

// next reports whether a full target has nobody that waits for its next slot, as far
// as is known.
func (t *target) next() bool { return t.Engine && t.running() <= t.limit() }

// spare returns how many of its slots nobody uses.
func (t *target) spare() int { return max(0, t.limit()-t.running()) }

// lend renews the credit: all fronts together get what is spare, so that a target
// that has just come or come back is not flooded by all of them.
func (t *target) lend(fronts int) {
	t.divided = fronts >= divideFrom
	n := float64(t.spare())
	t.credit = min(n, t.credit+n/float64(max(1, fronts)))
}

// usable reports whether the target may get work now. One that was in doubt gets
// a single request to prove itself.
func (t *target) usable(now time.Duration) bool {
	if now < t.until || (t.doubt > firstDoubt && t.trying) {
		return false
	}
	if t.doubt > firstDoubt {
		return true
	}
	for _, u := range t.peers {
		if u.Failing && t.own > 0 {
			return false
		}
	}
	return true
}

// ahead returns the prompt tokens that are read before an answer to a prompt
// begins, the prompt's own included.
func (t *target) ahead(prompt int) int {
	n := prompt + t.prompt
	for _, u := range t.peers {
		n += u.PromptTokens
	}
	return n
}

// slowness returns the factor by which the target is believed slower than others.
// The belief fades while no answer confirms it: a target that was avoided for long
// may have recovered.
func (t *target) slowness(now time.Duration) float64 {
	return math.Pow(t.factor, math.Exp(-float64(now-t.learned)/float64(slowMemory)))
}

// predict returns the time to the first byte of an answer.
func (t *target) predict(now time.Duration, prompt int) time.Duration {
	if !t.Engine {
		return time.Duration(t.slowness(now) * float64(assumedService))
	}
	return time.Duration(t.slowness(now) * float64(t.fit.at(t.ahead(prompt))))
}

func (t *target) begin(now time.Duration, prompt int) {
	if t.own >= t.mine {
		t.credit = max(0, t.credit-1)
	}
	t.own++
	t.prompt += prompt
	if t.doubt > firstDoubt && now >= t.until {
		t.trying = true
	}
}

// first learns from an answer's first byte, which came after d with the given
// tokens ahead.
func (t *target) first(now time.Duration, prompt, ahead int, d time.Duration) {
	t.prompt = max(0, t.prompt-prompt)
	e := assumedService
	if t.Engine {
		e = t.fit.at(ahead)
		t.fit.add(ahead, d)
	}
	r := min(slowest, max(fastest, float64(d)/float64(e)))
	f := t.slowness(now)
	t.factor, t.learned = f*math.Pow(r/f, learn), now
	t.trust(now)
}

func (t *target) learnPace(d time.Duration) {
	t.pace += time.Duration(learn * float64(d-t.pace))
}

// trust ends all doubt.
func (t *target) trust(time.Duration) {
	t.trying, t.doubt, t.until = false, firstDoubt, 0
}

// suspect leaves the target alone for a while.
func (t *target) suspect(now time.Duration) {
	if now < t.until {
		return
	}
	t.trying = false
	t.until = now + t.doubt
	t.doubt = min(longestDoubt, 2*t.doubt)
}

func (t *target) end(now time.Duration, prompt int, o Outcome) {
	t.own = max(0, t.own-1)
	t.prompt = max(0, t.prompt-prompt)
	switch o {
	case Good:
		t.fails.add(now, 0)
		t.trust(now)
	case Neutral:
		t.trying = false
	case Failed:
		t.fails.add(now, 1)
		t.trying = false
	case Rejected:
		t.full = now + fullPause
		t.trying = false
	case Broken:
		t.fails.add(now, 1)
		t.suspect(now)
	case Unreachable:
		t.suspect(now)
	}
}

// share is a part of events that fades with time.
type share struct {
	value float64
	last  time.Duration
}

func (s *share) at(now time.Duration) float64 {
	return s.value * math.Exp(-float64(now-s.last)/float64(failMemory))
}

func (s *share) add(now time.Duration, v float64) {
	s.value = s.at(now)*(1-learn) + learn*v
	s.last = now
}
