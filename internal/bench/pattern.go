package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Pattern is a load pattern for fronts. The fronts know of each other's requests only from
// heartbeats, which reach a bounded number of them. A caller that is refused retries once, at a front chosen at random.
type Pattern struct {
	// Name identifies the pattern in results.
	Name   string
	fronts int
	// uneven sends half of the attempts to the first front and spreads the others over all
	// fronts.
	uneven  bool
	engines []engineSpec
	kinds   []requestKind
	length  time.Duration
	// burstFrom and burstTo are the limits of the burst, in which burstFactor times as many
	// requests arrive.
	burstFrom, burstTo time.Duration
	burstFactor        float64
	// At crashAt every fourth engine crashes undetected, at slowAt every third becomes three
	// times as slow; 0 means never.
	crashAt, slowAt time.Duration
	// zones is the number of data centres that fronts and engines are spread over; 0 for one.
	zones int
	// workspaces are those that the requests belong to.
	workspaces workspaces
}

// requestKind is a kind of request. Its requests have half to twice the given tokens.
type requestKind struct {
	name string
	// routeRank is its rank among the kinds of its tier.
	routeRank int
	goal      time.Duration // time to the first byte that callers expect
	limit     time.Duration // time to the end of the response after which callers give up
	gap       time.Duration // longest gap between tokens that callers expect; 0 for none
	// spread is the standard deviation of the logarithm of the output; 0 for half to twice
	// the typical number of tokens.
	spread float64
	rate   float64 // requests per second outside the burst
	prompt int     // typical tokens
	output int     // typical tokens
	// worth is the value of a response whose first byte arrives within the goal,
	// lateWorth that of a later one within the limit.
	worth, lateWorth float64
}

// caller is one caller's request over all its attempts.
type caller struct {
	*request
	kind *requestKind
	// hint is the caller's estimate of the number of output tokens.
	hint int
	// workspace is the number of its workspace.
	workspace int
	// arrived is the time of its first attempt.
	arrived time.Duration
	refused int
	// idleSum is the sum over its refusals of the fraction of slots that were idle.
	idleSum float64
}

// earned returns the value of the caller's response, which is 0 without one.
func (c *caller) earned() float64 {
	switch {
	case c.done == 0 || c.done > c.arrived+c.kind.limit:
		return 0
	case c.firstToken <= c.arrived+c.kind.goal:
		return c.kind.worth
	default:
		return c.kind.lateWorth
	}
}

// Patterns returns all load patterns.
func Patterns() []Pattern {
	// Kinds of requests as both operators described them: few long requests of high
	// value, many of middle size, and short responses to prompts of middle size.
	kinds := []requestKind{
		{name: "long", routeRank: 0, goal: 800 * time.Millisecond, limit: 15 * time.Second, rate: 24, prompt: 6600, output: 385, worth: 10, lateWorth: 3},
		{name: "middle", routeRank: 1, goal: 400 * time.Millisecond, limit: 12 * time.Second, rate: 66, prompt: 640, output: 294, worth: 1.75, lateWorth: 0.5},
		{name: "short", routeRank: 2, goal: 400 * time.Millisecond, limit: 3 * time.Second, rate: 36, prompt: 1800, output: 21, worth: 0.5, lateWorth: 0.15},
	}
	r := Pattern{
		fronts: 12, engines: mixedEngines(12), kinds: kinds, length: 30 * time.Second,
		burstFrom: 8 * time.Second, burstTo: 20 * time.Second, burstFactor: 3,
	}
	var rs []Pattern
	add := func(name string, f func(*Pattern)) {
		x := r
		x.Name = name
		f(&x)
		rs = append(rs, x)
	}
	add("calm", func(r *Pattern) { r.burstFactor = 1 })
	add("fixed-start", func(r *Pattern) { r.burstFrom, r.burstTo, r.burstFactor = 8*time.Second, 11*time.Second, 6 })
	add("long-overload", func(*Pattern) {})
	add("uneven-connections", func(r *Pattern) { r.uneven = true })
	add("dark-engines-in-a-rush", func(r *Pattern) { r.crashAt = 12 * time.Second })
	add("long-answers-beside-short", func(r *Pattern) {
		// Urgent and less urgent requests with short responses, beside answers whose length
		// varies a hundredfold and that hold most of the slots.
		r.kinds = []requestKind{
			{name: "contract", routeRank: 0, goal: 600 * time.Millisecond, limit: 6 * time.Second, gap: 250 * time.Millisecond, rate: 21, prompt: 2900, output: 28, spread: 1, worth: 6.6, lateWorth: 2},
			{name: "invoice", routeRank: 1, goal: 500 * time.Millisecond, limit: 4 * time.Second, gap: 250 * time.Millisecond, rate: 28, prompt: 1800, output: 14, spread: 1, worth: 2, lateWorth: 0.6},
			{name: "answer", routeRank: 2, goal: 400 * time.Millisecond, limit: 15 * time.Second, gap: 250 * time.Millisecond, rate: 23, prompt: 540, output: 170, spread: 1.2, worth: 0.43, lateWorth: 0.13},
		}
		r.fronts, r.engines = 4, nil
		for i := range 9 {
			d := 3800 * time.Microsecond
			if i%3 > 0 {
				d = 10800 * time.Microsecond
			}
			r.engines = append(r.engines, engineSpec{step: d, prefill: 272, batch: 7, cache: 12_000})
		}
		r.burstFrom, r.burstTo, r.burstFactor = 8*time.Second, 13*time.Second, 1.8
	})
	add("engines-turn-slow-in-a-rush", func(r *Pattern) { r.slowAt = 12 * time.Second })
	large := func(r *Pattern) {
		// Many fronts with few requests each: a heartbeat reaches a third of them, and each
		// hears from a given engine every few seconds.
		r.kinds = []requestKind{
			{name: "replan", routeRank: 0, goal: 800 * time.Millisecond, limit: 12 * time.Second, gap: 400 * time.Millisecond, rate: 186, prompt: 6600, output: 320, spread: 0.8, worth: 7, lateWorth: 2},
			{name: "explain", routeRank: 1, goal: 400 * time.Millisecond, limit: 10 * time.Second, gap: 400 * time.Millisecond, rate: 229, prompt: 640, output: 240, spread: 0.8, worth: 2.2, lateWorth: 0.67},
			{name: "sort", routeRank: 2, goal: 400 * time.Millisecond, limit: 2500 * time.Millisecond, gap: 400 * time.Millisecond, rate: 345, prompt: 1800, output: 18, spread: 0.8, worth: 0.29, lateWorth: 0.09},
		}
		r.fronts, r.zones, r.engines = 68, 6, nil
		for i := range 117 {
			d := time.Duration([]float64{0.55, 1, 2.8}[i%3] * float64(3400*time.Microsecond))
			r.engines = append(r.engines, engineSpec{step: d, prefill: 206, batch: 6, cache: 12_000})
		}
		r.length, r.burstFrom, r.burstTo, r.burstFactor = 20*time.Second, 6*time.Second, 12*time.Second, 1.5
	}
	add("rush-at-a-large-fleet", large)
	add("slow-engines-in-a-large-fleet", func(r *Pattern) {
		large(r)
		r.slowAt = 9 * time.Second
	})
	add("waves-of-short-requests", func(r *Pattern) {
		// Requests of the third class need a tenth of the slot time of the others. Callers come in
		// waves, so that a request of the second class waits at some front nearly all the time.
		r.kinds = []requestKind{
			{name: "replan", routeRank: 0, goal: 800 * time.Millisecond, limit: 15 * time.Second, gap: 400 * time.Millisecond, rate: 71, prompt: 6600, output: 384, spread: 0.8, worth: 11, lateWorth: 3.2},
			{name: "explain", routeRank: 1, goal: 400 * time.Millisecond, limit: 12 * time.Second, gap: 400 * time.Millisecond, rate: 344, prompt: 640, output: 288, spread: 0.8, worth: 1.7, lateWorth: 0.5},
			{name: "sort", routeRank: 2, goal: 400 * time.Millisecond, limit: 3 * time.Second, gap: 400 * time.Millisecond, rate: 110, prompt: 1800, output: 23, spread: 0.8, worth: 0.52, lateWorth: 0.15},
		}
		r.fronts, r.zones, r.engines = 29, 4, nil
		for i := range 52 {
			d := time.Duration([]float64{0.7, 1, 2.8}[i%3] * float64(3400*time.Microsecond))
			r.engines = append(r.engines, engineSpec{step: d, prefill: 206, batch: 10, cache: 12_000})
		}
		r.burstFrom, r.burstTo, r.burstFactor = 8*time.Second, 20*time.Second, 1.5
	})
	add("busy-workspace", func(r *Pattern) {
		// One of sixteen workspaces sends seven times as much as usual, within its allowance, so that
		// the slots don't suffice for all. With one kind of requests no class goes before another.
		r.kinds = []requestKind{{name: "chat", goal: 400 * time.Millisecond, limit: 12 * time.Second, rate: 150, prompt: 640, output: 294, worth: 1.75, lateWorth: 0.5}}
		r.workspaces, r.burstFactor = busyWorkspaces(16, 7), 1
	})
	return rs
}

// WithFronts returns a copy of the pattern with the given number of fronts.
func (r Pattern) WithFronts(fronts int) Pattern {
	r.fronts = fronts
	return r
}

// mixedEngines returns n engines of the different speeds found in one service.
func mixedEngines(n int) []engineSpec {
	factors := []float64{0.6, 0.8, 1, 1.2, 1.6, 2.4}
	var l []engineSpec
	for i := range n {
		d := time.Duration(factors[i%len(factors)] * float64(3400*time.Microsecond))
		l = append(l, engineSpec{step: d, prefill: 206, batch: 12, cache: 12_000})
	}
	return l
}

const (
	// hintSpread is the standard deviation of the logarithm of hints.
	hintSpread = 0.5
	// maxSpread is the largest output, relative to the typical one.
	maxSpread = 20
)

// callers returns the callers of a run by time of arrival.
func (r Pattern) callers(seed uint64) []*caller {
	var l []*caller
	for i := range r.kinds {
		k := &r.kinds[i]
		g, lengths := rand.New(rand.NewPCG(seed, uint64(i))), rand.New(rand.NewPCG(seed, uint64(100+i)))
		owners := rand.New(rand.NewPCG(seed, uint64(200+i)))
		for at := time.Duration(0); ; {
			v, burst := k.rate, at >= r.burstFrom && at < r.burstTo
			if burst {
				v *= r.burstFactor * r.workspaces.load()
			}
			at += time.Duration(g.ExpFloat64() / v * float64(time.Second))
			if at >= r.length {
				break
			}
			f := 0.5 + 1.5*g.Float64()*g.Float64() // 0.5 to 2; below 1 for most requests
			n := max(1, int(f*float64(k.output)))
			c := &caller{
				kind: k, arrived: at, workspace: r.workspaces.draw(owners, burst),
				request: &request{at: at, entry: r.front(g), prompt: int(f * float64(k.prompt)), output: n},
			}
			if k.spread > 0 {
				c.output = max(1, int(float64(k.output)*min(maxSpread, math.Exp(k.spread*lengths.NormFloat64()))))
			}
			c.hint = max(1, int(float64(c.output)*math.Exp(hintSpread*lengths.NormFloat64())))
			l = append(l, c)
		}
	}
	slices.SortStableFunc(l, func(a, b *caller) int { return int(a.arrived - b.arrived) })
	return l
}

// front returns the front that an attempt is sent to.
func (r Pattern) front(g *rand.Rand) int {
	if r.uneven && g.IntN(2) == 0 {
		return 0
	}
	return g.IntN(r.fronts)
}

// PatternResult is the result of running one load pattern with one policy. Fractions are of
// the callers unless noted. A caller is served if it gets a response within its time limit.
type PatternResult struct {
	Policy Policy
	// Worth is the sum of the responses' values, as a fraction of the value that all
	// callers would get with responses on time.
	Worth float64
	// Served is the fraction served of each kind, the most urgent kind first;
	// LargestServed is that of the tenth with the longest responses of each kind.
	Served []float64
	// OnTime is the fraction of each kind whose first byte arrives within the goal.
	OnTime        []float64
	LargestServed []float64
	// AllServed is the fraction served of all callers.
	AllServed float64
	// Refused is the fraction of callers refused at least once, RefusedTwice that of those
	// refused twice.
	Refused, RefusedTwice float64
	// IdleSlots is the fraction of slots that were idle at a refusal, on average over the
	// refusals. Slots of crashed engines don't count.
	IdleSlots float64
	// WorkspaceWorth is Worth of the requests of each workspace that arrive in the burst.
	WorkspaceWorth []float64
}

// result computes the figures of the run.
func (r Pattern) result(p Policy, l []*caller) PatternResult {
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
		out.OnTime = append(out.OnTime, fraction(of, func(c *caller) bool { return c.earned() == c.kind.worth }))
		out.LargestServed = append(out.LargestServed, served(of[:len(of)/10]))
	}
	for _, c := range l {
		all += c.kind.worth
		got += c.earned()
		refusals += float64(c.refused)
		idle += c.idleSum
		if c.refused > 0 {
			out.Refused += 1 / float64(len(l))
		}
		if c.refused > 1 {
			out.RefusedTwice += 1 / float64(len(l))
		}
	}
	out.AllServed = served(l)
	out.WorkspaceWorth = r.workspaceWorth(l)
	out.Worth = ratio(got, all)
	out.IdleSlots = idle / max(1, refusals)
	return out
}

// fraction returns the fraction of the callers that the predicate holds for.
func fraction(l []*caller, holds func(*caller) bool) float64 {
	n := 0.0
	for _, c := range l {
		if holds(c) {
			n++
		}
	}
	return ratio(n, float64(len(l)))
}

func served(l []*caller) float64 { return fraction(l, func(c *caller) bool { return c.earned() > 0 }) }

// Bound returns an upper bound of Worth for any policy: lateWorth for all that can be
// completed within the time limits, plus the rest of the worth for all whose prompt can be
// computed within the goal.
func (r Pattern) Bound(seed uint64) float64 {
	l := r.callers(seed)
	s := Scenario{Deployment: Deployment{Engines: r.engines}, length: r.length}
	most := func(weight func(*requestKind) float64, end func(*requestKind) time.Duration, size func(*request) float64, perStep func(engineSpec) float64) float64 {
		var rs []*request
		all := 0.0
		for _, c := range l {
			q := *c.request
			q.deadline = c.arrived + end(c.kind)
			q.weight = weight(c.kind)
			all += q.weight
			rs = append(rs, &q)
		}
		return all * s.bound(rs, size, perStep)
	}
	late := func(k *requestKind) float64 { return k.lateWorth }
	rest := func(k *requestKind) float64 { return k.worth - k.lateWorth }
	limit := func(k *requestKind) time.Duration { return k.limit }
	goal := func(k *requestKind) time.Duration { return k.goal }
	prompt := func(q *request) float64 { return float64(q.prompt) }
	output := func(q *request) float64 { return float64(q.output) }
	prefill := func(e engineSpec) float64 { return float64(e.prefill) }
	batch := func(e engineSpec) float64 { return float64(e.batch) }
	all := 0.0
	for _, c := range l {
		all += c.kind.worth
	}
	return (min(most(late, limit, prompt, prefill), most(late, limit, output, batch)) + most(rest, goal, prompt, prefill)) / all
}
