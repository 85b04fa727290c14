// Package front is an entry that is itself the gate to its targets: it takes
// callers' requests, orders those that must wait, and sends each to a target.
//
// # Usage
//
//	f, err := front.New(settings, telemetry, codec, source)
//	err = f.Run(ctx, stop)
//
// Each attempt of a caller reaches one front only, so at-most-once is decided
// inside one process. Fronts share no state: they tell each other several times a
// second what they have in flight and which documents they hold.
//
// Run ends when stop is closed and every accepted request has its answer, or when
// the grace period ends.
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

	"golang.org/x/net/netutil"

	"kingcupstand/core/plan"
	"kingcupstand/io/ctrl"
	"kingcupstand/io/dial"
	"kingcupstand/io/gossip"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// ErrAborted is returned by Run if requests were cut by the end of the grace period.
var ErrAborted = errors.New("requests in flight were cut")

// Times of a stop, as parts of the grace period.
const (
	// departure is how long a stopping front expects new connections: two missed
	// checks of a balancer that asks once a second, and one on its way.
	departure = 3200 * time.Millisecond
	// lastPart of the grace period is left for the end of the process.
	lastPart = 1.0 / 32
)

// Front is one process. It is safe for concurrent use.
type Front struct {
	settings    *spec.Front
	telem       *telem.Telemetry
	meter       *meter
	codec       Codec
	source      Source
	dialer      *dial.Dialer
	beats       *gossip.Transport
	loop        *ctrl.Loop[*state]
	plan        atomic.Pointer[plan.Plan]
	incarnation uint64
	stopping    atomic.Bool
	// stopAt is when a stopping front cuts what is left.
	stopAt   atomic.Pointer[time.Time]
	inflight atomic.Int64
	fetching atomic.Bool
	lookout  atomic.Bool
	// stopBegan is when the stop began.
	stopBegan atomic.Pointer[time.Time]
}

var (
	_ Sink                 = (*Front)(nil)
	_ wire.DRPCFrontServer = (*Front)(nil)
)

// New returns a front with the given settings. It does nothing before Run.
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
		dialer:      dial.New(t.Log),
		incarnation: uint64(time.Now().UnixMilli()),
	}
	f.meter = newMeter(t)
	f.plan.Store(plan.Empty())
	r := rand.New(rand.NewPCG(binary.NativeEndian.Uint64(b[:8]), binary.NativeEndian.Uint64(b[8:])))
	f.loop = ctrl.New(newState(s, r))
	return f, nil
}

// Run serves until stop is closed and the work is finished, or until ctx ends.
func (f *Front) Run(ctx context.Context, stop <-chan struct{}) error {
	var err error
	if f.beats, err = gossip.New(f.settings.Peer, f.telem.Log); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callers := f.server(inner, http.HandlerFunc(f.serve))
	ls, err := f.listen(callers)
	if err != nil {
		return errors.Join(err, f.beats.Close())
	}
	var g sync.WaitGroup
	errs := make(chan error, len(ls)+1)
	for _, l := range ls {
		g.Go(func() { errs <- l.run() })
	}
	g.Go(func() { errs <- f.beats.Serve(inner, f) })
	g.Go(func() { f.beats.Run(f.hear) })
	g.Go(func() { f.source.Run(inner, f) })
	g.Go(func() { f.dialer.Run(inner) })
	g.Go(func() { f.runBeats(inner) })
	f.telem.Log.Info("started", "role", "front", "callers", f.settings.Callers, "peer", f.settings.Peer,
		"data-centre", f.settings.DataCentre, "incarnation", f.incarnation, "seeds", f.settings.Seeds)
	err = f.wait(ctx, stop, errs)
	cancel()
	for _, l := range ls {
		err = errors.Join(err, l.close())
	}
	err = errors.Join(err, f.beats.Close())
	g.Wait()
	f.loop.Stop()
	return err
}

// server returns an HTTP server without a router: paths go on byte for byte.
func (f *Front) server(ctx context.Context, h http.Handler) *http.Server {
	return &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           h,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          f.meter.httpLog(),
	}
}

// keptDescriptors are left for targets, peers, the platform and files.
const keptDescriptors = 600

// Bounds of connections from callers. The plan's limit of bodies is checked for
// each request; these only keep strangers from holding memory.
const (
	maxHeader     = 64 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// listener is one address that is served over HTTP.
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

// listen opens the listeners of the settings.
func (f *Front) listen(callers *http.Server) ([]*listener, error) {
	m := http.NewServeMux()
	m.HandleFunc("/", f.ready)
	if f.settings.Metrics != "" {
		m.Handle("/metrics", f.telem.Handler())
	}
	admin := f.server(context.Background(), m)
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
		if d := int(f.settings.Descriptors); s == callers && d > keptDescriptors {
			n = netutil.LimitListener(n, d-keptDescriptors)
		}
		ls = append(ls, &listener{net: n, server: s})
	}
	return ls, nil
}

// ready answers a balancer: 200 if new connections are welcome.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.stopping.Load() || f.plan.Load().Revision() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// wait returns when the front is to end: nil after a planned stop.
func (f *Front) wait(ctx context.Context, stop <-chan struct{}, errs <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return err
	case <-stop:
	}
	g := time.Duration(f.settings.GraceMs) * time.Millisecond
	end := time.Now().Add(g - time.Duration(float64(g)*lastPart))
	now := time.Now()
	f.stopBegan.Store(&now)
	f.stopAt.Store(&end)
	f.stopping.Store(true)
	f.telem.Log.Info("stopping", "in-flight", f.inflight.Load(), "grace-ms", f.settings.GraceMs)
	f.drain(ctx, time.Now().Add(min(departure, g/2)), end)
	n := f.inflight.Load()
	f.telem.Log.Info("stopped", "cut", n)
	if n > 0 {
		return fmt.Errorf("%d requests: %w", n, ErrAborted)
	}
	return nil
}

// drain waits until callers have gone elsewhere and no request is in flight.
func (f *Front) drain(ctx context.Context, earliest, end time.Time) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-t.C:
			if n.After(end) || (n.After(earliest) && f.inflight.Load() == 0) {
				return
			}
		}
	}
}
