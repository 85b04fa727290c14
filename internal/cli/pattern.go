package cli

import (
	"fmt"
	"sync"
	"text/tabwriter"

	"kingcupstand/internal/bench"
)

// patternRow has the results of one load pattern and policy, averaged over the seeds.
type patternRow struct {
	Pattern string       `json:"pattern"`
	Policy  bench.Policy `json:"policy"`
	Worth   float64      `json:"worth"`
	Bound   float64      `json:"worth-bound"`
	// Served and OnTime are fractions of the callers of each kind, the most urgent first.
	Served       []float64 `json:"served"`
	OnTime       []float64 `json:"on-time"`
	Refused      float64   `json:"refused"`
	RefusedTwice float64   `json:"refused-again"`
	IdleSlots    float64   `json:"idle-slots-at-refusals"`
	// BusyWorth and OthersWorth are the worth, in the burst, of the workspace that sends more than
	// usual and the mean of the others; absent in patterns without workspaces.
	BusyWorth   float64 `json:"busy-worth,omitempty"`
	OthersWorth float64 `json:"others-worth,omitempty"`
}

var patternPolicies = []bench.Policy{bench.RoundRobin, bench.LeastLoad, bench.Unassigned, bench.Fronts}

// runPatterns runs the load patterns with all policies.
func (c *benchCommand) runPatterns() error {
	all := bench.Patterns()
	for _, r := range all {
		if r.HasWorkspaces() {
			all = append(all, r.WithoutShares())
		}
	}
	rows := make([]patternRow, len(all)*len(patternPolicies))
	var g sync.WaitGroup
	for i, r := range all {
		for k, p := range patternPolicies {
			g.Go(func() { rows[i*len(patternPolicies)+k] = c.runPattern(r, p) })
		}
	}
	g.Wait()
	if c.JSON {
		return c.json(rows)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\tpolicy\tworth\tbound\tserved\ton time\trefused\tagain\tidle slots\tbusy\tothers")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.3f\t%.1f %%\t%.3f\t%.3f\n", r.Pattern, r.Policy, r.Worth, r.Bound,
			r.Served, r.OnTime, r.Refused, r.RefusedTwice, 100*r.IdleSlots, r.BusyWorth, r.OthersWorth)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// runPattern runs one load pattern with one policy and all seeds.
func (c *benchCommand) runPattern(r bench.Pattern, p bench.Policy) patternRow {
	o := patternRow{Pattern: r.Name, Policy: p}
	n := float64(c.Seeds)
	for seed := uint64(1); seed <= uint64(c.Seeds); seed++ {
		x := bench.RunPattern(r, p, seed)
		if o.Served == nil {
			o.Served, o.OnTime = make([]float64, len(x.Served)), make([]float64, len(x.Served))
		}
		for i := range x.Served {
			o.Served[i] += x.Served[i] / n
			o.OnTime[i] += x.OnTime[i] / n
		}
		o.Worth += x.Worth / n
		o.Bound += r.Bound(seed) / n
		o.Refused += x.Refused / n
		o.RefusedTwice += x.RefusedTwice / n
		o.IdleSlots += x.IdleSlots / n
		for i, v := range x.WorkspaceWorth {
			if i == 0 {
				o.BusyWorth += v / n
			} else {
				o.OthersWorth += v / n / float64(len(x.WorkspaceWorth)-1)
			}
		}
	}
	return o
}
