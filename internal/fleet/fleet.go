// Package fleet runs entries, agents and stand-ins on the loopback address in one
// operating-system process, for tests and load runs.
//
// Entries and agents use real sockets and read their configuration and instance list
// from a simulated platform (stand.Platform). The instance list names the relay in
// front of each process as its peer address, so all traffic between processes passes a
// Relay, which can simulate network faults. Processes can be shut down gracefully or
// killed with requests in flight.
//
// # Usage
//
//	f, err := fleet.New(io.Discard, "error")
//	defer f.Close()
//	e := stand.NewEngine(c)
//	a, err := f.StartAgent("engine-1", "dc-1", e, &spec.Target{...})
//	b, err := f.StartEntry("entry-1", "dc-1")
//	err = f.Publish(document)
//	err = f.WaitReady(ctx)
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

const (
	loopback      = "127.0.0.1:0"
	region        = "south"
	headerTimeout = 5 * time.Second
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

// ErrNotReady is returned by Fleet.WaitReady if a process is not ready in time.
var ErrNotReady = errors.New("processes did not become ready")

// Fleet is a set of processes with their platform. It is not safe for concurrent use.
type Fleet struct {
	Platform *stand.Platform
	// EditSettings, if not nil, edits the settings of each process before it starts.
	EditSettings func(*spec.Settings)
	logs         io.Writer
	level        string
	platformURL  string
	instances    *spec.Instances
	processes    []*Process
	servers      []*http.Server
	serving      sync.WaitGroup
}

// Process is a running entry or agent. Its methods are safe for concurrent use, except
// MarkLeaving.
type Process struct {
	Name string
	// URL is the base URL of its HTTP listener.
	URL string
	// Relay carries the connections of the process's peers to it.
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

// New returns a fleet without processes. Its processes will write log lines from the
// given level up to logs.
func New(logs io.Writer, level string) (*Fleet, error) {
	f := &Fleet{
		Platform:  stand.NewPlatform(nil, nil),
		logs:      logs,
		level:     level,
		instances: &spec.Instances{Version: 1},
	}
	u, err := f.Serve(f.Platform)
	f.platformURL = u
	return f, err
}

// Serve serves a stand-in on a free port until Close and returns its base URL.
func (f *Fleet) Serve(h http.Handler) (string, error) {
	n, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("fleet: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, s)
	f.serving.Go(func() { _ = s.Serve(n) })
	return "http://" + n.Addr().String(), nil
}

// StartAgent serves h as a target, sets t.Url to it and starts an agent for the target.
// centre is the data centre.
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

// StartEntry starts an entry in a data centre.
func (f *Fleet) StartEntry(name, centre string) (*Process, error) {
	i := &spec.Instance{Role: string(conf.RoleEntry)}
	return f.start(f.settings(name, centre), i, func(s *spec.Settings, t *telem.Telemetry) (server, error) {
		return entry.New(s, t)
	})
}

// settings returns the settings that all processes have in common.
func (f *Fleet) settings(name, centre string) *spec.Settings {
	return &spec.Settings{
		Name:       name,
		Region:     region,
		DataCentre: centre,
		Platform:   &spec.Platform{Url: f.platformURL},
		Logs:       &spec.Logs{Level: f.level},
		StallMs:    10_000,
	}
}

// server is the implementation of a process: an entry or an agent.
type server interface {
	Serve(ctx context.Context, stop <-chan struct{}, peer, http net.Listener) error
}

// start opens the listeners, starts a process and adds it to the instance list, which
// takes effect with the next Publish. A process with the same name is replaced in the
// list but keeps running.
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
	f.addInstance(i)
	f.processes = append(f.processes, p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.run(ctx, x, peer, web)
	return p, nil
}

// build validates the settings and creates a process without starting it.
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

// addInstance adds an instance to the list or replaces the one with the same name.
func (f *Fleet) addInstance(i *spec.Instance) {
	for n, o := range f.instances.Instances {
		if o.Name == i.Name {
			f.instances.Instances[n] = i
			return
		}
	}
	f.instances.Instances = append(f.instances.Instances, i)
}

// run serves until the process is shut down or killed.
func (p *Process) run(ctx context.Context, x server, peer, web net.Listener) {
	defer close(p.done)
	p.err = errors.Join(x.Serve(ctx, p.stop, peer, web), p.telem.Close())
}

// BeginStop starts a graceful shutdown, as SIGTERM does, without waiting for its end.
func (p *Process) BeginStop() {
	p.stopOnce.Do(func() { close(p.stop) })
}

// Stop shuts the process down gracefully, waits for its end and returns its error.
func (p *Process) Stop() error {
	p.BeginStop()
	return p.Wait()
}

// Kill ends the process at once, aborting requests in flight.
func (p *Process) Kill() {
	p.cancel()
	p.Relay.Cut()
	<-p.done
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// MarkLeaving marks the process as leaving in the instance list, which takes effect with the
// next Fleet.Publish.
func (p *Process) MarkLeaving() {
	p.instance.State = conf.StateLeaving
}

// Publish publishes a document and the instance list, with its next version, at the
// platform. If d is nil, the published document stays.
func (f *Fleet) Publish(d *spec.Document) error {
	if d != nil {
		y, err := YAML(d)
		if err != nil {
			return err
		}
		f.Platform.Publish(stand.Configuration, y)
	}
	f.instances.Version++
	l, err := YAML(f.instances)
	if err != nil {
		return err
	}
	f.Platform.Publish(stand.InstanceList, l)
	return nil
}

// YAML encodes a message of the schema as YAML, the form that operators write.
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

// WaitReady waits until every process is ready or has ended. It returns an error that wraps
// ErrNotReady if that takes more than 20 seconds.
func (f *Fleet) WaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, p := range f.processes {
		for !p.isReady(ctx) {
			if time.Now().After(end) {
				return fmt.Errorf("%s: %w", p.Name, ErrNotReady)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

// isReady reports whether the readiness check succeeds or the process has ended.
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

// StopAll shuts all processes down gracefully at the same time and returns their joined
// errors.
func (f *Fleet) StopAll() error {
	var errs []error
	for _, p := range f.processes {
		p.BeginStop()
	}
	for _, p := range f.processes {
		errs = append(errs, p.Wait())
	}
	return errors.Join(errs...)
}

// Close kills the processes that still run and stops the stand-ins.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.cancel()
		p.Relay.Close()
	}
	for _, p := range f.processes {
		<-p.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.serving.Wait()
}
