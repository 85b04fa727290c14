package fleet_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupstand/internal/fleet"
	"kingcupstand/schema/spec"
)

// side is an entry with links of its own to all agents and a platform of its own,
// so that it can be cut off from some of them alone.
type side struct {
	entry  *fleet.Process
	relays []*fleet.Relay
}

// side starts an entry that reads its platform from files.
func (b *bench) side(name string, agents []*fleet.Process) side {
	b.Helper()
	dir := b.TempDir()
	var s side
	l := &spec.Instances{Version: 1}
	for _, a := range agents {
		r, err := fleet.NewRelay(a.Settings.Listen.Peer)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(r.Close)
		s.relays = append(s.relays, r)
		l.Instances = append(l.Instances, &spec.Instance{
			Name: a.Name, Role: "agent", Peer: r.Address(), Region: "south", DataCentre: "dc-1", State: "live", Service: "intake",
		})
	}
	write := func(file string, m proto.Message) string {
		y, err := fleet.YAML(m)
		if err != nil {
			b.Fatal(err)
		}
		f := filepath.Join(dir, file)
		if err := os.WriteFile(f, y, 0o600); err != nil {
			b.Fatal(err)
		}
		return f
	}
	b.EditSettings = func(c *spec.Settings) {
		c.Platform = &spec.Platform{
			ConfigurationFile: write("configuration.yaml", contracts(1)), InstancesFile: write("instances.yaml", l), PollMs: 50,
		}
	}
	s.entry = b.entry(name)
	b.EditSettings = nil
	return s
}

// TestHalves cuts each of two entries off from another half of the agents, with
// the platform down at the same time, heals the cuts and does it all once more.
// Callers submit every id on both sides, before and after the healing.
func TestHalves(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	f.came = make(chan string, 1000)
	var agents []*fleet.Process
	for i := range 4 {
		agents = append(agents, b.service(fmt.Sprintf("intake-%d", i+1), f, 8))
	}
	if err := b.Publish(contracts(1)); err != nil {
		t.Fatal(err)
	}
	s1, s2 := b.side("entry-1", agents), b.side("entry-2", agents)
	b.begin(s1.entry, s2.entry)
	for round := range 2 {
		var ids []string
		for _, a := range agents {
			ids = append(ids, b.idAt(s1.entry, a.Name))
		}
		b.Platform.SetDown(true)
		for i := range agents {
			[]side{s1, s2}[i%2].relays[i].Cut()
		}
		got := make(map[int]int)
		for i, id := range ids {
			call := fmt.Sprintf("round %d call %d", round, i)
			c1 := b.async("POST", s1.entry.URL+strict, call, id)
			c2 := b.async("POST", s2.entry.URL+strict, call, id)
			for _, r := range []reply{<-c1, <-c2} {
				got[r.status]++
				if r.ran == "no" && f.count(call) > 0 {
					t.Errorf("%s: told not run, but ran", call)
				}
			}
		}
		// The side that reaches the agent is answered, the other one can't tell.
		if got[http.StatusOK] != len(agents) || got[http.StatusBadGateway] != len(agents) {
			t.Errorf("round %d: got %v", round, got)
		}
		if r := b.send("GET", s1.entry.URL+"/services/intake/x", "any"); r.status != http.StatusOK {
			t.Errorf("round %d: a call without an id got %d %q", round, r.status, r.body)
		}
		for i := range agents {
			[]side{s1, s2}[i%2].relays[i].Heal()
		}
		b.Platform.SetDown(false)
		for i, id := range ids {
			call := fmt.Sprintf("round %d call %d", round, i)
			for _, e := range []*fleet.Process{s1.entry, s2.entry} {
				b.until("the healed side is told that the call ran", func() bool {
					return b.send("POST", e.URL+strict, call, id).ran == "yes"
				})
			}
			if n := f.count(call); n != 1 {
				t.Errorf("%s ran %d times", call, n)
			}
		}
	}
}
