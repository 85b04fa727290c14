// Package trial runs the whole system in one process: entries, agents, unlike
// stand-in engines in two data centres, a plain service, the platform and a load.
//
// # Usage
//
//	r, err := trial.Run(ctx, trial.Options{Workload: w, Seed: 1, Length: 20 * time.Second, Overload: 1})
//	r.Write(os.Stdout)
//	if len(r.Broken) > 0 { ... }
package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/internal/load"
	"kingcupstand/internal/stand"
	"kingcupstand/io/agent"
	"kingcupstand/io/entry"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
)

// Sizes and times of a trial.
const (
	entries      = 2
	loopback     = "127.0.0.1:0"
	readyTimeout = 10 * time.Second
	readyPause   = 50 * time.Millisecond
	model        = "assistant"
	region       = "south"
	headers      = 5 * time.Second
)

// errNotReady is returned if the processes do not become ready.
var errNotReady = errors.New("processes did not become ready")

// engines are unlike: each step of the slowest takes four times as long as one
// of the fastest.
var engines = []stand.EngineConfig{
	{Step: 4 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 6000, LoadLag: time.Second},
	{Step: 6 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 6000, LoadLag: time.Second},
	{Step: 10 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 4000, LoadLag: time.Second},
	{Step: 16 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 4000, LoadLag: time.Second},
}

// Options of a trial.
type Options struct {
	Workload load.Workload
	Seed     uint64
	Length   time.Duration
	// Overload multiplies the workload's rates.
	Overload float64
	Progress func(done, all int)
	// Logs gets the processes' lines of the given level and above.
	Logs  io.Writer
	Level string
}

// bed is everything that a trial runs.
type bed struct {
	options  Options
	event    time.Time
	platform *stand.Platform
	list     *spec.Instances
	engines  []*stand.Engine
	service  *stand.Service
	urls     []string
	cancel   context.CancelFunc
	stop     chan struct{}
	running  sync.WaitGroup
	mu       sync.Mutex
	errs     []error
	closes   []func()
}

// Run runs a trial and returns its report.
func Run(ctx context.Context, o Options) (load.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &bed{options: o, cancel: cancel, stop: make(chan struct{}), list: &spec.Instances{Version: 1}}
	defer b.close()
	if err := b.start(ctx); err != nil {
		return load.Report{}, err
	}
	if err := b.ready(ctx); err != nil {
		return load.Report{}, err
	}
	out := b.load(ctx)
	if err := b.end(); err != nil {
		return load.Report{}, err
	}
	js := b.journals()
	at := time.Duration(load.EventAt * float64(o.Length))
	r := load.NewReport(o.Workload, out, at).WithJournals(js)
	r.Broken = load.Audit(out, js)
	return r, nil
}

// start starts the stand-ins first, then the agents and entries.
func (b *bed) start(ctx context.Context) error {
	b.platform = stand.NewPlatform(nil, nil)
	p, err := b.http(b.platform)
	if err != nil {
		return err
	}
	for i, c := range engines {
		e := stand.NewEngine(c)
		b.closes = append(b.closes, e.Close)
		b.engines = append(b.engines, e)
		t := &spec.Target{Kind: conf.KindEngine, Models: []string{model}, Batch: uint32(c.Batch), StepUs: uint32(c.Step.Microseconds())}
		t.PrefillUsPerToken = t.StepUs / uint32(c.PrefillPerStep)
		if err := b.agent(ctx, p, fmt.Sprintf("engine-%d", i+1), centre(i), e, t); err != nil {
			return err
		}
	}
	if err := b.plain(ctx, p); err != nil {
		return err
	}
	for i := range entries {
		if err := b.entry(ctx, p, fmt.Sprintf("entry-%d", i+1), centre(i)); err != nil {
			return err
		}
	}
	return b.publish()
}

// centre spreads instances over two data centres.
func centre(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }

// http serves a stand-in and returns its base URL.
func (b *bed) http(h http.Handler) (string, error) {
	n, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headers}
	b.closes = append(b.closes, func() { _ = s.Close() })
	b.running.Go(func() { _ = s.Serve(n) })
	return "http://" + n.Addr().String(), nil
}

// plain starts the plain service of the workload, if it has one.
func (b *bed) plain(ctx context.Context, platform string) error {
	for _, c := range b.options.Workload.Classes {
		if c.Service == "" {
			continue
		}
		b.service = stand.NewService(5 * time.Millisecond)
		t := &spec.Target{Kind: conf.KindService, Service: c.Service, Batch: 32, StepUs: 5000}
		return b.agent(ctx, platform, c.Service+"-1", centre(0), b.service, t)
	}
	return nil
}

// process is an entry or an agent.
type process interface {
	Serve(ctx context.Context, stop <-chan struct{}, peer, http net.Listener) error
}

func (b *bed) agent(ctx context.Context, platform, name, dc string, h http.Handler, t *spec.Target) error {
	u, err := b.http(h)
	if err != nil {
		return err
	}
	t.Url = u
	s := b.settings(platform, name, dc)
	s.Target = t
	i := &spec.Instance{Name: name, Role: string(conf.RoleAgent), Models: t.Models, Service: t.Service}
	return b.run(ctx, s, i, func(s *spec.Settings, t *telem.Telemetry) (process, error) { return agent.New(s, t) })
}

func (b *bed) entry(ctx context.Context, platform, name, dc string) error {
	i := &spec.Instance{Name: name, Role: string(conf.RoleEntry)}
	return b.run(ctx, b.settings(platform, name, dc), i, func(s *spec.Settings, t *telem.Telemetry) (process, error) {
		return entry.New(s, t)
	})
}

// run listens, starts a process and adds it to the instance list.
func (b *bed) run(ctx context.Context, s *spec.Settings, i *spec.Instance, build func(*spec.Settings, *telem.Telemetry) (process, error)) error {
	p, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	h, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Join(fmt.Errorf("trial: %w", err), p.Close())
	}
	s.Listen = &spec.Listen{Http: h.Addr().String(), Peer: p.Addr().String()}
	if s, err = checked(s); err != nil {
		return errors.Join(err, p.Close(), h.Close())
	}
	t, err := telem.New(b.options.Logs, s.Name, s)
	if err != nil {
		return errors.Join(err, p.Close(), h.Close())
	}
	b.closes = append(b.closes, func() { _ = t.Close() })
	x, err := build(s, t)
	if err != nil {
		return errors.Join(err, p.Close(), h.Close())
	}
	i.Peer, i.Region, i.DataCentre, i.State = s.Listen.Peer, region, s.DataCentre, conf.StateLive
	b.list.Instances = append(b.list.Instances, i)
	b.urls = append(b.urls, "http://"+s.Listen.Http)
	b.running.Go(func() { b.serve(ctx, x, p, h) })
	return nil
}

func (b *bed) serve(ctx context.Context, x process, p, h net.Listener) {
	err := x.Serve(ctx, b.stop, p, h)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.errs = append(b.errs, err)
}

// ready waits until every process is.
func (b *bed) ready(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, u := range b.urls {
		for !isReady(ctx, u) {
			if time.Now().After(end) {
				return fmt.Errorf("%s: %w", u, errNotReady)
			}
			time.Sleep(readyPause)
		}
	}
	// The entries' first reports of all agents come within a few syncs.
	time.Sleep(2 * time.Second)
	return nil
}

func isReady(ctx context.Context, u string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u+"/readyz", nil)
	if err != nil {
		return false
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// load sends the workload to the entries.
func (b *bed) load(ctx context.Context) []load.Outcome {
	keys := make(map[string]string)
	for _, w := range workspaces(b.options.Workload) {
		keys[w] = trialKey(w)
	}
	b.event = time.Now().Add(time.Duration(load.EventAt * float64(b.options.Length)))
	_ = b.publish() // the same document with the event's start, as a new revision
	r := load.New(load.Options{
		Targets:  b.urls[len(b.urls)-entries:],
		Keys:     keys,
		Model:    model,
		Verify:   true,
		Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		Progress: b.options.Progress,
	})
	return r.Run(ctx, b.options.Workload.Plan(b.options.Seed, b.options.Length, b.options.Overload))
}

// end stops all processes as planned.
func (b *bed) end() error {
	close(b.stop)
	done := make(chan struct{})
	go b.runWait(done)
	select {
	case <-done:
	case <-time.After(readyTimeout):
		b.cancel()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Join(b.errs...)
}

// runWait closes done when all agents and entries have ended.
func (b *bed) runWait(done chan struct{}) {
	defer close(done)
	for {
		b.mu.Lock()
		n := len(b.errs)
		b.mu.Unlock()
		if n == len(b.urls) {
			return
		}
		time.Sleep(readyPause)
	}
}

func (b *bed) journals() []stand.Journal {
	var js []stand.Journal
	for _, e := range b.engines {
		js = append(js, e.Journal())
	}
	if b.service != nil {
		js = append(js, b.service.Journal())
	}
	return js
}

// close ends whatever still runs.
func (b *bed) close() {
	b.cancel()
	for _, c := range b.closes {
		c()
	}
	b.running.Wait()
}
