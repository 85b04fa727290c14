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
	"fmt"
	"io"
	"net/http"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/internal/fleet"
	"kingcupstand/internal/load"
	"kingcupstand/internal/stand"
	"kingcupstand/schema/spec"
)

// Sizes and times of a trial.
const (
	entries      = 2
	model        = "assistant"
	serviceDelay = 5 * time.Millisecond
	serviceBatch = 32
	// firstReports is the time in which entries hear of all agents.
	firstReports = 2 * time.Second
	clientConns  = 256
)

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

// trial is everything that one run has.
type trial struct {
	options Options
	fleet   *fleet.Fleet
	engines []*stand.Engine
	service *stand.Service
	entries []string
}

// Run runs a trial and returns its report.
func Run(ctx context.Context, o Options) (load.Report, error) {
	f, err := fleet.New(o.Logs, o.Level)
	if err != nil {
		return load.Report{}, err
	}
	t := &trial{options: o, fleet: f}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return load.Report{}, err
	}
	out, err := t.load(ctx)
	if err != nil {
		return load.Report{}, err
	}
	if err := f.StopAll(); err != nil {
		return load.Report{}, fmt.Errorf("trial: %w", err)
	}
	js := t.journals()
	r := load.NewReport(o.Workload, out, t.event()).WithJournals(js)
	r.Violations = load.Audit(out, js)
	return r, nil
}

// event returns the time from the load's start to the event's.
func (t *trial) event() time.Duration {
	return time.Duration(load.EventAt * float64(t.options.Length))
}

func (t *trial) start(ctx context.Context) error {
	for i, c := range engines {
		if err := t.engine(i, c); err != nil {
			return err
		}
	}
	if err := t.plain(); err != nil {
		return err
	}
	for i := range entries {
		p, err := t.fleet.StartEntry(fmt.Sprintf("entry-%d", i+1), centre(i))
		if err != nil {
			return err
		}
		t.entries = append(t.entries, p.URL)
	}
	if err := t.fleet.Publish(document(t.options.Workload, 1, time.Time{})); err != nil {
		return err
	}
	if err := t.fleet.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(firstReports)
	return nil
}

// centre spreads instances over two data centres.
func centre(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }

func (t *trial) engine(i int, c stand.EngineConfig) error {
	e := stand.NewEngine(c)
	t.engines = append(t.engines, e)
	s := &spec.Target{Kind: conf.KindEngine, Models: []string{model}, Batch: uint32(c.Batch)}
	s.StepUs = uint32(c.Step.Microseconds())
	s.PrefillUsPerToken = s.StepUs / uint32(c.PrefillPerStep)
	_, err := t.fleet.StartAgent(fmt.Sprintf("engine-%d", i+1), centre(i), e, s)
	return err
}

// plain starts the plain service of the workload, if it has one.
func (t *trial) plain() error {
	for _, c := range t.options.Workload.Classes {
		if c.Service == "" {
			continue
		}
		t.service = stand.NewService(serviceDelay)
		s := &spec.Target{Kind: conf.KindService, Service: c.Service, Batch: serviceBatch}
		s.StepUs = uint32(serviceDelay.Microseconds())
		_, err := t.fleet.StartAgent(c.Service+"-1", centre(0), t.service, s)
		return err
	}
	return nil
}

// load puts the event's start in force and sends the workload to the entries.
func (t *trial) load(ctx context.Context) ([]load.Outcome, error) {
	o := t.options
	if err := t.fleet.Publish(document(o.Workload, 2, time.Now().Add(t.event()))); err != nil {
		return nil, err
	}
	keys := make(map[string]string)
	for _, w := range workspaces(o.Workload) {
		keys[w] = trialKey(w)
	}
	r := load.New(load.Options{
		Entries:  t.entries,
		Keys:     keys,
		Model:    model,
		Verify:   true,
		Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConns}},
		Progress: o.Progress,
	})
	return r.Run(ctx, o.Workload.Plan(o.Seed, o.Length, o.Overload)), nil
}

func (t *trial) journals() []stand.Journal {
	var js []stand.Journal
	for _, e := range t.engines {
		js = append(js, e.Journal())
	}
	if t.service != nil {
		js = append(js, t.service.Journal())
	}
	return js
}

// close ends whatever still runs.
func (t *trial) close() {
	for _, e := range t.engines {
		e.Close()
	}
	t.fleet.Close()
}
