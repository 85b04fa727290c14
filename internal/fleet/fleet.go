// Package fleet runs entries, agents and stand-ins on loopback in one process,
// with their real sockets, and lets a test kill, cut, freeze and stop them.
//
// # Usage
//
//	f, err := fleet.New(io.Discard, "error")
//	defer f.Close()
//	e := stand.NewEngine(c)
//	a, err := f.Agent("engine-1", "dc-1", e, &spec.Target{...})
//	b, err := f.Entry("entry-1", "dc-1")
//	err = f.Publish(document)
//	err = f.Ready(ctx)
//	a.Relay.Cut()
//	err = b.Stop()
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"kingcupstand/core/conf"
	"kingcupstand/internal/stand"
	"kingcupstand/io/agent"
	"kingcupstand/io/entry"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
)

// Addresses and times of a fleet.
const (
	loopback      = "127.0.0.1:0"
	region        = "south"
	headerTimeout = 5 * time.Second
	readyTimeout  = 20 * time.Second
	readyPause    = 20 * time.Millisecond
)

// ErrNotReady is returned if processes do not become ready.
var ErrNotReady = errors.New("processes did not become ready")

// Fleet is a set of processes with their platform. Its methods are for one
// goroutine.
type Fleet struct {
	Platform *stand.Platform
	// Settings, if set, changes the settings of processes before they start.
	EditSettings func(*spec.Settings)
	logs         io.Writer
	level        string
	url          string
	list         *spec.Instances
	procs        []*Process
	servers      []*http.Server
	running      sync.WaitGroup
}

// Process is an entry or an agent.
type Process struct {
	Name string
	// URL is the base URL of its HTTP listener.
	URL string
	// Relay stands between the process and its peers.
	Relay    *Relay
	Settings *spec.Settings
	instance *spec.Instance
	telem    *telem.Telemetry
	cancel   context.CancelFunc
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	err      error
}

// New returns a fleet whose processes write log lines of the given level.
func New(logs io.Writer, level string) (*Fleet, error) {
	f := &Fleet{
		Platform: stand.NewPlatform(nil, nil),
		logs:     logs,
		level:    level,
		list:     &spec.Instances{Version: 1},
	}
	u, err := f.Serve(f.Platform)
	f.url = u
	return f, err
}

// Serve serves a stand-in on a port of its own and returns its base URL.
func (f *Fleet) Serve(h http.Handler) (string, error) {
	n, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("fleet: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, s)
	f.running.Go(func() { _ = s.Serve(n) })
	return "http://" + n.Addr().String(), nil
}

// StartAgent starts an agent beside a target.
func (f *Fleet) StartAgent(name, centre string, h http.Handler, t *spec.Target) (*Process, error) {
	u, err := f.Serve(h)
	if err != nil {
		return nil, err
	}
	t.Url = u
	s := f.settings(name, centre)
	s.Target = t
	i := &spec.Instance{Role: string(conf.RoleAgent), Models: t.Models, Service: t.Service}
	return f.start(s, i, func(s *spec.Settings, t *telem.Telemetry) (server, error) { return agent.New(s, t) })
}

// StartEntry starts an entry.
func (f *Fleet) StartEntry(name, centre string) (*Process, error) {
	i := &spec.Instance{Role: string(conf.RoleEntry)}
	return f.start(f.settings(name, centre), i, func(s *spec.Settings, t *telem.Telemetry) (server, error) {
		return entry.New(s, t)
	})
}

func (f *Fleet) settings(name, centre string) *spec.Settings {
	return &spec.Settings{
		Name:       name,
		Region:     region,
		DataCentre: centre,
		Platform:   &spec.Platform{Url: f.url},
		Logs:       &spec.Logs{Level: f.level},
		StallMs:    10_000,
	}
}

// server is an entry or an agent.
type server interface {
	Serve(ctx context.Context, stop <-chan struct{}, peer, http net.Listener) error
}

// start listens, starts a process and adds it to the instance list, which the
// next Publish publishes. A process of the same name is replaced in the list.
func (f *Fleet) start(s *spec.Settings, i *spec.Instance, build func(*spec.Settings, *telem.Telemetry) (server, error)) (*Process, error) {
	peer, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	web, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fleet: %w", err), peer.Close())
	}
	s.Listen = &spec.Listen{Http: web.Addr().String(), Peer: peer.Addr().String()}
	p, x, err := f.build(s, build)
	if err != nil {
		return nil, errors.Join(err, peer.Close(), web.Close())
	}
	if p.Relay, err = NewRelay(peer.Addr().String()); err != nil {
		return nil, errors.Join(err, peer.Close(), web.Close())
	}
	i.Name, i.Peer, i.Region, i.DataCentre, i.State = s.Name, p.Relay.Address(), region, s.DataCentre, conf.StateLive
	p.instance = i
	f.enlist(i)
	f.procs = append(f.procs, p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.run(ctx, x, peer, web)
	return p, nil
}

func (f *Fleet) build(s *spec.Settings, build func(*spec.Settings, *telem.Telemetry) (server, error)) (*Process, server, error) {
	if f.EditSettings != nil {
		f.EditSettings(s)
	}
	y, err := YAML(s)
	if err != nil {
		return nil, nil, err
	}
	c, ps := conf.ParseSettings(y)
	if len(ps) > 0 {
		return nil, nil, fmt.Errorf("fleet: settings of %s: %s", s.Name, ps[0])
	}
	t, err := telem.New(f.logs, c.Name, c)
	if err != nil {
		return nil, nil, err
	}
	x, err := build(c, t)
	if err != nil {
		return nil, nil, err
	}
	return &Process{
		Name:     c.Name,
		URL:      "http://" + c.Listen.Http,
		Settings: c,
		telem:    t,
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}, x, nil
}

func (f *Fleet) enlist(i *spec.Instance) {
	for n, o := range f.list.Instances {
		if o.Name == i.Name {
			f.list.Instances[n] = i
			return
		}
	}
	f.list.Instances = append(f.list.Instances, i)
}

// run serves until the process is stopped or killed.
func (p *Process) run(ctx context.Context, x server, peer, web net.Listener) {
	defer close(p.done)
	p.err = errors.Join(x.Serve(ctx, p.stop, peer, web), p.telem.Close())
}

// BeginStop starts a planned stop, as SIGTERM does, and does not wait for it.
func (p *Process) BeginStop() {
	p.stopOnce.Do(func() { close(p.stop) })
}

// Stop stops the process as planned and waits for its end.
func (p *Process) Stop() error {
	p.BeginStop()
	return p.Wait()
}

// Kill ends the process with requests in flight.
func (p *Process) Kill() {
	p.cancel()
	p.Relay.Cut()
	<-p.done
}

// Wait waits for the process's end and returns how it ended.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// MarkLeaving marks the process as leaving in the next instance list.
func (p *Process) MarkLeaving() {
	p.instance.State = conf.StateLeaving
}

// Publish gives the platform a document and the instance list. A nil document
// leaves the published one as it is.
func (f *Fleet) Publish(d *spec.Document) error {
	if d != nil {
		y, err := YAML(d)
		if err != nil {
			return err
		}
		f.Platform.Publish(stand.Configuration, y)
	}
	f.list.Version++
	l, err := YAML(f.list)
	if err != nil {
		return err
	}
	f.Platform.Publish(stand.InstanceList, l)
	return nil
}

// YAML returns a message of the schema as an operator would write it.
func YAML(m proto.Message) ([]byte, error) {
	j, err := protojson.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	y, err := yaml.JSONToYAML(j)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return y, nil
}

// WaitReady waits until every process is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, p := range f.procs {
		for !p.isReady(ctx) {
			if time.Now().After(end) {
				return fmt.Errorf("%s: %w", p.Name, ErrNotReady)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func (p *Process) isReady(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	default:
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// StopAll stops all processes as planned and returns how they ended.
func (f *Fleet) StopAll() error {
	var errs []error
	for _, p := range f.procs {
		p.BeginStop()
	}
	for _, p := range f.procs {
		errs = append(errs, p.Wait())
	}
	return errors.Join(errs...)
}

// Close ends whatever still runs.
func (f *Fleet) Close() {
	for _, p := range f.procs {
		p.cancel()
		p.Relay.Close()
	}
	for _, p := range f.procs {
		<-p.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.running.Wait()
}
