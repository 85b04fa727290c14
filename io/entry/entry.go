// Package entry implements the entry, the HTTP server that accepts callers' requests. It
// authenticates callers, offers each request to an agent, and forwards the response.
//
// # Usage
//
//	e, err := entry.New(settings, telemetry)
//	err = e.Run(ctx, stop)
//
// # Requests
//
// The contract of the caller's API key determines what a request may use: models,
// services, tiers, sizes, and a rate. Its deadline is the tier's, or the caller's own if
// that is earlier. A request is charged to the workspace's quota and offered to the
// agent that core/route chooses. If that agent refuses the request without having run
// it, others get the offer until one dispatches it, none is left, or the deadline
// passes. core/offer decides after each event whether the request may be offered again,
// and what its outcome may claim. Each request has exactly one outcome and the caller
// gets exactly one response, whose header Kingcupstand-Ran is yes, no, or unknown if it
// can't be known whether the request ran.
//
// # Request ids
//
// A request id names the agent incarnation that may run it. Entries store no ids: the
// agent that an id names records whether it was dispatched. An entry makes a new id for
// each offer, unless the caller has fetched one from /v1/request-ids and sends it. Such a
// request is pinned to its agent until the agent releases the id. Requests that must not
// run twice can thus be submitted again after a lost response.
//
// # State
//
// The router and the quotas are owned by one control loop. Each request has its own
// goroutine, which calls them through functions that it posts to the control loop.
//
// # Shutdown
//
// When stop is closed, the entry reports that it is not ready and accepts no new
// connections. Run returns when every accepted request has been answered. If ctx ends
// first, Run aborts the requests that are still in flight.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/core/route"
	"kingcupstand/io/actor"
	"kingcupstand/io/httpd"
	"kingcupstand/io/intake"
	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// ErrAborted is returned by Run if requests in flight were aborted at the end of the
// grace period.
var ErrAborted = errors.New("requests in flight were aborted")

// Entry is one entry process. Its methods are safe for concurrent use.
type Entry struct {
	settings *spec.Settings
	telem    *telem.Telemetry
	node     *node.Node
	link     *link.Client
	loop     *actor.Loop[*state]
	intake   *intake.Intake
	// inflight is the number of callers' requests in flight.
	inflight atomic.Int64
}

// state is owned by the entry's control loop.
type state struct {
	router *route.Router
	quotas *quotas
}

// New returns an entry with the given settings. It opens no sockets before Run. It fails
// if a TLS file for peers can't be loaded; those for callers are loaded by Run.
func New(s *spec.Settings, t *telem.Telemetry) (*Entry, error) {
	p, err := node.PeerTLS(s)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, telem: t, link: link.New(p)}
	e.intake = intake.New(intake.Limits{Memory: int64(s.MemoryMib) << 20, Connections: int(s.MaxConnections)}, e.reportClosed)
	e.node, err = node.New(s, t, node.Source(s), e.link, node.Hooks{
		Config:    e.configure,
		Instances: e.setInstances,
		Load:      e.report,
	})
	if err != nil {
		return nil, err
	}
	e.loop = actor.New(&state{
		router: route.New(s.DataCentre, s.Region, e.node.Incarnation()),
		quotas: newQuotas(),
	})
	return e, nil
}

// reportClosed reports connections that were closed as there were too many.
func (e *Entry) reportClosed(r intake.Report) {
	e.telem.Scope.Counter("idle_callers_closed").Inc(int64(r.Idle))
	e.telem.Scope.Counter("slow_callers_closed").Inc(int64(r.Slow))
	e.telem.Log.Info("connections of callers closed", "idle", r.Idle, "slow", r.Slow, "most", r.Most)
}

// configure applies a new configuration to the quotas.
func (e *Entry) configure(c *conf.Config) {
	e.loop.Post(func(_ time.Duration, s *state) { s.quotas.configure(c) })
}

// setInstances applies a new instance list: it passes the agents to the router, and the
// number of live entries, which share the quotas, to the quotas.
func (e *Entry) setInstances(l []*spec.Instance) {
	var ts []route.Target
	entries := 0
	for _, i := range l {
		if i.Role == string(conf.RoleEntry) && i.State == conf.StateLive {
			entries++
		}
		if i.Role == string(conf.RoleAgent) {
			ts = append(ts, unpackTarget(i))
		}
	}
	e.loop.Post(func(_ time.Duration, s *state) {
		s.router.Apply(ts)
		s.quotas.setEntries(entries)
	})
}

// unpackTarget returns the router's form of an agent in the instance list.
func unpackTarget(i *spec.Instance) route.Target {
	return route.Target{
		Name:       i.Name,
		Peer:       i.Peer,
		Region:     i.Region,
		DataCentre: i.DataCentre,
		Models:     i.Models,
		Service:    i.Service,
		Leaving:    i.State == conf.StateLeaving,
	}
}

// report passes the load report of the named target's agent to the router. The report may
// be nil.
func (e *Entry) report(name string, l *wire.Load) {
	if l == nil {
		return
	}
	u := link.UnpackLoad(l)
	e.loop.Post(func(now time.Duration, s *state) { s.router.Report(now, name, u) })
}

// Run listens on the addresses in the settings and serves until stop is closed and all
// requests are answered, or until ctx ends. It may be called once. It returns nil after
// a complete shutdown, an error that wraps ErrAborted if requests were aborted, and
// otherwise the error of the listener or the TLS file that failed.
func (e *Entry) Run(ctx context.Context, stop <-chan struct{}) error {
	p, err := net.Listen("tcp", e.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	h, err := net.Listen("tcp", e.settings.Listen.Http)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for http: %w", err), p.Close())
	}
	return e.Serve(ctx, stop, p, h)
}

// Serve is like Run, on a listener p for peers and a listener h for HTTP. It closes
// both.
func (e *Entry) Serve(ctx context.Context, stop <-chan struct{}, p, h net.Listener) error {
	r, err := httpd.New(e.settings.Name, append(e.node.Routes(), e.routes()...), http.HandlerFunc(e.fallback))
	if err != nil {
		return err
	}
	ct, err := node.CallerTLS(e.settings)
	if err != nil {
		return err
	}
	pt, err := node.PeerTLS(e.settings)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := httpd.NewServer(inner, r, ct, e.intake)
	var g sync.WaitGroup
	errs := make(chan error, 2)
	g.Go(func() { errs <- link.Serve(inner, p, pt, nil, e.node) })
	g.Go(func() { errs <- s.Serve(h) })
	g.Go(func() { e.node.Run(inner) })
	g.Go(func() { e.intake.Run(inner) })
	e.telem.Log.Info("entry started", "peer", p.Addr().String(), "http", h.Addr().String(), "incarnation", e.node.Incarnation())
	err = e.wait(ctx, stop, errs, s)
	cancel()
	g.Wait()
	e.loop.Stop()
	return errors.Join(err, e.link.Close())
}

// wait blocks until the entry is to exit, and stops the HTTP server. It returns the
// first error from errs if there is one, an error that wraps ErrAborted if requests were
// aborted, and otherwise nil.
func (e *Entry) wait(ctx context.Context, stop <-chan struct{}, errs <-chan error, s *httpd.Server) error {
	select {
	case <-ctx.Done():
	case err := <-errs:
		return errors.Join(err, s.Stop(ctx))
	case <-stop:
	}
	e.node.SetStopping()
	e.telem.Log.Info("entry stopping", "in-flight", e.inflight.Load())
	err := s.Stop(ctx)
	n := e.inflight.Load()
	e.telem.Log.Info("entry stopped", "cut", n)
	if err != nil && n > 0 {
		return fmt.Errorf("%d requests: %w", n, ErrAborted)
	}
	return nil
}
