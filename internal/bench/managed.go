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

// Limits of the agents in the bench, as in their default settings.
const (
	idLife    = 10 * time.Minute
	idLimit   = 1 << 20
	shedHold  = 2 * time.Second
	queueSize = 1000
	model     = "m"
	syncPeers = 4
)

// managed is the project's own code: routers at the entries, gates at the agents.
type managed struct {
	*simulation
	routers []*route.Router
	agents  []*agent
	random  *rand.Rand
	nonce   uint64
	wrong   int
}

// agent is a gate with its engine.
type agent struct {
	m        *managed
	name     string
	gate     *gate.Gate
	engine   *engine
	attempts map[gate.StreamID]*attempt
	last     gate.StreamID
	dead     bool
}

// attempt is one offer of a request.
type attempt struct {
	q     *submission
	conn  gate.StreamID
	id    call.ID
	task  *task
	order uint32
}

// submission is a request at its entry.
type submission struct {
	r     *request
	life  *offer.Machine
	want  route.Request
	tried []string
	last  call.Outcome
}

// terms implements gate.Policy for a deployment.
type terms struct{ tiers []tier }

func (t terms) Terms(_, name string) (gate.Terms, bool) {
	for i, x := range t.tiers {
		if x.name == name {
			return gate.Terms{Rank: call.Rank(i + 1), Wait: x.wait, Preemptible: x.cut, Share: 0.2}, true
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
			Batch: e.spec.batch, BatchTokens: 131_072, Queue: queueSize, IDs: idLimit, IDLifetime: 2 * idLife, ShedHold: shedHold,
		}
		s := gate.Speed{Prefill: e.spec.step / time.Duration(e.spec.prefill), Step: e.spec.step}
		m.agents = append(m.agents, &agent{
			m: m, name: n, engine: e, attempts: make(map[gate.StreamID]*attempt),
			gate: gate.New(n, uint64(i+1), l, terms{d.Tiers}, s),
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

// sync brings a few agents' reports to an entry, as the node's sync does.
func (m *managed) sync(entry int) {
	for _, i := range m.random.Perm(len(m.agents))[:syncPeers] {
		m.report(entry, m.agents[i])
	}
	m.after(reportEvery, func() { m.sync(entry) })
}

// report carries an agent's load to an entry with the scenario's lag.
func (m *managed) report(entry int, a *agent) {
	if a.dead {
		return
	}
	l := a.gate.Load(m.now)
	m.after(hop+m.scenario.reportLag, func() { m.routers[entry].Report(m.now, a.name, l) })
}

func (m *managed) tickAll() {
	for _, a := range m.agents {
		a.step(gate.Tick{})
	}
	m.after(tick, m.tickAll)
}

func (m *managed) submit(r *request) {
	q := &submission{r: r, life: offer.New(false), want: route.Request{
		Model: model, Workspace: fmt.Sprint(r.workspace), Rank: r.rank, Wait: m.scenario.Deployment.Tiers[r.rank-1].wait,
		Prompt: r.prompt, Output: r.output, Prefix: r.prefix, PrefixTokens: r.shared,
	}}
	m.offer(q)
}

// offer offers a request to the agent that the entry's router chooses.
func (m *managed) offer(q *submission) {
	router := m.routers[q.r.entry]
	c, err := router.Choose(m.now, q.want, q.tried)
	if err != nil {
		if q.last.Reason == call.ReasonOverload || q.last.Reason == call.ReasonDeadlinePassed {
			router.Shed(m.now, q.want)
		}
		q.r.ending = call.NotRun(call.ReasonOverload)
		return
	}
	q.tried = append(q.tried, c.Target.Name)
	router.Sent(m.now, c.Target.Name, q.want)
	m.nonce++
	var n [call.NonceSize]byte
	binary.BigEndian.PutUint64(n[:], m.nonce)
	i := slices.IndexFunc(m.agents, func(a *agent) bool { return a.name == c.Target.Name })
	t := &attempt{q: q, id: call.NewTicket(c.Target.Name, c.Incarnation, n, c.Uptime+idLife).ID()}
	t.order = q.life.Offer(t.id, true)
	cached := c.Cached
	m.after(hop, func() { m.agents[i].arrive(t, cached) })
}

func (a *agent) arrive(t *attempt, cached int) {
	if a.dead {
		a.m.routers[t.q.r.entry].Suspect(a.m.now, a.name)
		a.m.after(hop, func() {
			t.q.life.Step(offer.NotSent{})
			a.m.offer(t.q)
		})
		return
	}
	a.last++
	t.conn = a.last
	a.attempts[t.conn] = t
	r := t.q.r
	a.step(gate.Arrive{Offer: gate.Offer{
		Stream: t.conn, ID: t.id, Workspace: fmt.Sprint(r.workspace), Tier: a.m.scenario.Deployment.Tiers[r.rank-1].name,
		Budget: r.deadline - a.m.now, Prompt: r.prompt, Cached: cached, Output: r.output, Idempotent: true, Streamed: true,
	}})
}

// step feeds the gate and carries out what it says.
func (a *agent) step(e gate.Event) {
	if a.dead {
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
	t.task = &task{r: r, began: func() {
		r.first = a.m.now + hop
		a.step(gate.FirstByte{Stream: t.conn})
	}, ended: func() {
		r.done = a.m.now + hop
		r.ending = answered
		delete(a.attempts, t.conn)
		a.step(gate.Finish{Stream: t.conn, Complete: true, Prompt: r.prompt, Cached: t.task.hit, Output: r.output})
		a.m.report(r.entry, a)
	}}
	a.engine.submit(t.task)
}

func (a *agent) cancel(t *attempt, e call.Outcome) {
	a.engine.cancel(t.task)
	t.q.r.ending = e
	delete(a.attempts, t.conn)
	a.m.after(0, func() { a.step(gate.Finish{Stream: t.conn}) })
}

// refuse sends a refusal to the entry, which may offer the request elsewhere.
func (a *agent) refuse(t *attempt, x gate.Refuse) {
	delete(a.attempts, t.conn)
	a.m.wrong += a.inversion(t, x)
	m := a.m
	l := a.gate.Load(m.now)
	m.after(hop, func() {
		r := m.routers[t.q.r.entry]
		if m.scenario.reportLag == 0 {
			r.Report(m.now, a.name, l)
		}
		r.Refused(m.now, a.name, t.q.want, x.Outcome)
		t.q.last = x.Outcome
		t.q.life.Step(offer.Frame{ID: t.id, Number: t.order, Content: offer.Refused{Outcome: x.Outcome, Released: x.Released}})
		m.offer(t.q)
	})
}

// inversion returns 1 if a request is shed while a lower tier runs here.
func (a *agent) inversion(t *attempt, x gate.Refuse) int {
	if x.Outcome.Reason != call.ReasonOverload && x.Outcome.Reason != call.ReasonDeadlinePassed {
		return 0
	}
	for _, o := range a.attempts {
		if o.task != nil && !o.task.gone && o.q.r.rank.Below(t.q.r.rank) {
			return 1
		}
	}
	return 0
}

// died loses an agent with its engine.
func (m *managed) died(i int) {
	a := m.agents[i]
	a.dead = true
	for _, t := range a.attempts {
		t.q.r.lost = true
	}
	m.after(hop, func() {
		for _, r := range m.routers {
			r.Suspect(m.now, a.name)
		}
	})
}

func (m *managed) inversions() int { return m.wrong }

var _ system = (*managed)(nil)
