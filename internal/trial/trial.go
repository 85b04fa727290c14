// Package trial runs the whole system in one process: two entries, agents, stand-in
// engines of different speeds in two data centres, a stand-in plain service if the
// workload calls one, and the platform. It sends a workload to the entries and reports
// the outcomes, with an audit against the journals of the targets.
//
// # Usage
//
//	r, err := trial.Run(ctx, trial.Options{Workload: w, Seed: 1, Length: 20 * time.Second, Overload: 1})
//	r.Write(os.Stdout)
//	if len(r.Violations) > 0 { ... }
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

// Sizes and times. serviceDelay is the plain service's time per request.
const (
	entries      = 2
	model        = "assistant"
	serviceDelay = 5 * time.Millisecond
	serviceBatch = 32
	// warmUp is the time in which the entries receive the first reports of all agents.
	warmUp       = 2 * time.Second
	maxIdleConns = 256
)

// engines differ in speed: a step of the slowest takes four times as long as one of the
// fastest.
var engines = []stand.EngineConfig{
	{Step: 4 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 6000, LoadLag: time.Second},
	{Step: 6 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 6000, LoadLag: time.Second},
	{Step: 10 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 4000, LoadLag: time.Second},
	{Step: 16 * time.Millisecond, PrefillPerStep: 32, Batch: 8, CacheTokens: 4000, LoadLag: time.Second},
}

// Options are the options of a trial.
type Options struct {
	Workload load.Workload
	// Seed is the seed of the plan of requests.
	Seed uint64
	// Length is the time during which requests are sent.
	Length time.Duration
	// Overload multiplies the workload's rates.
	Overload float64
	// Progress, if set, is called after each request, concurrently.
	Progress func(done, all int)
	// Logs receives the processes' log lines of Level ("debug", "info" or "error") and
	// above.
	Logs  io.Writer
	Level string
}

// trial is the state of one run.
type trial struct {
	options Options
	fleet   *fleet.Fleet
	engines []*stand.Engine
	service *stand.Service
	entries []string
}

// Run runs a trial and returns its report. Violated invariants are in the report; an error
// means that the system could not be started, configured or shut down.
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
	out, err := t.runLoad(ctx)
	if err != nil {
		return load.Report{}, err
	}
	if err := f.StopAll(); err != nil {
		return load.Report{}, fmt.Errorf("trial: %w", err)
	}
	js := t.journals()
	r := load.NewReport(o.Workload, out, t.eventStart()).WithJournals(js)
	r.Violations = load.Audit(out, js)
	return r, nil
}

// eventStart returns the time from the start of the load to the start of the event.
func (t *trial) eventStart() time.Duration {
	return time.Duration(load.EventAt * float64(t.options.Length))
}

// start starts all processes, and waits until they are ready and for warmUp.
func (t *trial) start(ctx context.Context) error {
	for i, c := range engines {
		if err := t.startEngine(i, c); err != nil {
			return err
		}
	}
	if err := t.startService(); err != nil {
		return err
	}
	for i := range entries {
		p, err := t.fleet.StartEntry(fmt.Sprintf("entry-%d", i+1), dataCentre(i))
		if err != nil {
			return err
		}
		t.entries = append(t.entries, p.URL)
	}
	if err := t.fleet.Publish(newDocument(t.options.Workload, 1, time.Time{})); err != nil {
		return err
	}
	if err := t.fleet.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}

// dataCentre returns the data centre of the i-th instance; they alternate between two.
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }

// startEngine starts the i-th engine and its agent.
func (t *trial) startEngine(i int, c stand.EngineConfig) error {
	e := stand.NewEngine(c)
	t.engines = append(t.engines, e)
	s := &spec.Target{Kind: conf.KindEngine, Models: []string{model}, Batch: uint32(c.Batch)}
	s.StepUs = uint32(c.Step.Microseconds())
	s.PrefillUsPerToken = s.StepUs / uint32(c.PrefillPerStep)
	_, err := t.fleet.StartAgent(fmt.Sprintf("engine-%d", i+1), dataCentre(i), e, s)
	return err
}

// startService starts the first plain service of the workload and its agent, if there is
// one.
func (t *trial) startService() error {
	for _, c := range t.options.Workload.Classes {
		if c.Service == "" {
			continue
		}
		t.service = stand.NewService(serviceDelay)
		s := &spec.Target{Kind: conf.KindService, Service: c.Service, Batch: serviceBatch}
		s.StepUs = uint32(serviceDelay.Microseconds())
		_, err := t.fleet.StartAgent(c.Service+"-1", dataCentre(0), t.service, s)
		return err
	}
	return nil
}

// runLoad publishes a document with the start of the event and sends the workload to the
// entries.
func (t *trial) runLoad(ctx context.Context) ([]load.Outcome, error) {
	o := t.options
	if err := t.fleet.Publish(newDocument(o.Workload, 2, time.Now().Add(t.eventStart()))); err != nil {
		return nil, err
	}
	keys := make(map[string]string)
	for _, w := range workspaces(o.Workload) {
		keys[w] = apiKey(w)
	}
	r := load.New(load.Options{
		Entries:  t.entries,
		Keys:     keys,
		Model:    model,
		Verify:   true,
		Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		Progress: o.Progress,
	})
	return r.Run(ctx, o.Workload.Plan(o.Seed, o.Length, o.Overload)), nil
}

// journals returns the journals of all targets.
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

// close stops the engines and the processes that still run.
func (t *trial) close() {
	for _, e := range t.engines {
		e.Close()
	}
	t.fleet.Close()
}
