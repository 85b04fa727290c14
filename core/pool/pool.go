// Package pool is a front's view of the targets that it sends to: how much each
// has in flight, how fast it is, whether it works, and which one is next.
//
// # Usage
//
//	p := pool.New("zone-1", random)
//	p.Apply(now, targets)
//	c, err := p.Choose(now, pool.Want{Service: "chat", Prompt: 800})
//	p.Begin(now, c.ID, 800)
//	p.First(now, c.ID, 800, c.Ahead, 230*time.Millisecond)
//	p.End(now, c.ID, 0, pool.Good)
//	p.Hear(now, "192.0.2.7:7600", uses)
//
// Every front sends to every target, so what the others have in flight counts as
// well. It comes with their beats and is a fraction of a second old; a choice
// therefore has a random part, so that fronts don't all pick the same target.
package pool

import (
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Reasons why no target can be chosen.
var (
	// ErrFull means that all usable targets have as much as they can run.
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
	Slots      int
	Leaving    bool
	// Born tells two processes that had one id apart.
	Born int64
	// Engine is true for a model engine.
	Engine bool
}

// Criteria describes the request that a target is chosen for.
type Criteria struct {
	Service string
	// PromptTokens is the number of prompt tokens; 0 for plain services.
	PromptTokens int
	// Exclude are the targets that must not be chosen.
	Exclude []string
	// NoRetry is true if a failure can't be repaired by a second send.
	NoRetry bool
	// Oversubscribe is true if the request may wait for a slot at a full target: it gets
	// the next one there, before what other fronts send after it.
	Oversubscribe bool
}

// Choice is the target that was chosen, with what decided it.
type Choice struct {
	ID      string
	Address string
	Born    int64
	Running int
	Slots   int
	// PrefillTokens are the prompt tokens that are read before the answer begins.
	PrefillTokens int
	// ExpectedFirstByte is the predicted time to the answer's first byte.
	ExpectedFirstByte time.Duration
}

// Use is what another front has in flight at one target.
type Use struct {
	Target       uint32
	Running      int
	PromptTokens int
	Failing      bool
}

// Pool is the view. It is not safe for concurrent use.
type Pool struct {
	dataCentre string
	random     *rand.Rand
	targets    map[string]*target
	hashes     map[uint32]*target
	services   map[string][]*target
	peers      map[string]map[uint32]Use
	fits       map[string]*fit
}

// New returns a Pool without targets for a front in the given data centre.
func New(dataCentre string, r *rand.Rand) *Pool {
	return &Pool{
		dataCentre: dataCentre,
		random:     r,
		targets:    map[string]*target{},
		hashes:     map[uint32]*target{},
		services:   map[string][]*target{},
		peers:      map[string]map[uint32]Use{},
		fits:       map[string]*fit{},
	}
}

func (p *Pool) fit(service string) *fit {
	f := p.fits[service]
	if f == nil {
		f = &fit{}
		p.fits[service] = f
	}
	return f
}

// SetOwnSlots sets how many slots of each target belong to this front.
func (p *Pool) SetOwnSlots(mine map[string]int) {
	for id, t := range p.targets {
		t.mine = mine[id]
	}
}

// RefillCredits renews what may be sent to other fronts' slots, once for each round of
// beats among so many fronts.
func (p *Pool) RefillCredits(fronts int) {
	for _, t := range p.targets {
		t.lend(fronts)
	}
}

// ExpectedFirstByte returns the time to the first byte at a target like the service's others
// with nothing else to read.
func (p *Pool) ExpectedFirstByte(service string, prompt int) time.Duration {
	return p.fit(service).at(prompt)
}

// Hash returns the short name of a target, service or workspace in beats.
func Hash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name)) // never fails
	return h.Sum32()
}

// SetTargets replaces the set of targets. What is known of those that stay is kept; one
// that started anew under its old id is a new target.
func (p *Pool) SetTargets(ts []Target) {
	old := p.targets
	p.targets = map[string]*target{}
	p.hashes = map[uint32]*target{}
	p.services = map[string][]*target{}
	for _, d := range ts {
		t, ok := old[d.ID]
		if !ok || t.Born != d.Born || t.Address != d.Address {
			t = newTarget(p.fit(d.Service))
			t.credit = 1
		}
		t.Target = d
		p.targets[d.ID] = t
		p.hashes[Hash(d.ID)] = t
		p.services[d.Service] = append(p.services[d.Service], t)
	}
	for peer := range p.peers {
		p.rebind(peer)
	}
}

// rebind adds a peer's uses to targets that were made anew.
func (p *Pool) rebind(peer string) {
	us := p.peers[peer]
	for h, u := range us {
		if t := p.hashes[h]; t != nil {
			t.peers[peer] = u
		}
	}
}

// Load sums up what is believed of a service's targets.
type Load struct {
	// Targets take new work, and Usable ones are not in doubt.
	Targets int
	Usable  int
	Slots   int
	// Running is what all fronts have in flight, and Own this front's part.
	Running    int
	OwnRunning int
	// OwnSlots are the slots that belong to this front.
	OwnSlots int
}

// Load returns the load of a service.
func (p *Pool) Load(now time.Duration, service string) Load {
	var l Load
	for _, t := range p.services[service] {
		l.Running += t.running()
		l.OwnRunning += t.own
		if t.Leaving {
			continue
		}
		l.Targets++
		if t.usable(now) {
			l.Usable++
			l.Slots += t.limit()
			l.OwnSlots += t.mine
		}
	}
	return l
}

// Targets returns the targets of a service that take new work.
func (p *Pool) Targets(service string) []Target {
	var ts []Target
	for _, t := range p.services[service] {
		if !t.Leaving {
			ts = append(ts, t.Target)
		}
	}
	return ts
}

// FreeSlots returns the number of unused slots of a service's usable targets.
func (p *Pool) FreeSlots(now time.Duration, service string) int {
	n := 0
	for _, t := range p.services[service] {
		if t.usable(now) {
			n += max(0, t.limit()-t.running())
		}
	}
	return n
}

// Choose returns the target that should answer first.
func (p *Pool) Choose(now time.Duration, w Criteria) (Choice, error) {
	var best *target
	var least time.Duration
	err := ErrNoTarget
	for _, t := range p.services[w.Service] {
		if t.Leaving || contains(w.Exclude, t.ID) || !t.usable(now) {
			continue
		}
		if !t.room() && (!w.Oversubscribe || !t.next()) || now < t.full {
			err = ErrFull
			continue
		}
		s := p.score(now, t, w)
		if best == nil || s < least {
			best, least = t, s
		}
	}
	if best == nil && errors.Is(err, ErrNoTarget) {
		best = p.doubtful(w)
	}
	if best == nil {
		return Choice{}, err
	}
	return Choice{
		ID:                best.ID,
		Address:           best.Address,
		Born:              best.Born,
		Running:           best.running(),
		Slots:             best.Slots,
		PrefillTokens:     best.ahead(w.PromptTokens),
		ExpectedFirstByte: best.predict(now, w.PromptTokens),
	}, nil
}

// doubtful returns the target whose doubt ends first, where all are in doubt: a
// try is worth more to a caller than a refusal. Each gets one request at a time.
func (p *Pool) doubtful(w Criteria) *target {
	var best *target
	for _, t := range p.services[w.Service] {
		if t.Leaving || t.own > 0 || contains(w.Exclude, t.ID) {
			continue
		}
		if best == nil || t.until < best.until {
			best = t
		}
	}
	return best
}

func contains(ids []string, id string) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}

// Weights of a choice.
const (
	// spread is the random part of a score. Beats are about 50 ms old, in which a
	// handful of sends are made elsewhere; a fifth separates fronts enough.
	spread = 0.2
	// failCost scores a target down for its share of failed answers: one that
	// fails half of them counts as several times slower.
	failCost = 8.0
	// riskCost is failCost for requests that a failure loses.
	riskCost = 24.0
	// distance is the round trip to another data centre.
	distance = 2 * time.Millisecond
)

// score is the predicted time to the first byte, weighted by what speaks against
// the target.
func (p *Pool) score(now time.Duration, t *target, w Criteria) time.Duration {
	s := float64(t.predict(now, w.PromptTokens))
	if t.DataCentre != p.dataCentre {
		s += float64(distance)
	}
	if t.Engine {
		// A fuller batch slows every token, and leaves less room for long prompts.
		s += float64(t.pace) * float64(t.running())
	} else {
		s *= 1 + float64(t.running())
	}
	c := failCost
	if w.NoRetry {
		c = riskCost
	}
	s *= 1 + c*t.fails.at(now)
	return time.Duration(s * (1 + spread*p.random.Float64()))
}

// Begin counts a request that is being sent.
func (p *Pool) Begin(now time.Duration, id string, prompt int) {
	if t := p.targets[id]; t != nil {
		t.begin(now, prompt)
	}
}

// ObserveFirstByte takes the time to the first byte of an answer.
func (p *Pool) ObserveFirstByte(now time.Duration, id string, prompt, ahead int, d time.Duration) {
	if t := p.targets[id]; t != nil {
		t.first(now, prompt, ahead, d)
	}
}

// ObserveEventGap takes the mean pause between events of a stream.
func (p *Pool) ObserveEventGap(id string, d time.Duration) {
	if t := p.targets[id]; t != nil {
		t.learnPace(d)
	}
}

// End counts a request that is over. Prompt is the part whose first event never came.
func (p *Pool) End(now time.Duration, id string, prompt int, o Outcome) {
	if t := p.targets[id]; t != nil {
		t.end(now, prompt, o)
	}
}

// MarkSilent notes that a target doesn't answer in time while its request still runs.
func (p *Pool) MarkSilent(now time.Duration, id string) {
	if t := p.targets[id]; t != nil {
		t.suspect(now)
	}
}

// SetPeer replaces what a peer has in flight.
func (p *Pool) SetPeer(peer string, us []Use) {
	p.RemovePeer(peer)
	m := map[uint32]Use{}
	for _, u := range us {
		m[u.Target] = u
	}
	p.peers[peer] = m
	p.rebind(peer)
}

// RemovePeer drops what a peer had in flight.
func (p *Pool) RemovePeer(peer string) {
	for h := range p.peers[peer] {
		if t := p.hashes[h]; t != nil {
			delete(t.peers, peer)
		}
	}
	delete(p.peers, peer)
}

// Uses returns what this front has in flight, for peers.
func (p *Pool) Uses(now time.Duration) []Use {
	var us []Use
	for _, t := range p.targets {
		f := now < t.until
		if t.own > 0 || f {
			us = append(us, Use{Target: Hash(t.ID), Running: t.own, PromptTokens: t.prompt, Failing: f})
		}
	}
	return us
}
