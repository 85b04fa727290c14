package cli

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"kingcupstand/internal/bench"
)

// benchCommand plays the scenarios in virtual time.
type benchCommand struct {
	streams
	Seeds int    `long:"seeds" default:"3" description:"number of seeds, from 1 on"`
	Rush  bool   `long:"rush" description:"play the load patterns of fronts instead"`
	JSON  bool   `long:"json" description:"print the results as JSON"`
	Plot  string `long:"plot" value-name:"FILE" description:"draw the weighted goodput to a file (.svg or .png)"`
}

// row is one scenario and policy, averaged over the seeds.
type row struct {
	Scenario   string       `json:"scenario"`
	Deployment string       `json:"deployment"`
	Policy     bench.Policy `json:"policy"`
	Top        float64      `json:"top-goodput"`
	Weighted   float64      `json:"weighted-goodput"`
	Bound      float64      `json:"weighted-bound"`
	Wasted     float64      `json:"wasted-prefill"`
	// Hits is the part of the prefix hits that are possible if nothing is evicted.
	Hits       float64 `json:"prefix-hits"`
	Others     float64 `json:"others-goodput"`
	FirstToken float64 `json:"first-token-p95-ms"`
	Inversions int     `json:"inversions"`
}

var policies = []bench.Policy{bench.RoundRobin, bench.LeastLoad, bench.Managed}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	if c.Seeds < 1 {
		return fmt.Errorf("%w: expected --seeds above 0", errInput)
	}
	if c.Rush {
		return c.rushes()
	}
	all := bench.Scenarios()
	parts := make([][]row, len(all))
	var g sync.WaitGroup
	for i, s := range all {
		g.Go(func() { parts[i] = c.scenario(s) })
	}
	g.Wait()
	rows := slices.Concat(parts...)
	if c.Plot != "" {
		if err := draw(c.Plot, rows); err != nil {
			return err
		}
	}
	if c.JSON {
		return c.json(rows)
	}
	return c.table(rows)
}

// scenario plays one scenario with all policies and seeds.
func (c *benchCommand) scenario(s bench.Scenario) []row {
	rows := make([]row, len(policies))
	n := float64(c.Seeds)
	for seed := uint64(1); seed <= uint64(c.Seeds); seed++ {
		bound, hits := s.Bound(seed), s.PrefixHitBound(seed)
		for i, p := range policies {
			r := bench.Run(s, p, seed)
			o := &rows[i]
			o.Scenario, o.Deployment, o.Policy = r.Scenario, r.Deployment, p
			o.Top += r.TopGoodput / n
			o.Weighted += r.WeightedGoodput / n
			o.Bound += bound / n
			o.Wasted += r.WastedPrefill / n
			o.Hits += r.PrefixHits / hits / n
			o.Others += r.OthersGoodput / n
			o.FirstToken += float64(r.FirstTokenP95) / float64(time.Millisecond) / n
			o.Inversions += r.Inversions
		}
	}
	return rows
}

// json prints results as JSON.
func (c *benchCommand) json(rows any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(rows); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

func (c *benchCommand) table(rows []row) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tdeployment\tpolicy\ttop\tweighted\tbound\twasted\thits\tothers\tfirst token p95\tinversions")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f %%\t%.3f\t%.3f\t%.0f ms\t%d\n", r.Scenario, r.Deployment, r.Policy, r.Top,
			r.Weighted, r.Bound, 100*r.Wasted, r.Hits, r.Others, r.FirstToken, r.Inversions)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// Sizes of the drawing.
const (
	plotWidth  = 14 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 12
)

// draw writes the weighted goodput of each scenario and policy as bars.
func draw(file string, rows []row) error {
	p := plot.New()
	p.Title.Text = "Goodput weighted by tier, and its upper bound"
	// The space above 1 is for the legend.
	p.Y.Min, p.Y.Max = 0, 1.4
	p.Legend.Top = true
	var names []string
	bars := make([]plotter.Values, len(policies)+1)
	for i, r := range rows {
		k := i % len(policies)
		bars[k] = append(bars[k], r.Weighted)
		if k == 0 {
			names = append(names, r.Scenario+"\n"+r.Deployment)
			bars[len(policies)] = append(bars[len(policies)], r.Bound)
		}
	}
	for k, v := range bars {
		b, err := plotter.NewBarChart(v, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		b.Color = plotutil.Color(k)
		b.LineStyle.Width = 0
		b.Offset = vg.Points(barWidth * (float64(k) - float64(len(bars)-1)/2))
		p.Add(b)
		name := "bound"
		if k < len(policies) {
			name = string(policies[k])
		}
		p.Legend.Add(name, b)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
