package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"kingcupstand/internal/load"
	"kingcupstand/internal/stand"
	"kingcupstand/internal/trial"
	"kingcupstand/io/telem"
)

// errInvariant is returned if a run violated an invariant.
var errInvariant = errors.New("invariant violated")

// loadOptions are the options that load and trial share.
type loadOptions struct {
	Workload string        `long:"workload" default:"saigon" choice:"sweepline" choice:"saigon" description:"kind of load"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the generated requests"`
	Length   time.Duration `long:"length" default:"20s" description:"duration of the load"`
	Overload float64       `long:"overload" default:"1" description:"factor of the request rates"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
}

func (o loadOptions) workload() (load.Workload, error) {
	if o.Overload <= 0 || o.Length <= 0 {
		return load.Workload{}, fmt.Errorf("%w: --overload and --length must be above 0", errInput)
	}
	w, err := load.Named(o.Workload)
	if err != nil {
		return w, fmt.Errorf("%w: %w", errInput, err)
	}
	return w, nil
}

// write writes a report to w and returns errInvariant if it has violations.
func (o loadOptions) write(w io.Writer, r load.Report) error {
	if o.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	} else {
		r.Write(w)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d times: %w", len(r.Violations), errInvariant)
	}
	return nil
}

// trialCommand runs a whole system and a load in this process.
type trialCommand struct {
	streams
	loadOptions
	Verbose bool `long:"verbose" description:"print the processes' log lines"`
}

// Execute implements flags.Commander.
func (c *trialCommand) Execute([]string) error {
	w, err := c.workload()
	if err != nil {
		return err
	}
	proc.SetTimeToForceQuit(forceQuitDelay)
	level := "error"
	if c.Verbose {
		level = "info"
	}
	telem.RedirectGoZero(telem.NewLogger(c.log, level))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	r, err := trial.Run(ctx, trial.Options{
		Workload: w,
		Seed:     c.Seed,
		Length:   c.Length,
		Overload: c.Overload,
		Progress: progress(c.log),
		Logs:     c.log,
		Level:    level,
	})
	if err != nil {
		return err
	}
	return c.write(c.out, r)
}

// loadCommand sends a load to running entries.
type loadCommand struct {
	streams
	loadOptions
	Targets  []string          `long:"target" required:"true" value-name:"URL" description:"base URL of an entry; may be repeated"`
	Keys     map[string]string `long:"key" value-name:"WORKSPACE:KEY" description:"key of a workspace; may be repeated"`
	AnyKey   string            `long:"any-key" value-name:"KEY" description:"key of the workspaces without --key"`
	Model    string            `long:"model" default:"assistant" description:"model that requests name"`
	Journals []string          `long:"journal" value-name:"URL" description:"base URL of a stand-in target whose journal is audited; may be repeated"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	w, err := c.workload()
	if err != nil {
		return err
	}
	keys := map[string]string{"": c.AnyKey}
	for n, k := range c.Keys {
		keys[n] = k
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	out := load.New(load.Options{
		Entries:  c.Targets,
		Keys:     keys,
		Model:    c.Model,
		Verify:   len(c.Journals) > 0,
		Client:   &http.Client{},
		Progress: progress(c.log),
	}).Run(ctx, w.Plan(c.Seed, c.Length, c.Overload))
	r := load.NewReport(w, out, time.Duration(load.EventAt*float64(c.Length)))
	if len(c.Journals) > 0 {
		js, err := journals(ctx, c.Journals)
		if err != nil {
			return err
		}
		r = r.WithJournals(js)
		r.Violations = load.Audit(out, js)
	}
	return c.write(c.out, r)
}

// journals fetches the journals of stand-in targets, which list the requests that they ran.
func journals(ctx context.Context, urls []string) ([]stand.Journal, error) {
	var js []stand.Journal
	for _, u := range urls {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(u, "/")+"/journal", nil)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errInput, err)
		}
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		var j stand.Journal
		err = json.NewDecoder(p.Body).Decode(&j)
		_ = p.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", u, err)
		}
		js = append(js, j)
	}
	return js, nil
}

// progressStep is the number of requests between two updates of the progress line.
const progressStep = 100

// progress returns a function that writes a progress line to w, or nil if w isn't a
// terminal.
func progress(w io.Writer) func(done, all int) {
	f, ok := w.(*os.File)
	if !ok {
		return nil
	}
	if i, err := f.Stat(); err != nil || i.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(done, all int) {
		if done%progressStep == 0 || done == all {
			fmt.Fprintf(w, "\r%d of %d requests", done, all)
		}
		if done == all {
			fmt.Fprintln(w)
		}
	}
}
