package bench

import (
	"slices"
	"time"

	"kingcupstand/core/call"
)

// Policy names the code that decides where and when requests run.
type Policy string

// Policies of the benchmark.
const (
	// Managed is the code of entries and agents.
	Managed Policy = "kingcupstand"
	// RoundRobin sends requests to the engines in round-robin order. Engines run them
	// first come, first served.
	RoundRobin Policy = "round-robin"
	// LeastLoad sends requests to the engine with the lowest reported load.
	LeastLoad Policy = "least-load"
)

// Delays of the simulated network, and intervals of periodic work.
const (
	// networkDelay is the one-way delay of every message.
	networkDelay = time.Millisecond
	// reportInterval is the time between two load reports of an engine.
	reportInterval = 500 * time.Millisecond
	// crashDetection is the time until the baselines stop sending to a crashed engine.
	crashDetection = 2 * time.Second
	// tickInterval is the time between two ticks of the gates.
	tickInterval = 20 * time.Millisecond
)

// Result is the result of running one scenario with one policy. Goodput is the fraction of
// requests that are completed before their deadline, not counting those lost in a crash.
type Result struct {
	Scenario   string
	Deployment string
	Policy     Policy
	Seed       uint64
	// TopGoodput is the goodput of the most urgent tier, WeightedGoodput that of all tiers,
	// weighted.
	TopGoodput, WeightedGoodput float64
	// TierGoodput is the goodput of each tier.
	TierGoodput []float64
	// WastedPrefill is the fraction of the computed prompt tokens that belong to requests
	// which were canceled.
	WastedPrefill float64
	// WastedTokens is the number of these tokens.
	WastedTokens int
	// PrefixHits is the fraction of the shareable prompt tokens that were found cached.
	PrefixHits float64
	// OthersGoodput is the goodput of all workspaces except workspace 0.
	OthersGoodput float64
	// FirstTokenP95 is the 95th percentile of the time to the first token over the completed
	// requests of the most urgent tier.
	FirstTokenP95 time.Duration
	// Inversions is the number of requests that were shed while a request of a lower tier
	// ran at the agent that refused them.
	Inversions int
	requests   []*request
}

// simulation is the state of one run of a scenario.
type simulation struct {
	*clock
	scenario Scenario
	engines  []*engine
	requests []*request
	entryUp  []bool
}

// system is a policy's implementation.
type system interface {
	submit(r *request)
	// engineCrashed is called when an engine and its agent have crashed.
	engineCrashed(engine int)
	inversions() int
}

// Run runs a scenario with one policy. Equal seeds give equal results.
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
	w.scheduleFaults(y)
	w.run(s.length + 2*time.Minute)
	return w.result(p, seed, y)
}

// arrive submits a request to its entry or, as a load balancer would, to the next one that
// is up.
func (w *simulation) arrive(y system, r *request) {
	for !w.entryUp[r.entry] {
		r.entry = (r.entry + 1) % len(w.entryUp)
	}
	y.submit(r)
}

// scheduleFaults schedules the faults of the scenario.
func (w *simulation) scheduleFaults(y system) {
	if t := w.scenario.slowAt; t > 0 {
		w.after(t, func() {
			for i := 0; i < len(w.engines); i += 3 {
				w.engines[i].slowdown = 3
			}
		})
	}
	if t := w.scenario.crashAt; t > 0 {
		w.after(t, func() { w.crash(y) })
	}
}

// crash stops two agents with their engines and an entry. The requests in flight there are
// lost.
func (w *simulation) crash(y system) {
	for _, i := range []int{1, 4} {
		for _, t := range w.engines[i].crash() {
			t.r.lost = true
		}
		y.engineCrashed(i)
	}
	w.entryUp[0] = false
	for _, r := range w.requests {
		if r.entry == 0 && r.at <= w.now && r.done == 0 {
			r.lost = true
		}
	}
}

// result computes the figures of the run.
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
			firsts = append(firsts, r.firstToken-r.at)
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
	w.countPrefill(&out)
	return out
}

func (w *simulation) countPrefill(out *Result) {
	computed, hits, shared := 0, 0, 0
	for _, e := range w.engines {
		out.WastedTokens += e.wasted
		computed += e.computed
		hits += e.hits
	}
	for _, r := range w.requests {
		if r.firstToken > 0 {
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

// answered is the outcome of a complete response.
var answered = call.Answered()
