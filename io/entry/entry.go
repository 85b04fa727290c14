// Package entry is the process that callers speak to: it authenticates them,
// chooses an agent for each request, offers the request there and passes the
// answer back.
//
// # Usage
//
//	e, err := entry.New(settings, telemetry)
//	err = e.Run(ctx, stop)
//
// Run ends when every accepted request has its answer after stop is closed, or
// when ctx ends, which cuts what is still in flight.
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
	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// ErrAborted is returned by Run if requests were cut by the end of the grace period.
var ErrAborted = errors.New("requests in flight were cut")

// Entry is one entry process. It is safe for concurrent use.
type Entry struct {
	settings *spec.Settings
	telem    *telem.Telemetry
	node     *node.Node
	link     *link.Client
	loop     *actor.Loop[*state]
	inflight atomic.Int64
}

// state is what the entry's control goroutine owns.
type state struct {
	router *route.Router
	quotas *quotas
}

// New returns an entry with the given settings. It does nothing before Run.
func New(s *spec.Settings, t *telem.Telemetry) (*Entry, error) {
	p, err := node.PeerTLS(s)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, telem: t, link: link.New(p)}
	e.node, err = node.New(s, t, node.Source(s), e.link, node.Hooks{
		Config:    e.configure,
		Instances: e.instances,
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

func (e *Entry) configure(c *conf.Config) {
	e.loop.Post(func(_ time.Duration, s *state) { s.quotas.configure(c) })
}

// instances gives the router the agents, and the quotas the number of entries
// that share them.
func (e *Entry) instances(l []*spec.Instance) {
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
		s.quotas.share(entries)
	})
}

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

func (e *Entry) report(name string, l *wire.Load) {
	if l == nil {
		return
	}
	u := link.UnpackLoad(l)
	e.loop.Post(func(now time.Duration, s *state) { s.router.Report(now, name, u) })
}

// Run serves until stop is closed and the work is finished, or until ctx ends.
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

// Serve is Run on listeners for peers and for HTTP, which it closes.
func (e *Entry) Serve(ctx context.Context, stop <-chan struct{}, p, h net.Listener) error {
	r, err := httpd.New(e.settings.Name, append(e.node.Routes(), e.routes()...), http.HandlerFunc(e.other))
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
	s := httpd.NewServer(inner, r, ct, int(e.settings.MaxConnections))
	var g sync.WaitGroup
	errs := make(chan error, 2)
	g.Go(func() { errs <- link.Serve(inner, p, pt, nil, e.node) })
	g.Go(func() { errs <- s.Serve(h) })
	g.Go(func() { e.node.Run(inner) })
	e.telem.Log.Info("entry started", "peer", p.Addr().String(), "http", h.Addr().String(), "incarnation", e.node.Incarnation())
	err = e.wait(ctx, stop, errs, s)
	cancel()
	g.Wait()
	e.loop.Stop()
	return errors.Join(err, e.link.Close())
}

// wait returns when the entry is to end: nil after a planned stop.
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
