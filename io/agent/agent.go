// Package agent implements the agent, the process that runs beside a target and
// controls access to it. Entries offer requests to the agent over io/link; the agent
// queues them, dispatches them to the target as capacity allows, and streams the
// responses back.
//
// # Usage
//
//	a, err := agent.New(settings, telemetry)
//	err = a.Run(ctx, stop)
//
// # Offers
//
// An entry opens one stream for each offer. Its first frame is the offer. A request body
// that is not part of the offer follows in frames of its own, once the request is
// dispatched. The agent replies with frames in sequence: Queued if the offer has to
// wait, Refused if it is not run, Dispatched when the target is connected, then the
// response's head, its data and a final End frame. Of these frames, only Refused may let
// the entry offer the request to another agent.
//
// All decisions are made by one core/gate.Gate, which is owned by the control
// loop. Each stream has its own goroutine, which posts events to the gate and carries out
// the actions that the gate emits for it.
//
// A request that is not idempotent runs to its end once it is dispatched, even if its
// entry disconnects, unless its body is still being received. An idempotent one is
// canceled when its entry disconnects.
//
// # Shutdown
//
// When stop is closed, the agent reports that it is not ready, releases queued offers
// to be offered elsewhere and refuses new ones. Run returns when all running requests
// have ended. If ctx ends first, Run aborts those that are left.
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
	"kingcupstand/io/intake"
	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/io/target"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// Sizes and times of an agent.
const (
	// tickInterval is the time between two Tick events of the gate.
	tickInterval = 20 * time.Millisecond
	// idSlack is added to the lifetime of request ids. It allows for an error in the
	// entry's estimate of the agent's uptime, from which the expiry is computed.
	idSlack = time.Minute
	// idLimit is the most request ids that the gate records.
	idLimit = 200_000
	// shedHold is how long lower tiers are refused after a request was shed.
	shedHold = 2 * time.Second
	// stopTimeout bounds the shutdown of the HTTP server after the last response.
	stopTimeout = 5 * time.Second
)

// ErrAborted is returned by Run if requests in flight were aborted at the end of the
// grace period.
var ErrAborted = errors.New("requests in flight were aborted")

// Agent is one agent process. Its methods are safe for concurrent use.
type Agent struct {
	settings *spec.Settings
	telem    *telem.Telemetry
	node     *node.Node
	link     *link.Client
	client   *target.Client
	loop     *actor.Loop[*state]
	// drained is closed when the gate has no request left after a Drain.
	drained chan struct{}
	// streams is the number of open offer streams: those whose final frame has not
	// been sent.
	streams atomic.Int64
}

// state is owned by the agent's control loop.
type state struct {
	gate *gate.Gate
	// streams has a channel for the actions of each stream.
	streams map[gate.StreamID]chan gate.Action
	// lastID is the id of the newest stream.
	lastID gate.StreamID
}

// New returns an agent with the given settings. It opens no sockets before Run. It fails
// if the target's URL is invalid or a TLS file for peers can't be loaded.
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
	g := gate.New(s.Name, a.node.Incarnation(), limits(s), a.node.Config(), speed(s.Target))
	a.loop = actor.New(&state{gate: g, streams: make(map[gate.StreamID]chan gate.Action)})
	return a, nil
}

const (
	// queueMemory is the part of the process's memory that is for queued requests, as a divisor.
	queueMemory = 2
	// queues is the number of parts of the queue, each of which has a limit of its own.
	queues = 2
	// offerBytes is the largest size in bytes of a queued request: its body, the buffer that it was received
	// in, and its stream.
	offerBytes = 2*link.MaxInlineBody + 32<<10
)

// limits returns the gate's limits for the target that the settings name. The queue is as
// long as the memory allows.
func limits(s *spec.Settings) gate.Limits {
	t, n := s.Target, int(s.Target.Queue)
	if m := int(s.MemoryMib) << 20; m > 0 {
		n = min(n, max(1, m/queueMemory/queues/offerBytes))
	}
	return gate.Limits{
		Batch:       int(t.Batch),
		BatchTokens: int(t.BatchTokens),
		Queue:       n,
		IDs:         idLimit,
		IDLifetime:  call.IDLifetime + idSlack,
		ShedHold:    shedHold,
	}
}

// speed returns the initial estimate of a target's speed.
func speed(t *spec.Target) gate.Speed {
	return gate.Speed{
		Prefill: time.Duration(t.PrefillUsPerToken) * time.Microsecond,
		Step:    time.Duration(t.StepUs) * time.Microsecond,
	}
}

// Run listens on the addresses in the settings and serves until stop is closed and all
// requests have ended, or until ctx ends. It may be called once. It returns nil after a
// complete shutdown or if ctx ends before stop is closed, an error that wraps ErrAborted
// if ctx ends while requests are left, and otherwise the error of the listener that
// failed.
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

// Serve is like Run, on a listener p for peers and a listener h for HTTP. It closes
// both.
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
	s := httpd.NewServer(inner, r, nil, intake.New(intake.Limits{Connections: int(a.settings.MaxConnections)}, func(intake.Report) {}))
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

// wait blocks until the agent is to exit. It returns nil after a graceful shutdown or if
// ctx ends before stop is closed, an error that wraps ErrAborted if ctx ends before the
// gate is drained, and otherwise the first error from errs.
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

// flush waits until every stream has sent its final frame, or until ctx ends.
func (a *Agent) flush(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for a.streams.Load() > 0 && ctx.Err() == nil {
		<-t.C
	}
}

// runTick posts a Tick to the gate every tickInterval until ctx ends.
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

// post passes an event to the gate asynchronously.
func (a *Agent) post(e gate.Event) {
	a.loop.Post(func(now time.Duration, s *state) { a.step(now, s, e) })
}

// step passes an event to the gate and delivers the resulting actions to their streams.
// It must be called on the control loop.
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

// deliver puts an action into a stream's channel. It never blocks: a stream gets at most
// three actions (queued, dispatch or refuse, cancel), which fit into its channel.
func (s *state) deliver(c gate.StreamID, x gate.Action) {
	if q, ok := s.streams[c]; ok {
		q <- x
	}
}

// actionsPerStream is the capacity of a stream's channel. It is no less than the number
// of actions that one offer can get.
const actionsPerStream = 4

// register assigns an id and a channel to a new stream and passes its offer to the gate
// in the same step.
func (a *Agent) register(o gate.Offer) (gate.StreamID, <-chan gate.Action) {
	q := make(chan gate.Action, actionsPerStream)
	c := actor.Ask(a.loop, func(now time.Duration, s *state) gate.StreamID {
		s.lastID++
		o.Stream = s.lastID
		s.streams[o.Stream] = q
		a.step(now, s, gate.Arrive{Offer: o})
		return o.Stream
	})
	return c, q
}

// unregister passes a last event to the gate and removes the stream, which gets no
// further actions.
func (a *Agent) unregister(c gate.StreamID, e gate.Event) {
	a.loop.Post(func(now time.Duration, s *state) {
		a.step(now, s, e)
		delete(s.streams, c)
	})
}

// disconnect reports to the gate that the entry of a queued offer disconnected. After it
// returns, the gate does not dispatch the offer, unless it already has.
func (a *Agent) disconnect(c gate.StreamID) {
	actor.Ask(a.loop, func(now time.Duration, s *state) struct{} {
		a.step(now, s, gate.Disconnect{Stream: c})
		return struct{}{}
	})
}

// load returns the current load report, which is sent to peers and with final frames.
func (a *Agent) load() *wire.Load {
	l := actor.Ask(a.loop, func(now time.Duration, s *state) gate.Load { return s.gate.Load(now) })
	return link.PackLoad(l)
}

// tierRank returns the rank of a workspace's tier, or 0 if its contract lacks the tier.
// It is used for logs only.
func (a *Agent) tierRank(workspace, tier string) call.Rank {
	t, _ := a.node.Config().Terms(workspace, tier)
	return t.Rank
}
