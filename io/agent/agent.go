// Package agent is the process beside a target: it connects a gate to the
// entries' offers and to the target.
//
// # Usage
//
//	a, err := agent.New(settings, telemetry)
//	err = a.Run(ctx, stop)
//
// Run ends when the target's work is finished after stop is closed, or when ctx
// ends, which cuts what still runs.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/gate"
	"kingcupstand/io/actor"
	"kingcupstand/io/httpd"
	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/io/target"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// Sizes and times of an agent.
const (
	tickInterval = 20 * time.Millisecond
	// idSlack allows for an entry's late view of the agent's uptime.
	idSlack  = time.Minute
	idLimit  = 200_000
	shedHold = 2 * time.Second
	// stopTimeout bounds the end of the listeners after the last answer.
	stopTimeout = 5 * time.Second
)

// ErrAborted is returned by Run if requests were cut by the end of the grace period.
var ErrAborted = errors.New("requests in flight were cut")

// Agent is one agent process. It is safe for concurrent use.
type Agent struct {
	settings *spec.Settings
	telem    *telem.Telemetry
	node     *node.Node
	link     *link.Client
	client   *target.Client
	loop     *actor.Loop[*state]
	drained  chan struct{}
	// streams counts the offers that have not got their last frame.
	streams atomic.Int64
}

// state is what the agent's control goroutine owns.
type state struct {
	gate    *gate.Gate
	streams map[gate.StreamID]chan gate.Action
	last    gate.StreamID
}

// New returns an agent with the given settings. It does nothing before Run.
func New(s *spec.Settings, t *telem.Telemetry) (*Agent, error) {
	c, err := target.New(s.Target.Url, time.Duration(s.StallMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	p, err := node.PeerTLS(s)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: s,
		telem:    t,
		link:     link.New(p),
		client:   c,
		drained:  make(chan struct{}),
	}
	a.node, err = node.New(s, t, node.Source(s), a.link, node.Hooks{
		Config:    func(c *conf.Config) { a.post(gate.Reconfigure{Policy: c}) },
		Instances: func([]*spec.Instance) {},
		Load:      func(string, *wire.Load) {},
		OwnLoad:   a.load,
	})
	if err != nil {
		return nil, err
	}
	g := gate.New(s.Name, a.node.Incarnation(), limits(s.Target), a.node.Config(), speed(s.Target))
	a.loop = actor.New(&state{gate: g, streams: make(map[gate.StreamID]chan gate.Action)})
	return a, nil
}

func limits(t *spec.Target) gate.Limits {
	return gate.Limits{
		Batch:       int(t.Batch),
		BatchTokens: int(t.BatchTokens),
		Queue:       int(t.Queue),
		IDs:         idLimit,
		IDLifetime:  call.IDLifetime + idSlack,
		ShedHold:    shedHold,
	}
}

func speed(t *spec.Target) gate.Speed {
	return gate.Speed{
		Prefill: time.Duration(t.PrefillUsPerToken) * time.Microsecond,
		Step:    time.Duration(t.StepUs) * time.Microsecond,
	}
}

// Run serves until stop is closed and the work is finished, or until ctx ends.
func (a *Agent) Run(ctx context.Context, stop <-chan struct{}) error {
	p, err := net.Listen("tcp", a.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	h, err := net.Listen("tcp", a.settings.Listen.Http)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for http: %w", err), p.Close())
	}
	return a.Serve(ctx, stop, p, h)
}

// Serve is Run on listeners for peers and for HTTP, which it closes.
func (a *Agent) Serve(ctx context.Context, stop <-chan struct{}, p, h net.Listener) error {
	r, err := httpd.New(a.settings.Name, a.node.Routes(), nil)
	if err != nil {
		return err
	}
	tc, err := node.PeerTLS(a.settings)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := httpd.NewServer(inner, r, nil, int(a.settings.MaxConnections))
	var g sync.WaitGroup
	errs := make(chan error, 2)
	g.Go(func() { errs <- link.Serve(inner, p, tc, a, a.node) })
	g.Go(func() { errs <- s.Serve(h) })
	g.Go(func() { a.node.Run(inner) })
	g.Go(func() { a.runTick(inner) })
	a.telem.Log.Info("agent started", "peer", p.Addr().String(), "http", h.Addr().String(), "incarnation", a.node.Incarnation())
	err = a.wait(ctx, stop, errs)
	cancel()
	c, end := context.WithTimeout(context.Background(), stopTimeout)
	defer end()
	err = errors.Join(err, s.Stop(c))
	g.Wait()
	a.loop.Stop()
	return errors.Join(err, a.link.Close())
}

// wait returns when the agent is to end: nil after a planned stop.
func (a *Agent) wait(ctx context.Context, stop <-chan struct{}, errs <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return err
	case <-stop:
	}
	a.node.SetStopping()
	a.telem.Log.Info("agent stopping")
	a.post(gate.Drain{})
	select {
	case <-a.drained:
		a.flush(ctx)
		a.telem.Log.Info("agent stopped", "cut", 0)
		return nil
	case <-ctx.Done():
		n := actor.Ask(a.loop, func(_ time.Duration, s *state) int { return len(s.streams) })
		a.telem.Log.Info("agent stopped", "cut", n)
		return fmt.Errorf("%d requests: %w", n, ErrAborted)
	}
}

// flush waits until every stream has sent its last frame.
func (a *Agent) flush(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for a.streams.Load() > 0 && ctx.Err() == nil {
		<-t.C
	}
}

// runTick lets the gate's time pass.
func (a *Agent) runTick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.post(gate.Tick{})
		}
	}
}

// post gives the gate an event and its actions to the streams they are for.
func (a *Agent) post(e gate.Event) {
	a.loop.Post(func(now time.Duration, s *state) { a.step(now, s, e) })
}

func (a *Agent) step(now time.Duration, s *state, e gate.Event) {
	for _, x := range s.gate.Step(now, e) {
		switch x := x.(type) {
		case gate.Queued:
			s.deliver(x.Stream, x)
		case gate.Dispatch:
			s.deliver(x.Stream, x)
		case gate.Refuse:
			a.telem.Scope.Tagged(map[string]string{"reason": string(x.Outcome.Reason)}).Counter("refusals").Inc(1)
			s.deliver(x.Stream, x)
		case gate.Cancel:
			a.telem.Scope.Tagged(map[string]string{"reason": string(x.Outcome.Reason)}).Counter("cancels").Inc(1)
			s.deliver(x.Stream, x)
		case gate.Drained:
			close(a.drained)
		}
	}
}

// deliver hands an action to a stream. A stream gets at most three (hold,
// dispatch or refuse, cancel), which fit its channel, so this never blocks.
func (s *state) deliver(c gate.StreamID, x gate.Action) {
	if q, ok := s.streams[c]; ok {
		q <- x
	}
}

// actionsPerStream is the most actions that one offer can get.
const actionsPerStream = 4

// register gives a new stream its number and its channel, and lets its offer
// arrive at the gate in the same step.
func (a *Agent) register(o gate.Offer) (gate.StreamID, <-chan gate.Action) {
	q := make(chan gate.Action, actionsPerStream)
	c := actor.Ask(a.loop, func(now time.Duration, s *state) gate.StreamID {
		s.last++
		o.Stream = s.last
		s.streams[o.Stream] = q
		a.step(now, s, gate.Arrive{Offer: o})
		return o.Stream
	})
	return c, q
}

// unregister forgets a stream that has got its last frame.
func (a *Agent) unregister(c gate.StreamID, e gate.Event) {
	a.loop.Post(func(now time.Duration, s *state) {
		a.step(now, s, e)
		delete(s.streams, c)
	})
}

// depart tells the gate that a queued offer's entry is gone. When it
// returns, the gate will not dispatch the offer any more, unless it already has.
func (a *Agent) depart(c gate.StreamID) {
	actor.Ask(a.loop, func(now time.Duration, s *state) struct{} {
		a.step(now, s, gate.Disconnect{Stream: c})
		return struct{}{}
	})
}

// load returns the agent's report for peers and answers.
func (a *Agent) load() *wire.Load {
	l := actor.Ask(a.loop, func(now time.Duration, s *state) gate.Load { return s.gate.Load(now) })
	return link.PackLoad(l)
}

// rank is only for logs: the tier's rank, or 0 if the contract has none.
func (a *Agent) rank(workspace, tier string) call.Rank {
	t, _ := a.node.Config().Terms(workspace, tier)
	return t.Rank
}
