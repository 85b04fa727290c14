package trial

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"kingcupstand/core/conf"
	"kingcupstand/internal/load"
	"kingcupstand/internal/stand"
	"kingcupstand/schema/spec"
)

// trialKey returns the key of a workspace in a trial.
func trialKey(workspace string) string { return "trial-key-of-" + workspace }

// workspaces returns the customers of a workload.
func workspaces(w load.Workload) []string {
	var l []string
	for _, c := range w.Classes {
		l = append(l, c.Workspaces...)
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// document returns the contracts that fit a workload.
func document(w load.Workload, revision uint64, event time.Time) *spec.Document {
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
		d.Contracts = append(d.Contracts, contract(w, n, d.Services, 1/float64(len(names)), event))
	}
	return d
}

func contract(w load.Workload, name string, services []string, share float64, event time.Time) *spec.Contract {
	c := &spec.Contract{
		Workspace:   name,
		KeyHashes:   []string{conf.HashKey(trialKey(name))},
		Share:       share,
		Models:      []string{model},
		Services:    services,
		DefaultTier: w.Tiers[len(w.Tiers)-1].Name,
	}
	for _, t := range w.Tiers {
		x := &spec.TierTerms{Tier: t.Name, DeadlineMs: uint32(t.Deadline.Milliseconds()), CutRunning: t.Cut}
		if t.Wait {
			x.Overload = "wait"
		}
		if t.Event && !event.IsZero() {
			x.Event = &spec.Event{Start: event.Format(time.RFC3339Nano)}
		}
		c.Tiers = append(c.Tiers, x)
	}
	for _, s := range services {
		c.Routes = append(c.Routes, &spec.Route{Path: "/services/" + s + "/reports", NonIdempotent: true, RequireId: true})
	}
	return c
}

// publish gives the platform the document and the instance list.
func (b *bed) publish() error {
	revision := uint64(1)
	if !b.event.IsZero() {
		revision = 2
	}
	d, err := toYAML(document(b.options.Workload, revision, b.event))
	if err != nil {
		return err
	}
	l, err := toYAML(b.list)
	if err != nil {
		return err
	}
	b.platform.Publish(stand.Configuration, d)
	b.platform.Publish(stand.InstanceList, l)
	return nil
}

func toYAML(m proto.Message) ([]byte, error) {
	j, err := protojson.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	y, err := yaml.JSONToYAML(j)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	return y, nil
}

func (b *bed) settings(platform, name, dc string) *spec.Settings {
	return &spec.Settings{
		Name:       name,
		Region:     region,
		DataCentre: dc,
		Platform:   &spec.Platform{Url: platform},
		Logs:       &spec.Logs{Level: b.options.Level},
	}
}

// checked passes settings through the check that a process makes of its file.
func checked(s *spec.Settings) (*spec.Settings, error) {
	y, err := toYAML(s)
	if err != nil {
		return nil, err
	}
	c, ps := conf.ParseSettings(y)
	if len(ps) > 0 {
		return nil, fmt.Errorf("trial: settings of %s: %s", s.Name, ps[0])
	}
	return c, nil
}
