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

// benchCommand runs the scenarios or the load patterns of package bench.
type benchCommand struct {
	streams
	Seeds int    `long:"seeds" default:"3" description:"number of seeds, starting at 1"`
	Rush  bool   `long:"rush" description:"run the load patterns of fronts instead of the scenarios"`
	JSON  bool   `long:"json" description:"print the results as JSON"`
	Plot  string `long:"plot" value-name:"FILE" description:"plot the weighted goodput to a file (.svg or .png)"`
}

// row has the results of one scenario and policy, averaged over the seeds; Inversions is
// their sum.
type row struct {
	Scenario        string       `json:"scenario"`
	Deployment      string       `json:"deployment"`
	Policy          bench.Policy `json:"policy"`
	TopGoodput      float64      `json:"top-goodput"`
	WeightedGoodput float64      `json:"weighted-goodput"`
	WeightedBound   float64      `json:"weighted-bound"`
	WastedPrefill   float64      `json:"wasted-prefill"`
	// PrefixHits is the prefix hit ratio, divided by the one that is possible if nothing
	// is evicted.
	PrefixHits    float64 `json:"prefix-hits"`
	OthersGoodput float64 `json:"others-goodput"`
	FirstTokenP95 float64 `json:"first-token-p95-ms"`
	Inversions    int     `json:"inversions"`
}

var policies = []bench.Policy{bench.RoundRobin, bench.LeastLoad, bench.Managed}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	if c.Seeds < 1 {
		return fmt.Errorf("%w: --seeds must be above 0", errInput)
	}
	if c.Rush {
		return c.runPatterns()
	}
	all := bench.Scenarios()
	parts := make([][]row, len(all))
	var g sync.WaitGroup
	for i, s := range all {
		g.Go(func() { parts[i] = c.runScenario(s) })
	}
	g.Wait()
	rows := slices.Concat(parts...)
	if c.Plot != "" {
		if err := plotGoodput(c.Plot, rows); err != nil {
			return err
		}
	}
	if c.JSON {
		return c.json(rows)
	}
	return c.table(rows)
}

// runScenario runs one scenario with all policies and seeds.
func (c *benchCommand) runScenario(s bench.Scenario) []row {
	rows := make([]row, len(policies))
	n := float64(c.Seeds)
	for seed := uint64(1); seed <= uint64(c.Seeds); seed++ {
		bound, hits := s.Bound(seed), s.PrefixHitBound(seed)
		for i, p := range policies {
			r := bench.Run(s, p, seed)
			o := &rows[i]
			o.Scenario, o.Deployment, o.Policy = r.Scenario, r.Deployment, p
			o.TopGoodput += r.TopGoodput / n
			o.WeightedGoodput += r.WeightedGoodput / n
			o.WeightedBound += bound / n
			o.WastedPrefill += r.WastedPrefill / n
			o.PrefixHits += r.PrefixHits / hits / n
			o.OthersGoodput += r.OthersGoodput / n
			o.FirstTokenP95 += float64(r.FirstTokenP95) / float64(time.Millisecond) / n
			o.Inversions += r.Inversions
		}
	}
	return rows
}

// json writes rows to the output as JSON.
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f %%\t%.3f\t%.3f\t%.0f ms\t%d\n", r.Scenario, r.Deployment, r.Policy, r.TopGoodput,
			r.WeightedGoodput, r.WeightedBound, 100*r.WastedPrefill, r.PrefixHits, r.OthersGoodput, r.FirstTokenP95, r.Inversions)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// Sizes of the plot; barWidth is in points.
const (
	plotWidth  = 14 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 12
)

// plotGoodput writes a bar chart with the weighted goodput of each scenario and policy.
func plotGoodput(file string, rows []row) error {
	p := plot.New()
	p.Title.Text = "Goodput weighted by tier, and its upper bound"
	// The space above 1 is for the legend.
	p.Y.Min, p.Y.Max = 0, 1.4
	p.Legend.Top = true
	var names []string
	bars := make([]plotter.Values, len(policies)+1)
	for i, r := range rows {
		k := i % len(policies)
		bars[k] = append(bars[k], r.WeightedGoodput)
		if k == 0 {
			names = append(names, r.Scenario+"\n"+r.Deployment)
			bars[len(policies)] = append(bars[len(policies)], r.WeightedBound)
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
