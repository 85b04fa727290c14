package cli

import (
	"fmt"
	"sync"
	"text/tabwriter"

	"kingcupstand/internal/bench"
)

// rushRow is one load pattern and policy, averaged over the seeds.
type rushRow struct {
	Pattern string       `json:"pattern"`
	Policy  bench.Policy `json:"policy"`
	Worth   float64      `json:"worth"`
	Bound   float64      `json:"worth-bound"`
	// Served and OnTime are parts of each kind of request, the most urgent first.
	Served  []float64 `json:"served"`
	OnTime  []float64 `json:"on-time"`
	Refused float64   `json:"refused"`
	Again   float64   `json:"refused-again"`
	Idle    float64   `json:"idle-slots-at-refusals"`
}

var rushPolicies = []bench.Policy{bench.RoundRobin, bench.LeastLoad, bench.Unassigned, bench.Fronts}

// rushes plays the load patterns of fronts.
func (c *benchCommand) rushes() error {
	all := bench.Patterns()
	rows := make([]rushRow, len(all)*len(rushPolicies))
	var g sync.WaitGroup
	for i, r := range all {
		for k, p := range rushPolicies {
			g.Go(func() { rows[i*len(rushPolicies)+k] = c.rush(r, p) })
		}
	}
	g.Wait()
	if c.JSON {
		return c.json(rows)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\tpolicy\tworth\tbound\tserved\ton time\trefused\tagain\tidle slots")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.3f\t%.1f %%\n", r.Pattern, r.Policy, r.Worth, r.Bound,
			r.Served, r.OnTime, r.Refused, r.Again, 100*r.Idle)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// rush plays one load pattern with one policy and all seeds.
func (c *benchCommand) rush(r bench.Pattern, p bench.Policy) rushRow {
	o := rushRow{Pattern: r.Name, Policy: p}
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
		o.Again += x.RefusedTwice / n
		o.Idle += x.IdleSlots / n
	}
	return o
}
