// Package front is the front proxy: an HTTP server that admits callers' requests,
// queues those that find no free slot, and dispatches each to a target.
//
// # Usage
//
//	f, err := front.New(settings, telemetry, codec, source)
//	err = f.Run(ctx, stop)
//
// # Requests
//
// A request's headers are decoded, its route and workspace are looked up in the plan, and
// its cost is charged to the workspace's allowance. It then waits in the queue of its
// service, at most for its maximum wait, until it is granted a slot at a target. After
// each dispatch, the target's response is forwarded, or the request is dispatched to
// another target if the route allows that and the service's retry budget is not spent.
// The caller gets exactly one response.
//
// Each request id reaches one front only. Whether a request may run at all, and
// whether it may run again, is therefore decided inside one process: a non-idempotent
// request is dispatched again only if the target guarantees that it has not run it,
// and a 503 of the front itself guarantees that no target has run it. (A target's own 503
// may be forwarded.)
//
// # Gossip
//
// Fronts share no storage. Several times a second, each sends a heartbeat with its requests
// in flight, queue lengths, demand, usage of allowances and document revisions to a random
// selection of its peers. The state built from heartbeats belongs to the control loop;
// request goroutines change it only through functions posted to the loop. What it holds
// about peers may be a fraction of a second old.
//
// # Shutdown
//
// Run returns after stop is closed and every accepted request has been answered, or
// when the grace period ends.
package front

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cryptorand "crypto/rand"

	"storj.io/drpc"

	"kingcupstand/core/plan"
	"kingcupstand/core/poison"
	"kingcupstand/io/actor"
	"kingcupstand/io/dial"
	"kingcupstand/io/gossip"
	"kingcupstand/io/intake"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// ErrAborted is returned by Run if requests in flight were aborted at the end of the
// grace period.
var ErrAborted = errors.New("requests in flight were aborted")

// Parts of a shutdown.
const (
	// drainDelay is how long a front that shuts down still expects new connections, and
	// therefore doesn't exit even if no request is in flight: two failed readiness checks
	// of a load balancer that checks once a second, and one check on its way.
	drainDelay = 3200 * time.Millisecond
	// exitReserve is the fraction of the grace period that is kept for the exit of the
	// process, and answerReserve the fraction before it in which requests that are aborted
	// get their answers. Each is at least minReserve, or reserveLimit of the grace period if that
	// is shorter.
	exitReserve   = 1.0 / 32
	answerReserve = 1.0 / 32
	minReserve    = 100 * time.Millisecond
	reserveLimit  = 1.0 / 8
	// flushTime is how long a front that has answered all requests waits for the answers to be
	// written.
	flushTime = 250 * time.Millisecond
)

// Front is one front process. Its methods are safe for concurrent use.
type Front struct {
	settings *spec.Front
	telem    *telem.Telemetry
	meter    *meter
	codec    Codec
	source   Source
	// positions reads the platform's position from source.
	positions positions
	dialer    *dial.Dialer
	intake    *intake.Intake
	gossip    *gossip.Transport
	loop      *actor.Loop[*state]
	// plan is the current plan.
	plan atomic.Pointer[plan.Plan]
	// incarnation is the start time in Unix milliseconds. It tells peers this process
	// from earlier ones at the same address.
	incarnation uint64
	stopping    atomic.Bool
	// abortAt is when requests still in flight are aborted; nil before a shutdown. The context
	// aborted ends then.
	abortAt atomic.Pointer[time.Time]
	aborted context.Context
	abort   context.CancelFunc
	// running ends when Run is about to return, which waits for tasks.
	running  context.Context
	tasks    sync.WaitGroup
	inflight atomic.Int64
	// fetching is true while documents are being fetched from a peer.
	fetching atomic.Bool
	// primaryWatcher is true if this front watches the platform with the short interval.
	primaryWatcher atomic.Bool
	// isolations are the parts of prompts and the requests that crash targets, and until when, on
	// the loop's clock; see poison.Table.Set. suspects is true while any is suspected.
	isolations atomic.Pointer[map[poison.Part]time.Duration]
	suspects   atomic.Bool
	// withheldTargets are the targets that must get no requests, and until when, on the loop's
	// clock.
	withheldTargets atomic.Pointer[map[string]time.Duration]
	// stopStarted is when the shutdown started; nil before.
	stopStarted atomic.Pointer[time.Time]
	// started is when Run was called, and joined is closed once a peer's heartbeat has arrived.
	started time.Time
	joined  chan struct{}
	join    sync.Once
}

var (
	_ Sink                 = (*Front)(nil)
	_ wire.DRPCFrontServer = (*Front)(nil)
)

// New returns a Front with the given settings. It opens no sockets before Run.
func New(s *spec.Front, t *telem.Telemetry, c Codec, p Source) (*Front, error) {
	var b [16]byte
	if _, err := cryptorand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("random seed: %w", err)
	}
	f := &Front{
		settings:    s,
		telem:       t,
		codec:       c,
		source:      p,
		positions:   positions{source: p},
		dialer:      dial.New(t.Log),
		incarnation: uint64(time.Now().UnixMilli()),
		joined:      make(chan struct{}),
	}
	f.aborted, f.abort = context.WithCancel(context.Background())
	f.meter = newMeter(t)
	f.intake = f.newIntake()
	f.plan.Store(plan.Empty())
	f.isolations.Store(&map[poison.Part]time.Duration{})
	f.withheldTargets.Store(&map[string]time.Duration{})
	r := rand.New(rand.NewPCG(binary.NativeEndian.Uint64(b[:8]), binary.NativeEndian.Uint64(b[8:])))
	f.loop = actor.New(newState(s, r))
	return f, nil
}

// Run serves until stop is closed and the requests in flight are answered or the grace
// period ends, or until ctx ends. It may be called once. It returns nil after a complete
// shutdown or if ctx ends before stop is closed, an error that wraps ErrAborted if
// requests were aborted during a shutdown, and otherwise the error of the server that
// failed.
func (f *Front) Run(ctx context.Context, stop <-chan struct{}) error {
	f.started = time.Now()
	var err error
	if f.gossip, err = gossip.New(f.settings.Peer, f.telem.Log); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f.running = inner
	callers := f.server(inner, http.HandlerFunc(f.serve))
	f.intake.Attach(callers)
	ls, err := f.listen(callers)
	if err != nil {
		return errors.Join(err, f.gossip.Close())
	}
	var g sync.WaitGroup
	errs := make(chan error, len(ls)+1)
	for _, l := range ls {
		g.Go(func() { errs <- l.run() })
	}
	g.Go(func() {
		errs <- f.gossip.Serve(inner, func(m drpc.Mux) error { return wire.DRPCRegisterFront(m, f) })
	})
	g.Go(func() { f.gossip.Run(f.receive) })
	g.Go(func() { f.source.Run(inner, f) })
	g.Go(func() { f.dialer.Run(inner) })
	g.Go(func() { f.intake.Run(inner) })
	g.Go(func() { f.runGossip(inner) })
	f.telem.Log.Info("started", "role", "front", "callers", f.settings.Callers, "peer", f.settings.Peer,
		"data-centre", f.settings.DataCentre, "incarnation", f.incarnation, "seeds", f.settings.Seeds)
	err = f.wait(ctx, stop, errs)
	if f.stopping.Load() {
		f.flush(callers)
	}
	cancel()
	for _, l := range ls {
		err = errors.Join(err, l.close())
	}
	err = errors.Join(err, f.gossip.Close())
	g.Wait()
	f.loop.Stop()
	f.tasks.Wait()
	return err
}

// server returns an HTTP server that passes every request to h. The handler of callers'
// requests is not behind an http.ServeMux, which would clean and redirect paths: targets
// get them byte for byte.
func (f *Front) server(ctx context.Context, h http.Handler) *http.Server {
	return &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          f.meter.httpLog(),
	}
}

// reservedDescriptors is how many file descriptors are kept for targets, peers, the
// platform and files; callers' connections get the rest.
const reservedDescriptors = 600

// Bounds of callers' connections. They keep unknown clients from holding memory; the
// plan's limit of bodies is checked for each request.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute
)

// listener is an address and the HTTP server for it.
type listener struct {
	net    net.Listener
	server *http.Server
}

func (l *listener) run() error {
	if err := l.server.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve http: %w", err)
	}
	return nil
}

func (l *listener) close() error { return l.server.Close() }

// listen opens the listeners that the settings name. Addresses other than the
// callers' share one server for readiness and metrics.
func (f *Front) listen(callers *http.Server) ([]*listener, error) {
	m := http.NewServeMux()
	m.HandleFunc("/", f.ready)
	if f.settings.Metrics != "" {
		m.Handle("/metrics", f.telem.MetricsHandler())
	}
	admin := f.server(context.Background(), m)
	admin.ReadTimeout = headerTimeout
	by := map[string]*http.Server{
		f.settings.Callers:   callers,
		f.settings.Readiness: admin,
		f.settings.Metrics:   admin,
		f.settings.Control:   admin,
	}
	delete(by, "")
	var ls []*listener
	for a, s := range by {
		n, err := net.Listen("tcp4", a)
		if err != nil {
			for _, l := range ls {
				err = errors.Join(err, l.net.Close())
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		if s == callers {
			if n, err = f.intake.Listener(n); err != nil {
				f.telem.Log.Error(err, "callers' connections are not bounded by memory")
			}
		}
		ls = append(ls, &listener{net: n, server: s})
	}
	return ls, nil
}

// joinTimeout is how long a front that starts waits for a peer's heartbeat before it reports
// itself ready all the same. Peers answer its own first heartbeat within about 300 ms.
const joinTimeout = 500 * time.Millisecond

// informed reports whether the front knows what its peers know of limits of targets, usage of
// allowances, and parts of prompts and requests that crash targets, or there is no peer to learn it from.
func (f *Front) informed() bool {
	select {
	case <-f.joined:
		return true
	default:
	}
	return time.Since(f.started) >= joinTimeout || !hasPeers(f.settings)
}

// waitInformed waits until the front is informed, but not beyond the end of ctx.
func (f *Front) waitInformed(ctx context.Context) {
	if f.informed() {
		return
	}
	t := time.NewTimer(joinTimeout - time.Since(f.started))
	defer t.Stop()
	select {
	case <-f.joined:
	case <-t.C:
	case <-ctx.Done():
	}
}

// ready handles readiness checks: 200 if the front accepts new connections, else 503.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.stopping.Load() || f.plan.Load().Revision() == 0 || !f.informed() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// wait blocks until the front is to exit. It returns nil if ctx ends before a shutdown or
// if all requests were answered, and otherwise an error that wraps ErrAborted or the first
// error from errs.
func (f *Front) wait(ctx context.Context, stop <-chan struct{}, errs <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return err
	case <-stop:
	}
	g := time.Duration(f.settings.GraceMs) * time.Millisecond
	now := time.Now()
	end := now.Add(g - reserve(g, exitReserve) - reserve(g, answerReserve))
	f.stopStarted.Store(&now)
	f.abortAt.Store(&end)
	f.stopping.Store(true)
	f.telem.Log.Info("stopping", "in-flight", f.inflight.Load(), "grace-ms", f.settings.GraceMs)
	f.drain(ctx, time.Now().Add(min(drainDelay, g/2)), end)
	n := f.inflight.Load()
	f.abort()
	f.telem.Log.Info("stopped", "cut", n)
	if n > 0 {
		return fmt.Errorf("%d requests: %w", n, ErrAborted)
	}
	return nil
}

// flush waits until the answers to all requests are written: a handler returns before that. It
// closes connections that carry no request.
func (f *Front) flush(callers *http.Server) {
	g := time.Duration(f.settings.GraceMs) * time.Millisecond
	t := time.Until(*f.abortAt.Load()) + reserve(g, answerReserve)
	ctx, cancel := context.WithTimeout(context.Background(), min(t, flushTime))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		f.telem.Log.Info("connections are still open at the exit", "in-flight", f.inflight.Load(), "error", err.Error())
	}
}

// drain waits until no request is in flight and load balancers have had time to stop
// sending new ones, but not beyond end.
func (f *Front) drain(ctx context.Context, earliest, end time.Time) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	abort := time.NewTimer(time.Until(end))
	defer abort.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-abort.C:
			return
		case n := <-t.C:
			if n.After(earliest) && f.inflight.Load() == 0 {
				return
			}
		}
	}
}

// reserve returns how much of the grace period is kept for a part of the shutdown.
func reserve(grace time.Duration, fraction float64) time.Duration {
	g := float64(grace)
	return max(time.Duration(g*fraction), min(minReserve, time.Duration(g*reserveLimit)))
}
