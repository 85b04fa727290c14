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

// relayedEntry is an entry with its own relay to each agent, so that a test can cut it off
// from some agents while other entries still reach them.
type relayedEntry struct {
	entry  *fleet.Process
	relays []*fleet.Relay
}

// startRelayedEntry starts an entry that reads its configuration and its instance list,
// which names the relays, from files.
func (b *bench) startRelayedEntry(name string, agents []*fleet.Process) relayedEntry {
	b.Helper()
	dir := b.TempDir()
	var s relayedEntry
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
			ConfigurationFile: write("configuration.yaml", testDocument(1)), InstancesFile: write("instances.yaml", l), PollMs: 50,
		}
	}
	s.entry = b.startEntry(name)
	b.EditSettings = nil
	return s
}

// Cuts each of two entries off from a different half of the agents while the platform is
// down, heals the partitions and repeats both. Callers submit every id at both entries,
// during and after the partition. Guards against an id that runs twice or is reported as
// not run although it ran.
func TestIDsRunOnceAcrossOverlappingPartitions(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	f.arrived = make(chan string, 1000)
	var agents []*fleet.Process
	for i := range 4 {
		agents = append(agents, b.startService(fmt.Sprintf("intake-%d", i+1), f, 8))
	}
	if err := b.Publish(testDocument(1)); err != nil {
		t.Fatal(err)
	}
	s1, s2 := b.startRelayedEntry("entry-1", agents), b.startRelayedEntry("entry-2", agents)
	b.start(s1.entry, s2.entry)
	for round := range 2 {
		var ids []string
		for _, a := range agents {
			ids = append(ids, b.newIDAt(s1.entry, a.Name))
		}
		b.Platform.SetDown(true)
		for i := range agents {
			[]relayedEntry{s1, s2}[i%2].relays[i].Cut()
		}
		got := make(map[int]int)
		for i, id := range ids {
			call := fmt.Sprintf("round %d call %d", round, i)
			c1 := b.sendAsync("POST", s1.entry.URL+strictPath, call, id)
			c2 := b.sendAsync("POST", s2.entry.URL+strictPath, call, id)
			for _, r := range []response{<-c1, <-c2} {
				got[r.status]++
				if r.ran == "no" && f.count(call) > 0 {
					t.Errorf("%s: got ran=no for a call that ran", call)
				}
			}
		}
		// The entry that reaches the agent gets the response. The other one does not know
		// whether the call ran.
		if got[http.StatusOK] != len(agents) || got[http.StatusBadGateway] != len(agents) {
			t.Errorf("round %d: got counts by status %v, want one 200 and one 502 per agent", round, got)
		}
		if r := b.send("GET", s1.entry.URL+"/services/intake/x", "any"); r.status != http.StatusOK {
			t.Errorf("round %d: call without an id: got %d %q, want 200", round, r.status, r.body)
		}
		for i := range agents {
			[]relayedEntry{s1, s2}[i%2].relays[i].Heal()
		}
		b.Platform.SetDown(false)
		for i, id := range ids {
			call := fmt.Sprintf("round %d call %d", round, i)
			for _, e := range []*fleet.Process{s1.entry, s2.entry} {
				b.until("the healed entry reports that the call ran", func() bool {
					return b.send("POST", e.URL+strictPath, call, id).ran == "yes"
				})
			}
			if n := f.count(call); n != 1 {
				t.Errorf("%s: got %d runs, want 1", call, n)
			}
		}
	}
}
