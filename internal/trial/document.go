package trial

import (
	"slices"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/internal/load"
	"kingcupstand/schema/spec"
)

// apiKey returns the API key of a workspace in a trial.
func apiKey(workspace string) string { return "trial-key-of-" + workspace }

// workspaces returns the workspaces of a workload, sorted.
func workspaces(w load.Workload) []string {
	var l []string
	for _, c := range w.Classes {
		l = append(l, c.Workspaces...)
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// newDocument returns a configuration document for a workload, in which all workspaces
// have equal contracts. The event starts at the given time; if that is zero no tier has an
// event.
func newDocument(w load.Workload, revision uint64, event time.Time) *spec.Document {
	d := &spec.Document{Revision: revision, Models: []string{model}}
	for i, t := range w.Tiers {
		d.Tiers = append(d.Tiers, &spec.Tier{Name: t.Name, Rank: uint32(i + 1)})
	}
	for _, c := range w.Classes {
		if c.Service != "" {
			d.Services = append(d.Services, c.Service)
		}
	}
	names := workspaces(w)
	for _, n := range names {
		d.Contracts = append(d.Contracts, newContract(w, n, d.Services, 1/float64(len(names)), event))
	}
	return d
}

// newContract returns the contract of one workspace.
func newContract(w load.Workload, name string, services []string, share float64, event time.Time) *spec.Contract {
	c := &spec.Contract{
		Workspace:   name,
		KeyHashes:   []string{conf.HashKey(apiKey(name))},
		Share:       share,
		Models:      []string{model},
		Services:    services,
		DefaultTier: w.Tiers[len(w.Tiers)-1].Name,
	}
	for _, t := range w.Tiers {
		x := &spec.TierTerms{Tier: t.Name, DeadlineMs: uint32(t.Deadline.Milliseconds()), CutRunning: t.Preemptible}
		if t.Wait {
			x.Overload = "wait"
		}
		if t.BeforeEvent && !event.IsZero() {
			x.Event = &spec.Event{Start: event.Format(time.RFC3339Nano)}
		}
		c.Tiers = append(c.Tiers, x)
	}
	for _, s := range services {
		c.Routes = append(c.Routes, &spec.Route{Path: "/services/" + s + "/reports", NonIdempotent: true, RequireId: true})
	}
	return c
}
