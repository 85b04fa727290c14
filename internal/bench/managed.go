package bench

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/gate"
	"kingcupstand/core/offer"
	"kingcupstand/core/route"
)

// Parameters of the simulated entries and agents. They are those of io/entry, io/agent,
// io/node and the default settings, except that agents record more request ids and for
// longer.
const (
	idLifetime = 10 * time.Minute // lifetime of request ids
	maxIDs     = 1 << 20          // maximum number of request ids recorded by an agent
	shedHold   = 2 * time.Second  // how long an agent refuses lower tiers after shedding
	queueSize  = 1000             // maximum number of requests queued at an agent
	model      = "m"              // the only model
	syncPeers  = 4                // agents that an entry syncs with in a round
)

// managed runs the code of entries and agents: a route.Router for each entry, a gate.Gate
// for each agent.
type managed struct {
	*simulation
	routers        []*route.Router
	agents         []*agent
	random         *rand.Rand
	nonce          uint64
	inversionCount int
}

// agent is a gate and its engine.
type agent struct {
	m          *managed
	name       string
	gate       *gate.Gate
	engine     *engine
	attempts   map[gate.StreamID]*attempt
	lastStream gate.StreamID
	crashed    bool
}

// attempt is one offer of a request to an agent.
type attempt struct {
	q      *submission
	stream gate.StreamID
	id     call.ID
	task   *task
	number uint32
}

// submission is the state of a request at its entry.
type submission struct {
	r           *request
	machine     *offer.Machine
	routing     route.Request
	tried       []string
	lastOutcome call.Outcome
}

// tierPolicy implements gate.Policy: all workspaces have the same terms.
type tierPolicy struct{ tiers []tier }

func (t tierPolicy) Terms(_, name string) (gate.Terms, bool) {
	for i, x := range t.tiers {
		if x.name == name {
			return gate.Terms{Rank: call.Rank(i + 1), Wait: x.wait, Preemptible: x.preemptible, Share: 0.2}, true
		}
	}
	return gate.Terms{}, false
}

func newManaged(w *simulation, seed uint64) *managed {
	m := &managed{simulation: w, random: rand.New(rand.NewPCG(seed, 1))}
	d := w.scenario.Deployment
	var ts []route.Target
	for i, e := range w.engines {
		n := fmt.Sprintf("engine-%d", i+1)
		l := gate.Limits{
			Batch: e.spec.batch, BatchTokens: 131_072, Queue: queueSize, IDs: maxIDs, IDLifetime: 2 * idLifetime, ShedHold: shedHold,
		}
		s := gate.Speed{Prefill: e.spec.step / time.Duration(e.spec.prefill), Step: e.spec.step}
		m.agents = append(m.agents, &agent{
			m: m, name: n, engine: e, attempts: make(map[gate.StreamID]*attempt),
			gate: gate.New(n, uint64(i+1), l, tierPolicy{d.Tiers}, s),
		})
		ts = append(ts, route.Target{Name: n, Peer: n, Models: []string{model}})
	}
	for i := range d.Entries {
		r := route.New("", "", seed+uint64(i))
		r.Apply(ts)
		for _, a := range m.agents {
			r.Report(0, a.name, a.gate.Load(0))
		}
		m.routers = append(m.routers, r)
		m.sync(i)
	}
	m.tickAll()
	return m
}

// sync reports the load of a few agents, chosen at random, to an entry periodically.
func (m *managed) sync(entry int) {
	for _, i := range m.random.Perm(len(m.agents))[:syncPeers] {
		m.report(entry, m.agents[i])
	}
	m.after(reportInterval, func() { m.sync(entry) })
}

// report sends an agent's load to an entry, which receives it after the scenario's lag.
func (m *managed) report(entry int, a *agent) {
	if a.crashed {
		return
	}
	l := a.gate.Load(m.now)
	m.after(networkDelay+m.scenario.reportLag, func() { m.routers[entry].Report(m.now, a.name, l) })
}

func (m *managed) tickAll() {
	for _, a := range m.agents {
		a.step(gate.Tick{})
	}
	m.after(tickInterval, m.tickAll)
}

func (m *managed) submit(r *request) {
	q := &submission{r: r, machine: offer.New(false), routing: route.Request{
		Model: model, Workspace: fmt.Sprint(r.workspace), Rank: r.rank, Wait: m.scenario.Deployment.Tiers[r.rank-1].wait,
		Prompt: r.prompt, Output: r.output, Prefix: r.prefix, PrefixTokens: r.shared,
	}}
	m.offer(q)
}

// offer offers a request to the agent that the entry's router chooses. If there is none,
// the request is refused.
func (m *managed) offer(q *submission) {
	router := m.routers[q.r.entry]
	c, err := router.Choose(m.now, q.routing, q.tried)
	if err != nil {
		if q.lastOutcome.Reason == call.ReasonOverload || q.lastOutcome.Reason == call.ReasonDeadlinePassed {
			router.Shed(m.now, q.routing)
		}
		q.r.outcome = call.NotRun(call.ReasonOverload)
		return
	}
	q.tried = append(q.tried, c.Target.Name)
	router.Sent(m.now, c.Target.Name, q.routing)
	m.nonce++
	var n [call.NonceSize]byte
	binary.BigEndian.PutUint64(n[:], m.nonce)
	i := slices.IndexFunc(m.agents, func(a *agent) bool { return a.name == c.Target.Name })
	t := &attempt{q: q, id: call.NewTicket(c.Target.Name, c.Incarnation, n, c.Uptime+idLifetime).ID()}
	t.number = q.machine.Offer(t.id, true)
	cached := c.Cached
	m.after(networkDelay, func() { m.agents[i].arrive(t, cached) })
}

func (a *agent) arrive(t *attempt, cached int) {
	if a.crashed {
		a.m.routers[t.q.r.entry].Suspect(a.m.now, a.name)
		a.m.after(networkDelay, func() {
			t.q.machine.Step(offer.NotSent{})
			a.m.offer(t.q)
		})
		return
	}
	a.lastStream++
	t.stream = a.lastStream
	a.attempts[t.stream] = t
	r := t.q.r
	a.step(gate.Arrive{Offer: gate.Offer{
		Stream: t.stream, ID: t.id, Workspace: fmt.Sprint(r.workspace), Tier: a.m.scenario.Deployment.Tiers[r.rank-1].name,
		Budget: r.deadline - a.m.now, Prompt: r.prompt, Cached: cached, Output: r.output, Idempotent: true, Streamed: true,
	}})
}

// step passes an event to the agent's gate and carries out the actions that the gate
// returns.
func (a *agent) step(e gate.Event) {
	if a.crashed {
		return
	}
	for _, x := range slices.Clone(a.gate.Step(a.m.now, e)) {
		switch x := x.(type) {
		case gate.Dispatch:
			a.dispatch(a.attempts[x.Stream])
		case gate.Refuse:
			a.refuse(a.attempts[x.Stream], x)
		case gate.Cancel:
			a.cancel(a.attempts[x.Stream], x.Outcome)
		}
	}
}

func (a *agent) dispatch(t *attempt) {
	r := t.q.r
	t.task = &task{r: r, onFirstToken: func() {
		r.firstToken = a.m.now + networkDelay
		a.step(gate.FirstByte{Stream: t.stream})
	}, onEnd: func() {
		r.done = a.m.now + networkDelay
		r.outcome = answered
		delete(a.attempts, t.stream)
		a.step(gate.Finish{Stream: t.stream, Complete: true, Prompt: r.prompt, Cached: t.task.cached, Output: r.output})
		a.m.report(r.entry, a)
	}}
	a.engine.submit(t.task)
}

func (a *agent) cancel(t *attempt, e call.Outcome) {
	a.engine.cancel(t.task)
	t.q.r.outcome = e
	delete(a.attempts, t.stream)
	a.m.after(0, func() { a.step(gate.Finish{Stream: t.stream}) })
}

// refuse sends a refusal to the entry, which may offer the request to another agent.
func (a *agent) refuse(t *attempt, x gate.Refuse) {
	delete(a.attempts, t.stream)
	a.m.inversionCount += a.inversion(t, x)
	m := a.m
	l := a.gate.Load(m.now)
	m.after(networkDelay, func() {
		r := m.routers[t.q.r.entry]
		if m.scenario.reportLag == 0 {
			r.Report(m.now, a.name, l)
		}
		r.Refused(m.now, a.name, t.q.routing, x.Outcome)
		t.q.lastOutcome = x.Outcome
		t.q.machine.Step(offer.Frame{ID: t.id, Number: t.number, Content: offer.Refused{Outcome: x.Outcome, Released: x.Released}})
		m.offer(t.q)
	})
}

// inversion returns 1 if a request is shed while the same agent runs a request of a lower
// tier, and 0 otherwise.
func (a *agent) inversion(t *attempt, x gate.Refuse) int {
	if x.Outcome.Reason != call.ReasonOverload && x.Outcome.Reason != call.ReasonDeadlinePassed {
		return 0
	}
	for _, o := range a.attempts {
		if o.task != nil && !o.task.canceled && o.q.r.rank.Below(t.q.r.rank) {
			return 1
		}
	}
	return 0
}

// engineCrashed stops an agent together with its engine. Its requests are lost, and the
// entries suspect it after the network delay.
func (m *managed) engineCrashed(i int) {
	a := m.agents[i]
	a.crashed = true
	for _, t := range a.attempts {
		t.q.r.lost = true
	}
	m.after(networkDelay, func() {
		for _, r := range m.routers {
			r.Suspect(m.now, a.name)
		}
	})
}

func (m *managed) inversions() int { return m.inversionCount }

var _ system = (*managed)(nil)
