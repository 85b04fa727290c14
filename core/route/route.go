// Package route chooses the agent that an entry offers a request to. It compares
// predicted completion times, worked out from reports that are known to be old
// and from what this entry has sent since.
//
// # Usage
//
//	r := route.New("dc-1", "north", seed)
//	r.Apply(now, targets)            // the instance list
//	r.Report(now, "engine-3", load)  // what an agent said
//	c, err := r.Choose(now, want, tried)
//	r.Sent(now, c.Target.Name, want) // once the offer leaves
//	r.Refused(now, name, want, e)    // if the agent refuses it
//
// All times are the entry's uptime. A Router is not safe for concurrent use.
package route

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kingcupstand/core/call"
	"kingcupstand/core/gate"
)

// Errors of Router.Choose.
var (
	// ErrNoTarget means that no live target serves the model or service.
	ErrNoTarget = errors.New("no live target")
	// ErrRefused means that every live target has refused the request.
	ErrRefused = errors.New("every live target refused")
	// ErrShedding means that a higher tier of the same model is being shed.
	ErrShedding = errors.New("a higher tier is being shed")
)

// Sizes and times of a Router.
const (
	// refusalLife is how long a refusal stands for requests of the same workspace
	// and the same or a lower tier. It bounds the refused offers that overload can
	// cause.
	refusalLife = 100 * time.Millisecond
	// refusals is the number of refusals that are remembered for each target.
	refusals = 16
	// shedHold is how long lower tiers of a model are refused after a tier was shed.
	shedHold = time.Second
	// suspectLife is how long a target is avoided after its link failed.
	suspectLife = 2 * time.Second
)

// Target is one agent with its target, as the instance list shows it.
type Target struct {
	Name       string
	Peer       string
	Region     string
	DataCentre string
	Models     []string
	Service    string
	Leaving    bool
}

// serves reports whether the target can run requests for w.
func (t Target) serves(w Request) bool {
	if w.Service != "" {
		return t.Service == w.Service
	}
	return slices.Contains(t.Models, w.Model)
}

// Request is what a request needs of a target.
type Request struct {
	Model     string
	Service   string
	Workspace string
	Rank      call.Rank
	// Wait is true if the request waits at an agent rather than being shed.
	Wait bool
	// Prompt and Output are estimates in tokens.
	Prompt, Output int
	// Prefix identifies the prompt's leading part, which has Shared tokens; 0 if
	// there is none.
	Prefix       uint64
	PrefixTokens int
}

// key names the group of targets that a request can go to.
func (w Request) key() string {
	if w.Service != "" {
		return "service/" + w.Service
	}
	return "model/" + w.Model
}

// Choice is a target and what is known of its agent.
type Choice struct {
	Target Target
	// Incarnation is 0 if the agent has not reported yet.
	Incarnation uint64
	// Uptime is the agent's uptime now, never more than its true uptime.
	Uptime time.Duration
	// Cached is how many prompt tokens are believed to be in the target's cache.
	Cached int
}

// view is what a Router believes of one target.
type view struct {
	target Target
	// hash is the target's part in the choice of homes.
	hash       uint64
	load       gate.Load
	reportedAt time.Duration
	// pending is the predicted time of what was sent since the report.
	pending      time.Duration
	suspectUntil time.Duration
	refusals     [refusals]refusal
}

// refusal is an agent's refusal for want of capacity. It stands for requests of
// the same workspace, as another may be within its share.
type refusal struct {
	workspace string
	rank      call.Rank
	until     time.Duration
}

// refuse notes a refusal in place of the oldest one.
func (v *view) refuse(f refusal) {
	oldest := 0
	for i, o := range v.refusals {
		if o.workspace == f.workspace && o.rank == f.rank {
			oldest = i
			break
		}
		if o.until < v.refusals[oldest].until {
			oldest = i
		}
	}
	v.refusals[oldest] = f
}

// refuses reports whether a refusal stands for a request.
func (v *view) refuses(now time.Duration, w Request) bool {
	for _, f := range v.refusals {
		if now < f.until && f.workspace == w.Workspace && !f.rank.Below(w.Rank) {
			return true
		}
	}
	return false
}

// shedding is a tier that is being shed for one group of targets.
type shedding struct {
	rank  call.Rank
	until time.Duration
}

// Router holds an entry's view of all targets.
type Router struct {
	region   string
	centre   string
	views    map[string]*view
	groups   map[string][]*view
	sheds    map[string]shedding
	prefixes *simplelru.LRU[uint64, belief]
	random   *rand.Rand
}

// New returns a Router for an entry in the given place. Choices between equals
// follow the seed.
func New(centre, region string, seed uint64) *Router {
	l, err := simplelru.NewLRU[uint64, belief](prefixes, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Router{
		region:   region,
		centre:   centre,
		views:    make(map[string]*view),
		groups:   make(map[string][]*view),
		sheds:    make(map[string]shedding),
		prefixes: l,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Apply replaces the targets by those of a new instance list. What is known of
// targets that stay is kept, unless they moved to another address.
func (r *Router) Apply(ts []Target) {
	views := make(map[string]*view, len(ts))
	for _, t := range ts {
		v, ok := r.views[t.Name]
		if !ok || v.target.Peer != t.Peer {
			v = &view{hash: xxhash.Sum64String(t.Name)}
		}
		v.target = t
		views[t.Name] = v
	}
	r.views = views
	r.group()
}

// group lists the targets of each model and service, in a stable order.
func (r *Router) group() {
	r.groups = make(map[string][]*view)
	names := make([]string, 0, len(r.views))
	for n := range r.views {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		v := r.views[n]
		if v.target.Service != "" {
			r.join(Request{Service: v.target.Service}.key(), v)
		}
		for _, m := range v.target.Models {
			r.join(Request{Model: m}.key(), v)
		}
	}
}

func (r *Router) join(key string, v *view) {
	r.groups[key] = append(r.groups[key], v)
}

// Targets returns all targets in the order of their names.
func (r *Router) Targets() []Target {
	ts := make([]Target, 0, len(r.views))
	for _, v := range r.views {
		ts = append(ts, v.target)
	}
	slices.SortFunc(ts, func(a, b Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return ts
}

// Report takes an agent's report. Reports of one incarnation that are older
// than the last one are ignored.
func (r *Router) Report(now time.Duration, name string, l gate.Load) {
	v, ok := r.views[name]
	if !ok || (l.Incarnation == v.load.Incarnation && l.Uptime < v.load.Uptime) {
		return
	}
	v.load = l
	v.reportedAt = now
	v.pending = 0
	v.suspectUntil = 0
}

// Suspect avoids a target for a while because its link failed. Suspicion
// affects routing only; it never decides what is said about a request.
func (r *Router) Suspect(now time.Duration, name string) {
	if v, ok := r.views[name]; ok {
		v.suspectUntil = now + suspectLife
	}
}

// Sent counts an offer that left for a target.
func (r *Router) Sent(now time.Duration, name string, w Request) {
	v, ok := r.views[name]
	if !ok {
		return
	}
	v.pending += v.load.Speed.Time(w.Prompt, w.Output)
	if w.Prefix != 0 {
		r.prefixes.Add(w.Prefix, belief{target: name, at: now, tokens: w.PrefixTokens})
	}
}

// Refused notes that a target refused a request in its current state.
func (r *Router) Refused(now time.Duration, name string, w Request, e call.Outcome) {
	v, ok := r.views[name]
	if !ok {
		return
	}
	switch e.Reason {
	case call.ReasonOverload, call.ReasonDeadlinePassed:
		v.refuse(refusal{workspace: w.Workspace, rank: w.Rank, until: now + refusalLife})
	case call.ReasonLeaving:
		v.load.Leaving = true
	case call.ReasonWrongIncarnation:
		v.load.Incarnation = 0
	}
}

// Shed notes that a request was shed, so that lower tiers of the same group are
// refused for a while.
func (r *Router) Shed(now time.Duration, w Request) {
	s := r.sheds[w.key()]
	if now < s.until && w.Rank.Below(s.rank) {
		return
	}
	r.sheds[w.key()] = shedding{rank: w.Rank, until: now + shedHold}
}

// Choose returns the target with the earliest predicted completion among a
// sample of those that have not been tried.
func (r *Router) Choose(now time.Duration, w Request, tried []string) (Choice, error) {
	if s := r.sheds[w.key()]; now < s.until && w.Rank.Below(s.rank) && !w.Wait {
		return Choice{}, ErrShedding
	}
	g := r.groups[w.key()]
	best, err := r.best(now, w, g, tried)
	if err != nil {
		return Choice{}, err
	}
	return r.choice(now, w, best), nil
}

// Lookup returns the named target, for a request whose id names it.
func (r *Router) Lookup(now time.Duration, w Request, name string) (Choice, error) {
	v, ok := r.views[name]
	if !ok || !v.target.serves(w) {
		return Choice{}, ErrNoTarget
	}
	return r.choice(now, w, v), nil
}

func (r *Router) choice(now time.Duration, w Request, v *view) Choice {
	return Choice{
		Target:      v.target,
		Incarnation: v.load.Incarnation,
		Uptime:      v.load.Uptime + now - v.reportedAt,
		Cached:      r.warmth(now, w).cached(v),
	}
}
