package bench

import (
	"slices"
	"time"

	"kingcupstand/core/call"
)

// Policy names what decides where and when requests run.
type Policy string

// The policies of the bench.
const (
	// Managed is the project's own code.
	Managed Policy = "kingcupstand"
	// RoundRobin gives requests to the engines in turn, first come first served.
	RoundRobin Policy = "round-robin"
	// LeastLoad gives requests to the engine with the least reported load.
	LeastLoad Policy = "least-load"
)

// Times of the bench's network and of what baselines know.
const (
	hop = time.Millisecond
	// reportEvery is the time between load reports.
	reportEvery = 500 * time.Millisecond
	// noticeDeath is how long baselines send to a dead engine.
	noticeDeath = 2 * time.Second
	tick        = 20 * time.Millisecond
)

// Result is what one policy made of one scenario.
type Result struct {
	Scenario   string
	Deployment string
	Policy     Policy
	Seed       uint64
	// TopGoodput and Weighted are goodput of the highest tier and of all tiers, weighted.
	TopGoodput, WeightedGoodput float64
	// TierGoodput is the goodput of each tier.
	TierGoodput []float64
	// WastedPrefill is the part of computed prompt tokens that were thrown away.
	WastedPrefill float64
	// WastedTokens is the same as a number.
	WastedTokens int
	// PrefixHits is the part of the shareable prompt tokens that were found cached.
	PrefixHits float64
	// OthersGoodput is the goodput of all workspaces but 0.
	OthersGoodput float64
	// FirstTokenP95 is the 95th percentile of the highest tier's answers.
	FirstTokenP95 time.Duration
	// Inversions counts requests that were shed while a lower tier ran at the
	// agent that refused them.
	Inversions int
	requests   []*request
}

// simulation is one run.
type simulation struct {
	*clock
	scenario Scenario
	engines  []*engine
	requests []*request
	entryUp  []bool
}

// system is a policy at work.
type system interface {
	submit(r *request)
	// died tells of the death of an engine's process.
	died(engine int)
	inversions() int
}

// Run plays a scenario.
func Run(s Scenario, p Policy, seed uint64) Result {
	w := &simulation{clock: newClock(), scenario: s, requests: s.requests(seed)}
	for _, x := range s.Deployment.Engines {
		w.engines = append(w.engines, newEngine(w.clock, x))
	}
	w.entryUp = slices.Repeat([]bool{true}, s.Deployment.Entries)
	var y system
	switch p {
	case Managed:
		y = newManaged(w, seed)
	default:
		y = newFIFO(w, p)
	}
	for _, r := range w.requests {
		w.after(r.at, func() { w.arrive(y, r) })
	}
	w.plan(y)
	w.run(s.length + 2*time.Minute)
	return w.result(p, seed, y)
}

// arrive hands a request to a living entry: the balancer's work.
func (w *simulation) arrive(y system, r *request) {
	for !w.entryUp[r.entry] {
		r.entry = (r.entry + 1) % len(w.entryUp)
	}
	y.submit(r)
}

// plan plans the scenario's failures.
func (w *simulation) plan(y system) {
	if t := w.scenario.slowAt; t > 0 {
		w.after(t, func() {
			for i := 0; i < len(w.engines); i += 3 {
				w.engines[i].slow = 3
			}
		})
	}
	if t := w.scenario.dieAt; t > 0 {
		w.after(t, func() { w.die(y) })
	}
}

// die kills two agents with their engines, and an entry with what it holds.
func (w *simulation) die(y system) {
	for _, i := range []int{1, 4} {
		for _, t := range w.engines[i].die() {
			t.r.lost = true
		}
		y.died(i)
	}
	w.entryUp[0] = false
	for _, r := range w.requests {
		if r.entry == 0 && r.at <= w.now && r.done == 0 {
			r.lost = true
		}
	}
}

// result counts what became of the requests.
func (w *simulation) result(p Policy, seed uint64, y system) Result {
	s := w.scenario
	out := Result{Scenario: s.Name, Deployment: s.Deployment.Name, Policy: p, Seed: seed, Inversions: y.inversions(), requests: w.requests}
	n := len(s.Deployment.Tiers)
	sent, good := make([]float64, n), make([]float64, n)
	var others, othersGood, weight, weightGood float64
	var firsts []time.Duration
	for _, r := range w.requests {
		if r.lost {
			continue
		}
		k := 0.0
		if r.onTime() {
			k = 1
		}
		i := int(r.rank) - 1
		sent[i]++
		good[i] += k
		weight += s.Deployment.Tiers[i].weight
		weightGood += k * s.Deployment.Tiers[i].weight
		if r.workspace != 0 {
			others++
			othersGood += k
		}
		if r.rank == 1 && r.done > 0 {
			firsts = append(firsts, r.first-r.at)
		}
	}
	for i := range sent {
		out.TierGoodput = append(out.TierGoodput, ratio(good[i], sent[i]))
	}
	out.TopGoodput = out.TierGoodput[0]
	out.WeightedGoodput = ratio(weightGood, weight)
	out.OthersGoodput = ratio(othersGood, others)
	if len(firsts) > 0 {
		slices.Sort(firsts)
		out.FirstTokenP95 = firsts[len(firsts)*95/100]
	}
	w.prefill(&out)
	return out
}

func (w *simulation) prefill(out *Result) {
	computed, hits, shared := 0, 0, 0
	for _, e := range w.engines {
		out.WastedTokens += e.wasted
		computed += e.computed
		hits += e.hits
	}
	for _, r := range w.requests {
		if r.first > 0 {
			shared += r.shared
		}
	}
	out.WastedPrefill = ratio(float64(out.WastedTokens), float64(computed))
	out.PrefixHits = ratio(float64(hits), float64(shared))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// answered is what an ending with a whole answer is.
var answered = call.Answered()
