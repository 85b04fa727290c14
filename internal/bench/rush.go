package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pattern is a load pattern that is played against the decisions of fronts. Fronts
// know of each other only what their beats say, and callers who are refused come
// back once, to another front.
type Pattern struct {
	// Name says the pattern.
	Name   string
	fronts int
	// uneven gives the first front as many callers as all others together.
	uneven  bool
	engines []spec
	kinds   []kind
	length  time.Duration
	// from and to bound the rush, in which x times as many requests come.
	from, to time.Duration
	x        float64
	// darkAt silences every fourth engine without a word, and slowAt makes every
	// third three times as slow. 0 means never.
	darkAt, slowAt time.Duration
}

// kind is a kind of request. Sizes vary from half to twice the mean.
type kind struct {
	// order is its rank among the kinds of its tier.
	order  int
	goal   time.Duration
	limit  time.Duration
	each   float64 // requests a second outside the rush
	prompt int
	output int
	// worth is what an answer on time counts, and late what one counts after that.
	worth, late float64
}

// caller is one request of a rush, over all its attempts.
type caller struct {
	*request
	kind *kind
	// came is when it sent its first attempt.
	came    time.Duration
	refused int
	// idle adds up the part of sound engines' slots that were free at its refusals.
	idle float64
}

// earned returns what the caller's answer counts.
func (c *caller) earned() float64 {
	switch {
	case c.done == 0 || c.done > c.came+c.kind.limit:
		return 0
	case c.first <= c.came+c.kind.goal:
		return c.kind.worth
	default:
		return c.kind.late
	}
}

// Patterns returns the load patterns.
func Patterns() []Pattern {
	// Kinds as on the sheets of both operators: few long requests that are worth
	// much, many middle ones, and short answers to middling prompts.
	kinds := []kind{
		{order: 0, goal: 800 * time.Millisecond, limit: 15 * time.Second, each: 24, prompt: 6600, output: 385, worth: 10, late: 3},
		{order: 1, goal: 400 * time.Millisecond, limit: 12 * time.Second, each: 66, prompt: 640, output: 294, worth: 1.75, late: 0.5},
		{order: 2, goal: 400 * time.Millisecond, limit: 3 * time.Second, each: 36, prompt: 1800, output: 21, worth: 0.5, late: 0.15},
	}
	r := Pattern{
		fronts: 12, engines: unlike(12), kinds: kinds, length: 30 * time.Second,
		from: 8 * time.Second, to: 20 * time.Second, x: 3,
	}
	var rs []Pattern
	add := func(name string, f func(*Pattern)) {
		x := r
		x.Name = name
		f(&x)
		rs = append(rs, x)
	}
	add("calm", func(r *Pattern) { r.x = 1 })
	add("fixed-start", func(r *Pattern) { r.from, r.to, r.x = 8*time.Second, 11*time.Second, 6 })
	add("long-overload", func(*Pattern) {})
	add("uneven-connections", func(r *Pattern) { r.uneven = true })
	add("dark-engines-in-a-rush", func(r *Pattern) { r.darkAt = 12 * time.Second })
	add("engines-turn-slow-in-a-rush", func(r *Pattern) { r.slowAt = 12 * time.Second })
	return rs
}

// WithFronts returns the pattern with another number of fronts.
func (r Pattern) WithFronts(fronts int) Pattern {
	r.fronts = fronts
	return r
}

// unlike returns engines of unlike speeds, as they stand in one service.
func unlike(n int) []spec {
	factors := []float64{0.6, 0.8, 1, 1.2, 1.6, 2.4}
	var l []spec
	for i := range n {
		d := time.Duration(factors[i%len(factors)] * float64(3400*time.Microsecond))
		l = append(l, spec{step: d, prefill: 206, batch: 12, cache: 12_000})
	}
	return l
}

// callers returns who comes, by time.
func (r Pattern) callers(seed uint64) []*caller {
	var l []*caller
	for i := range r.kinds {
		k := &r.kinds[i]
		g := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); ; {
			v := k.each
			if at >= r.from && at < r.to {
				v *= r.x
			}
			at += time.Duration(g.ExpFloat64() / v * float64(time.Second))
			if at >= r.length {
				break
			}
			f := 0.5 + 1.5*g.Float64()*g.Float64() // most are shorter than the mean
			l = append(l, &caller{
				kind: k, came: at,
				request: &request{at: at, entry: r.front(g), prompt: int(f * float64(k.prompt)), output: max(1, int(f*float64(k.output)))},
			})
		}
	}
	slices.SortStableFunc(l, func(a, b *caller) int { return int(a.came - b.came) })
	return l
}

// front returns the front that an attempt comes to.
func (r Pattern) front(g *rand.Rand) int {
	if r.uneven && g.IntN(2) == 0 {
		return 0
	}
	return g.IntN(r.fronts)
}

// PatternResult is what one policy made of one rush.
type PatternResult struct {
	Policy Policy
	// Worth is what was earned of what all callers are worth.
	Worth float64
	// Served is the part of each kind's callers that got an answer, most urgent
	// first, and Largest that of the largest tenth of each kind.
	Served []float64
	// OnTime is the part that got it within the goal.
	OnTime        []float64
	LargestServed []float64
	// AllServed is the part of all callers that got an answer.
	AllServed float64
	// Refused is the part of callers that were refused at least once, Again twice.
	Refused, RefusedTwice float64
	// IdleSlots is the part of sound engines' slots that were free at refusals, on average.
	IdleSlots float64
}

// judge counts what became of the callers.
func (r Pattern) judge(p Policy, l []*caller) PatternResult {
	out := PatternResult{Policy: p}
	var all, got, refusals, idle float64
	for i := range r.kinds {
		var of []*caller
		for _, c := range l {
			if c.kind == &r.kinds[i] {
				of = append(of, c)
			}
		}
		slices.SortStableFunc(of, func(a, b *caller) int { return b.output - a.output })
		out.Served = append(out.Served, served(of))
		out.OnTime = append(out.OnTime, part(of, func(c *caller) bool { return c.earned() == c.kind.worth }))
		out.LargestServed = append(out.LargestServed, served(of[:len(of)/10]))
	}
	for _, c := range l {
		all += c.kind.worth
		got += c.earned()
		refusals += float64(c.refused)
		idle += c.idle
		if c.refused > 0 {
			out.Refused += 1 / float64(len(l))
		}
		if c.refused > 1 {
			out.RefusedTwice += 1 / float64(len(l))
		}
	}
	out.AllServed = served(l)
	out.Worth = ratio(got, all)
	out.IdleSlots = idle / max(1, refusals)
	return out
}

// part returns how many of the callers something holds for.
func part(l []*caller, holds func(*caller) bool) float64 {
	n := 0.0
	for _, c := range l {
		if holds(c) {
			n++
		}
	}
	return ratio(n, float64(len(l)))
}

func served(l []*caller) float64 { return part(l, func(c *caller) bool { return c.earned() > 0 }) }

// Bound returns a worth that no policy can exceed: what late answers are worth for
// all that fits into the callers' time limits, and the rest of the worth for those
// whose prompt can be read within the goal.
func (r Pattern) Bound(seed uint64) float64 {
	l := r.callers(seed)
	s := Scenario{Deployment: Deployment{Engines: r.engines}, length: r.length}
	most := func(weight func(*kind) float64, end func(*kind) time.Duration, size func(*request) float64, perStep func(spec) float64) float64 {
		var rs []*request
		all := 0.0
		for _, c := range l {
			q := *c.request
			q.deadline = c.came + end(c.kind)
			q.weight = weight(c.kind)
			all += q.weight
			rs = append(rs, &q)
		}
		return all * s.bound(rs, size, perStep)
	}
	late := func(k *kind) float64 { return k.late }
	rest := func(k *kind) float64 { return k.worth - k.late }
	limit := func(k *kind) time.Duration { return k.limit }
	goal := func(k *kind) time.Duration { return k.goal }
	prompt := func(q *request) float64 { return float64(q.prompt) }
	output := func(q *request) float64 { return float64(q.output) }
	prefill := func(e spec) float64 { return float64(e.prefill) }
	batch := func(e spec) float64 { return float64(e.batch) }
	all := 0.0
	for _, c := range l {
		all += c.kind.worth
	}
	return (min(most(late, limit, prompt, prefill), most(late, limit, output, batch)) + most(rest, goal, prompt, prefill)) / all
}
