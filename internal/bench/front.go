package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
)

// Policies that only rushes are played with.
const (
	// Fronts are the project's fronts.
	Fronts Policy = "fronts"
	// Unassigned are fronts as they were before slots were divided among them.
	Unassigned Policy = "fronts-undivided"
)

// Times of fronts in the bench, as in the programs.
const (
	frontBeat     = 50 * time.Millisecond
	frontBeatEach = 3 * time.Millisecond
	frontDivide   = 500 * time.Millisecond
	// frontStall is how long an engine may be silent before the answer begins, and
	// frontStalls so many times the predicted time.
	frontStall  = 700 * time.Millisecond
	frontStalls = 5
	// service is what all engines of a rush serve.
	service = "model"
)

// rush is one run of a load pattern.
type rush struct {
	*clock
	rush    Pattern
	policy  Policy
	engines []*engine
	// index finds engines by the names of their targets.
	index   map[string]int
	callers []*caller
	fronts  []*gateway
	random  *rand.Rand
	// next and reported are the baselines' state.
	next     []int
	reported []int
}

// gateway is one front of the bench.
type gateway struct {
	rush *rush
	name string
	pool *pool.Pool
	desk *sched.Scheduler[*visit]
}

// visit is one attempt of a caller at a front.
type visit struct {
	*caller
	front *gateway
	tried []string
	// granted is true while the caller's request is at an engine.
	granted bool
}

// RunPattern plays a load pattern with one policy.
func RunPattern(r Pattern, p Policy, seed uint64) PatternResult {
	w := &rush{
		clock: newClock(), rush: r, policy: p, callers: r.callers(seed), random: rand.New(rand.NewPCG(seed, 99)),
		index: map[string]int{}, next: make([]int, r.fronts), reported: make([]int, len(r.engines)),
	}
	for i, s := range r.engines {
		w.engines = append(w.engines, newEngine(w.clock, s))
		w.index[engineName(i)] = i
	}
	for i := range r.fronts {
		w.fronts = append(w.fronts, w.gateway(i))
	}
	for _, c := range w.callers {
		w.after(c.came, func() { w.arrive(c) })
	}
	w.plan()
	w.run(r.length + 20*time.Second)
	return r.judge(p, w.callers)
}

// plan plans what happens beside the callers.
func (w *rush) plan() {
	if t := w.rush.darkAt; t > 0 {
		w.after(t, func() {
			for i := 0; i < len(w.engines); i += 4 {
				w.engines[i].die()
			}
		})
	}
	if t := w.rush.slowAt; t > 0 {
		w.after(t, func() {
			for i := 0; i < len(w.engines); i += 3 {
				w.engines[i].slow = 3
			}
		})
	}
	if w.policy == LeastLoad {
		w.report()
	}
	if w.policy == Fronts || w.policy == Unassigned {
		for i, g := range w.fronts {
			// Beats of different fronts don't come together.
			w.after(time.Duration(i)*frontBeat/time.Duration(len(w.fronts)), g.beat)
			w.after(time.Duration(i)*frontDivide/time.Duration(len(w.fronts)), g.divide)
		}
	}
}

func engineName(i int) string { return "engine-" + strconv.Itoa(i) }

func (w *rush) gateway(i int) *gateway {
	r := rand.New(rand.NewPCG(uint64(i), 7))
	g := &gateway{rush: w, name: fmt.Sprintf("front-%d", i), pool: pool.New("", r)}
	g.desk = sched.New[*visit](g.pool, r)
	var ts []pool.Target
	for i, e := range w.engines {
		ts = append(ts, pool.Target{ID: engineName(i), Service: service, Slots: e.spec.batch, Engine: true})
	}
	g.pool.SetTargets(ts)
	return g
}

// arrive brings a caller's attempt to a front.
func (w *rush) arrive(c *caller) {
	v := &visit{caller: c, front: w.fronts[c.entry]}
	if w.policy == Fronts || w.policy == Unassigned {
		v.front.ask(v)
		return
	}
	w.place(v)
}

// place sends a request to an engine as a baseline does.
func (w *rush) place(v *visit) {
	f, best := v.entry, -1
	for k := range w.engines {
		i := (w.next[f] + k) % len(w.engines)
		if best < 0 || (w.policy == LeastLoad && w.reported[i] < w.reported[best]) {
			best = i
		}
	}
	w.next[f] = (best + 1) % len(w.engines)
	w.execute(v, best, func(time.Duration) {}, func() {})
}

// execute runs a request at an engine; the caller gives up at its limit.
func (w *rush) execute(v *visit, i int, began func(time.Duration), ended func()) {
	e, sent := w.engines[i], w.now
	t := &task{r: v.request}
	t.began = func() {
		v.first = w.now + hop
		began(w.now - sent)
	}
	t.ended = func() {
		v.done = w.now + hop
		ended()
	}
	w.after(hop, func() { e.submit(t) })
	w.after(max(0, v.came+v.kind.limit-w.now), func() {
		if v.done == 0 && !t.gone {
			e.cancel(t)
			ended()
		}
	})
}

// report brings the engines' loads to the fronts of a baseline.
func (w *rush) report() {
	for i, e := range w.engines {
		n := len(e.running) + len(e.waiting)
		w.after(reportEvery/2, func() { w.reported[i] = n })
	}
	w.after(reportEvery, w.report)
}

// free returns the part of sound engines' slots that nobody uses.
func (w *rush) free() float64 {
	n, all := 0, 0
	for _, e := range w.engines {
		if !e.dead {
			n += max(0, e.spec.batch-len(e.running)-len(e.waiting))
			all += e.spec.batch
		}
	}
	return ratio(float64(n), float64(all))
}

// ask asks for a turn.
func (g *gateway) ask(v *visit) {
	w := g.rush
	used := w.now - v.came + g.pool.ExpectedFirstByte(service, v.prompt)
	left := v.came + v.kind.limit - w.now
	p, late := sched.MaxWait(v.kind.goal, used, left)
	t := g.desk.Enqueue(w.now, sched.Request{
		Criteria:  pool.Criteria{Service: service, PromptTokens: v.prompt, Exclude: v.tried},
		RouteRank: v.kind.order, Late: late, MaxWait: p, TimeLeft: left,
	}, v)
	v.granted = false
	g.pump()
	if v.granted {
		return
	}
	if r, no := g.desk.Shed(w.now, t); no {
		g.refuse(v, r)
		return
	}
	w.after(p, func() {
		if r, no := g.desk.Remove(w.now, t); no {
			g.refuse(v, r)
		}
	})
}

// refuse tells a caller to come back, which it does once.
func (g *gateway) refuse(v *visit, r sched.Refusal) {
	w := g.rush
	v.refused++
	v.idle += w.free()
	if v.refused > 1 {
		return
	}
	w.after(min(r.RetryAfter, (v.came+v.kind.limit-w.now)/3), func() {
		v.entry = w.rush.front(w.random)
		w.arrive(v.caller)
	})
}

// pump sends off those whose turn it is.
func (g *gateway) pump() {
	for {
		t, ok := g.desk.Next(g.rush.now, service)
		if !ok {
			return
		}
		t.Waiter.Value.granted = true
		g.send(t.Waiter.Value, t.Choice)
	}
}

// send sends a request to its engine, and to another one if that stays silent.
func (g *gateway) send(v *visit, c pool.Choice) {
	w := g.rush
	i := w.index[c.ID]
	sent, prompt, over := w.now, v.prompt, false
	end := func(o pool.Outcome) {
		if over {
			return
		}
		over = true
		g.pool.End(w.now, c.ID, prompt, o)
		g.desk.AddHold(service, w.now-sent)
		g.pump()
	}
	w.execute(v, i, func(d time.Duration) {
		if over {
			return
		}
		g.pool.ObserveFirstByte(w.now, c.ID, prompt, c.PrefillTokens, d)
		prompt = 0
	}, func() {
		if v.done > 0 {
			end(pool.Good)
		} else {
			end(pool.Neutral)
		}
	})
	w.after(max(frontStall, frontStalls*c.ExpectedFirstByte), func() {
		if v.first > 0 || over || !w.engines[i].dead {
			return
		}
		g.pool.MarkSilent(w.now, c.ID)
		end(pool.Broken)
		v.tried = append(v.tried, c.ID)
		g.ask(v)
	})
}

// beat tells the other fronts what this one has in flight.
func (g *gateway) beat() {
	w := g.rush
	us, said := g.pool.Uses(w.now), g.desk.Report(w.now)
	w.after(hop, func() {
		for _, o := range w.fronts {
			if o != g {
				o.pool.SetPeer(g.name, us)
				o.desk.SetPeer(g.name, said)
				o.desk.SetFronts(len(w.fronts))
				o.pump()
			}
		}
	})
	n := len(w.fronts)
	if w.policy == Unassigned {
		n = 1
	}
	g.pool.RefillCredits(n)
	g.pump()
	w.after(frontBeat+time.Duration(len(w.fronts))*frontBeatEach, g.beat)
}

// divide learns which slots are this front's own.
func (g *gateway) divide() {
	w := g.rush
	if w.policy == Fronts {
		g.desk.AssignSlots(w.now, g.name)
	}
	w.after(frontDivide, g.divide)
}
