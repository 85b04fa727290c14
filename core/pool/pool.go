// Package pool tracks the targets that a front sends to and chooses one for each
// request. For each target it knows the requests in flight, the response times, the
// recent failures, and whether it is suspended after a failure.
//
// # Usage
//
//	p := pool.New("dc-1", random)
//	p.SetTargets(targets)
//	c, err := p.Choose(now, pool.Criteria{Service: "chat", PromptTokens: 800})
//	p.Begin(now, c.ID, 800)
//	p.ObserveFirstByte(now, c.ID, 800, c.PrefillTokens, 230*time.Millisecond)
//	p.End(now, c.ID, 0, pool.Good)
//	p.SetPeer("192.0.2.7:7600", uses)
//
// # Choice
//
// Choose takes the usable target with the smallest score. The score is the predicted
// time to the first byte, raised by the load, the recent failures and the distance of
// the target. It has a random component: every front sends to every target and knows
// what the others have in flight only as of their last heartbeat, a fraction of a second
// ago, so without it all fronts would choose the same target at once.
//
// A target is left out if it would probably not finish a response in time that another one
// can finish, because a response that is cut off at the deadline has occupied its slot in
// vain. Long responses therefore wait for fast engines, and others go past them. An engine
// is also left out, for a while, if prefilling the prompt would cause a long gap in the
// streams that it runs.
//
// # Versions
//
// Targets of a service may run different versions of their software. A stream may go on only
// at the version that began it; see Criteria.Pinned.
//
// # Slots
//
// As far as a front knows, the requests in flight at an engine don't exceed its slots,
// except for one request that Criteria.Oversubscribe permits. A plain service gets a
// multiple of its slots, because its requests are short and it queues a few itself. With
// several fronts each slot of an engine is assigned to one of them. A front may fill its own
// slots at any time, and other fronts' slots only while it has credits or if
// Criteria.Oversubscribe permits it. Each round of heartbeats gives every front an equal
// share of a target's free slots as credits, so that all fronts together don't overload a
// target that has just started or recovered.
//
// In a fleet that is too large for a heartbeat to reach all fronts, the slots of an engine belong
// to the fronts of its data centre, which exchange heartbeats more often; see SetRegional. Other
// fronts get a share of its free slots less often, prefer near engines, and never send to a far
// engine that is full.
//
// # Limits
//
// A target that names a limit gets no more requests a second than that from all fronts
// together: each front sends only its part, see package limit. The rule holds for every
// choice, also for probes and with Criteria.Oversubscribe.
//
// # Leaving and drained data centres
//
// A target that leaves gets no more requests, whether the list says so or the target itself in
// a response. The same holds for the targets of a data centre that an operator drains.
//
// # Warm-up
//
// A target that warms up gets only as many requests as its service's terms allow, from all fronts
// together; see package warm. The rule holds for every choice, also for probes and with
// Criteria.Oversubscribe.
//
// # Pauses
//
// A target that has asked this front for a pause gets nothing until its end, not even if all
// targets of its service are in a pause.
//
// # Suspension
//
// A target that can't be reached, sends nothing or breaks off a response is suspended,
// with exponential backoff. After that it gets a single probe request, and is used
// normally again once a response has begun to arrive. If all targets of a service are
// suspended, Choose still allows one request at a time to each.
package pool

import (
	"errors"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kingcupstand/core/warm"
)

// Reasons why no target can be chosen.
var (
	// ErrFull means that no usable target has a slot for the request.
	ErrFull = errors.New("all targets are full")
	// ErrNoTarget means that no usable target is known.
	ErrNoTarget = errors.New("no usable target")
)

// Target is one replica of a service.
type Target struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving is true if the target must get no new requests.
	Leaving bool
	// Born distinguishes successive processes with the same ID.
	Born int64
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// Version is the version of the target's software; "" if it is unknown.
	Version string
	// Warming is the rest of the target's warm-up as of its entry's last change.
	Warming time.Duration
}

// Choice is the chosen target, with the values that decided the choice.
type Choice struct {
	ID      string
	Address string
	Born    int64
	Version string
	Running int
	Slots   int
	// PrefillTokens is the number of prompt tokens that the engine prefills before the
	// first byte of the response, those of the request's own prompt included.
	PrefillTokens int
	// ExpectedFirstByte is the predicted time to the first byte.
	ExpectedFirstByte time.Duration
}

// Pool is the set of targets of one front. It is not safe for concurrent use.
type Pool struct {
	dataCentre string
	regional   bool
	random     *rand.Rand
	targets    map[string]*target
	byHash     map[uint32]*target
	byService  map[string][]*target
	peers      map[string]map[uint32]Use
	estimators map[string]*estimator
	// drained holds the names of the drained data centres, and warmTerms how targets warm up, by
	// service.
	drained   []string
	warmTerms map[string]warm.Terms
	// unlisted holds what targets have said that are not listed now, by ID.
	unlisted *simplelru.LRU[string, *unlisted]
}

// New returns a Pool without targets for a front in the given data centre.
func New(dataCentre string, r *rand.Rand) *Pool {
	// It fails only if the size is not positive.
	u, _ := simplelru.NewLRU[string, *unlisted](maxUnlisted, nil)
	return &Pool{
		dataCentre: dataCentre,
		random:     r,
		targets:    map[string]*target{},
		byHash:     map[uint32]*target{},
		byService:  map[string][]*target{},
		peers:      map[string]map[uint32]Use{},
		estimators: map[string]*estimator{},
		unlisted:   u,
	}
}

// estimator returns the estimator of a service, which it creates if necessary.
func (p *Pool) estimator(service string) *estimator {
	e := p.estimators[service]
	if e == nil {
		e = &estimator{}
		p.estimators[service] = e
	}
	return e
}

// SetOwnSlots sets how many slots of each target this front owns, by target ID.
func (p *Pool) SetOwnSlots(own map[string]int) {
	for id, t := range p.targets {
		t.ownSlots = own[id]
	}
}

// ExpectedFirstByte returns the predicted time to the first byte at an average engine
// of the service that has no other prompt to prefill, for a prompt of the given number
// of tokens.
func (p *Pool) ExpectedFirstByte(service string, prompt int) time.Duration {
	return p.estimator(service).predict(prompt)
}

// ExpectedHold returns how long a request is expected to occupy its slot at an average
// target of the service. Events is the expected number of events of its response.
func (p *Pool) ExpectedHold(service string, prompt int, events float64) time.Duration {
	var gap time.Duration
	ts := p.byService[service]
	for _, t := range ts {
		gap += t.eventGap / time.Duration(len(ts))
	}
	return p.ExpectedFirstByte(service, prompt) + time.Duration(events*float64(gap))
}

// Hash returns the hash that stands for the name of a target, service or workspace in
// heartbeats.
func Hash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name)) // never fails
	return h.Sum32()
}

// SetTargets replaces the set of targets. A target that is already known keeps its
// state, unless its address or Born has changed: then it is a new process.
func (p *Pool) SetTargets(ts []Target) {
	old := p.targets
	p.targets = map[string]*target{}
	p.byHash = map[uint32]*target{}
	p.byService = map[string][]*target{}
	at := map[string]int{}
	for _, d := range ts {
		at[d.Address]++
	}
	for _, d := range ts {
		t, ok := old[d.ID]
		if !ok || !t.is(d.Born, d.Address) {
			t = newTarget(p.estimator(d.Service))
			t.credits = 1
		}
		t.Target, t.shared = d, at[d.Address] > 1
		if !ok {
			p.restore(t)
		}
		t.pacer.SetTerms(p.warmTerms[d.Service])
		t.drained = slices.Contains(p.drained, d.DataCentre)
		t.Leaving = t.Leaving || t.notices.leaving
		p.targets[d.ID] = t
		p.byHash[Hash(d.ID)] = t
		p.byService[d.Service] = append(p.byService[d.Service], t)
	}
	for id, t := range old {
		if p.targets[id] == nil {
			p.keep(t)
		}
	}
	for peer := range p.peers {
		p.attachUses(peer)
	}
}

// DropServices drops what was learned of the services without targets that aren't used.
func (p *Pool) DropServices(used func(name string) bool) {
	maps.DeleteFunc(p.estimators, func(name string, _ *estimator) bool { return !p.HasTargets(name) && !used(name) })
}

// HasTargets reports whether a service has any target.
func (p *Pool) HasTargets(service string) bool { return len(p.byService[service]) > 0 }

// Begin records that a request with the given number of prompt tokens is sent to a
// target. Each call is followed by one of End. Begin, End and the methods that record
// observations ignore a target that is not in the pool.
func (p *Pool) Begin(now time.Duration, id string, prompt int) {
	if t := p.targets[id]; t != nil {
		t.begin(now, prompt)
	}
}

// ObserveFirstByte records that the first byte of a response arrived after d. Prompt is
// the number of prompt tokens that Begin was called with, and prefill the PrefillTokens of
// the Choice.
func (p *Pool) ObserveFirstByte(now time.Duration, id string, prompt, prefill int, d time.Duration) {
	if t := p.targets[id]; t != nil {
		t.observeFirstByte(now, prompt, prefill, d)
	}
}

// GapSample is the number of events of a stream after which its mean gap is to be recorded
// with ObserveEventGap. It is small enough for a target that turns slow to be noticed
// before its long responses end.
const GapSample = 16

// ObserveEventGap records the mean gap between successive events of a stream.
func (p *Pool) ObserveEventGap(id string, d time.Duration) {
	if t := p.targets[id]; t != nil {
		t.observeEventGap(d)
	}
}

// End records that a request has ended. Prompt is the number of prompt tokens that Begin
// was called with if ObserveFirstByte was not called for the request, and 0 otherwise.
func (p *Pool) End(now time.Duration, id string, prompt int, o Outcome) {
	if t := p.targets[id]; t != nil {
		t.end(now, prompt, o)
	}
}

// MarkStalled suspends a target that sends nothing although a request is in flight.
func (p *Pool) MarkStalled(now time.Duration, id string) {
	if t := p.targets[id]; t != nil {
		t.suspend(now)
		t.lost = true
	}
}
