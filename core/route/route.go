// Package route chooses the agent that an entry offers a request to.
//
// # Algorithm
//
// A Router predicts when a request would be complete at a target: from the queue
// and speed in the agent's last load report, from what this entry has sent to it
// since, from the network distance, and from the part of the prompt that the target
// is expected to have in its prefix cache.
//
// It compares a small random sample of the targets. If this entry has sent the
// prompt's prefix to a target recently, it also compares that target and the one that
// all entries prefer for the prefix. Load reports are always somewhat old and don't
// show what other entries have sent since. Entries that compared all targets by the
// same reports would tend to choose the same ones until the next reports.
//
// Targets that refused a similar request or whose link failed a moment ago, that are
// leaving or that have not reported yet are passed over. After a request was shed,
// requests of lower tiers for the same model or service are refused for a while,
// except those that must wait, so that they don't run where a higher tier was shed.
//
// # Invariants
//
//   - The view of a target affects routing only, never the outcome that is reported
//     for a request.
//   - A request is reported as refused by all only after the whole group of targets
//     was searched, not just the sample.
//
// # Usage
//
//	r := route.New("dc-1", "north", seed)
//	r.Apply(targets)                // the instance list
//	r.Report(now, "engine-3", load) // an agent's load report
//	c, err := r.Choose(now, request, tried)
//	r.Sent(now, c.Target.Name, request)             // once the offer is sent
//	r.Refused(now, c.Target.Name, request, outcome) // if the agent refuses it
//	r.Shed(now, request)                            // if it was shed after all agents refused it
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

// Errors of Router.Choose and Router.Lookup.
var (
	// ErrNoTarget means that no live target serves the model or service.
	ErrNoTarget = errors.New("no live target")
	// ErrRefused means that every live target was tried, or refused a similar
	// request a moment ago.
	ErrRefused = errors.New("every live target refused")
	// ErrShedding means that a higher tier of the same model or service is being
	// shed.
	ErrShedding = errors.New("a higher tier is being shed")
)

// Sizes and durations of a Router.
const (
	// refusalTTL is how long a refusal applies to requests of the same workspace
	// and the same or a lower tier. It bounds the number of refused offers under
	// overload.
	refusalTTL = 100 * time.Millisecond
	// maxRefusals is the number of refusals recorded for each target.
	maxRefusals = 16
	// shedHold is how long lower tiers of a model or service are refused after a
	// request was shed.
	shedHold = time.Second
	// suspectTTL is how long a target is avoided after its link failed, unless it
	// reports earlier.
	suspectTTL = 2 * time.Second
)

// Target is a target and its agent, as listed in the instance list.
type Target struct {
	Name string
	// Peer is the address of the agent.
	Peer       string
	Region     string
	DataCentre string
	Models     []string
	Service    string
	// Leaving is true if the target takes no new requests.
	Leaving bool
}

// serves reports whether the target serves the model or service of q.
func (t Target) serves(q Request) bool {
	if q.Service != "" {
		return t.Service == q.Service
	}
	return slices.Contains(t.Models, q.Model)
}

// Request describes a request to be routed.
type Request struct {
	// Either Model or Service is set.
	Model     string
	Service   string
	Workspace string
	Rank      call.Rank
	// Wait is true if the request waits in an agent's queue under overload instead
	// of being shed.
	Wait bool
	// Prompt and Output are estimated numbers of tokens.
	Prompt, Output int
	// Prefix identifies the leading part of the prompt, of PrefixTokens tokens; 0
	// if there is none.
	Prefix       uint64
	PrefixTokens int
}

// key returns the name of the group of targets that can run the request.
func (q Request) key() string {
	if q.Service != "" {
		return "service/" + q.Service
	}
	return "model/" + q.Model
}

// Choice is a chosen target and what is known of its agent.
type Choice struct {
	Target Target
	// Incarnation is 0 if the agent has not reported yet, or has not reported since
	// a refusal with call.ReasonWrongIncarnation.
	Incarnation uint64
	// Uptime is the agent's uptime now; it is never more than the true uptime. It is
	// meaningless if Incarnation is 0.
	Uptime time.Duration
	// Cached is the number of prompt tokens that are expected to be in the target's
	// prefix cache.
	Cached int
}

// view is what a Router knows of one target.
type view struct {
	target Target
	// hash is the hash of the target's name for rendezvous hashing.
	hash       uint64
	load       gate.Load
	reportedAt time.Duration
	// pending is the predicted time of the requests sent since the last report.
	pending      time.Duration
	suspectUntil time.Duration
	refusals     [maxRefusals]refusal
}

// refusal is a refusal for lack of capacity. It applies only to requests of the
// same workspace, as other workspaces may be within their share.
type refusal struct {
	workspace string
	rank      call.Rank
	until     time.Duration
}

// refuse records a refusal in place of the one for the same workspace and rank, or
// else of the oldest one.
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

// refuses reports whether a recorded refusal applies to a request.
func (v *view) refuses(now time.Duration, q Request) bool {
	for _, f := range v.refusals {
		if now < f.until && f.workspace == q.Workspace && !f.rank.Below(q.Rank) {
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

// Router holds an entry's view of all targets and chooses among them.
type Router struct {
	region string
	centre string
	// views are by target name; groups and sheds are by Request.key.
	views    map[string]*view
	groups   map[string][]*view
	sheds    map[string]shedding
	prefixes *simplelru.LRU[uint64, prefixRecord]
	random   *rand.Rand
}

// New returns a Router for an entry in the given data centre and region. The random
// samples depend only on the seed.
func New(centre, region string, seed uint64) *Router {
	l, err := simplelru.NewLRU[uint64, prefixRecord](maxPrefixes, nil)
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
// remaining targets is kept, unless their address changed.
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

// group builds the groups of targets by model and service, in the order of target
// names.
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

// Report handles an agent's load report. It replaces the last report and the
// estimate of what was sent since, and the target is no longer suspected. Reports
// for unknown targets are ignored, and so are those older than the last one of the
// same incarnation.
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

// Suspect avoids a target for a while because its link failed. This affects routing
// only, never the outcome that is reported for a request.
func (r *Router) Suspect(now time.Duration, name string) {
	if v, ok := r.views[name]; ok {
		v.suspectUntil = now + suspectTTL
	}
}

// Sent records that an offer of the request was sent to a target, whose cache will
// then hold the prefix.
func (r *Router) Sent(now time.Duration, name string, q Request) {
	v, ok := r.views[name]
	if !ok {
		return
	}
	v.pending += v.load.Speed.Time(q.Prompt, q.Output)
	if q.Prefix != 0 {
		r.prefixes.Add(q.Prefix, prefixRecord{target: name, at: now, tokens: q.PrefixTokens})
	}
}

// Refused records that a target refused a request with the given outcome. After a
// refusal for lack of capacity, similar requests are not offered to the target for
// a while. If the agent is leaving or was replaced by another incarnation, the
// target is not used until its next report.
func (r *Router) Refused(now time.Duration, name string, q Request, e call.Outcome) {
	v, ok := r.views[name]
	if !ok {
		return
	}
	switch e.Reason {
	case call.ReasonOverload, call.ReasonDeadlinePassed:
		v.refuse(refusal{workspace: q.Workspace, rank: q.Rank, until: now + refusalTTL})
	case call.ReasonLeaving:
		v.load.Leaving = true
	case call.ReasonWrongIncarnation:
		v.load.Incarnation = 0
	}
}

// Shed records that a request was shed, so that lower tiers of the same group are
// refused for a while.
func (r *Router) Shed(now time.Duration, q Request) {
	s := r.sheds[q.key()]
	if now < s.until && q.Rank.Below(s.rank) {
		return
	}
	r.sheds[q.key()] = shedding{rank: q.Rank, until: now + shedHold}
}

// Choose returns the target with the earliest predicted completion among a sample
// of the targets that are not in tried. It returns ErrShedding, ErrRefused or
// ErrNoTarget if there is none.
func (r *Router) Choose(now time.Duration, q Request, tried []string) (Choice, error) {
	if s := r.sheds[q.key()]; now < s.until && q.Rank.Below(s.rank) && !q.Wait {
		return Choice{}, ErrShedding
	}
	g := r.groups[q.key()]
	best, err := r.best(now, q, g, tried)
	if err != nil {
		return Choice{}, err
	}
	return r.choice(now, q, best), nil
}

// Lookup returns the named target, live or not, for a request whose id names it. It
// returns ErrNoTarget if the target is not listed or does not serve the request.
func (r *Router) Lookup(now time.Duration, q Request, name string) (Choice, error) {
	v, ok := r.views[name]
	if !ok || !v.target.serves(q) {
		return Choice{}, ErrNoTarget
	}
	return r.choice(now, q, v), nil
}

func (r *Router) choice(now time.Duration, q Request, v *view) Choice {
	return Choice{
		Target:      v.target,
		Incarnation: v.load.Incarnation,
		Uptime:      v.load.Uptime + now - v.reportedAt,
		Cached:      r.affinity(now, q).cached(v),
	}
}
