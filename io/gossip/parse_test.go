package gossip_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/core/share"
	"kingcupstand/io/gossip"
	"kingcupstand/schema/wire"
)

// FuzzParse applies every heartbeat that Parse accepts to allowances and to the assignment
// of slots. Levels must stay numbers within the burst, and each slot must be assigned to
// exactly one front.
func FuzzParse(f *testing.F) {
	for _, m := range []*wire.Beat{
		{Peer: "192.0.2.1:7600", Sequence: 1, Workspaces: []*wire.WorkspaceUse{{Workspace: pool.Hash("w"), Used: 5, Level: -3}}},
		{Peer: "192.0.2.1:7600", Workspaces: []*wire.WorkspaceUse{{Workspace: pool.Hash("w"), Used: math.NaN(), Level: math.Inf(1)}}},
		{Peer: "192.0.2.1:7600", Demands: []*wire.ServiceDemand{{Service: 1, PerSecond: math.Inf(1)}, {Service: 1, PerSecond: math.NaN()}}},
		{Peer: "192.0.2.1:7600", Uses: []*wire.TargetUse{{Target: pool.Hash("t"), Running: math.MaxUint32}}},
		{Peer: "not an address"},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := gossip.Parse(b)
		if err != nil {
			return
		}
		q := quota.New(pool.Hash, quota.DefaultWindow, true, rand.New(rand.NewPCG(1, 2)))
		q.Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: 10, Burst: 100}})
		us := quota.Uses{}
		for _, w := range m.Workspaces {
			us[w.Workspace] = quota.Use{Used: w.Used, Level: w.Level}
		}
		q.Observe(time.Second, m.Peer, quota.Report{Incarnation: m.Incarnation, Continuous: true, Uses: us})
		if l := q.State(time.Second, "w").Level; math.IsNaN(l) || l > 100 {
			t.Errorf("got level %v, want a number of at most 100", l)
		}
		for _, d := range m.Demands {
			fs := []share.Front{{Name: "self", Weight: 1}, {Name: m.Peer, Weight: d.PerSecond}}
			own, other := share.Assigned("self", fs, []share.Target{{ID: "t", Slots: 8}}), share.Assigned(m.Peer, fs, []share.Target{{ID: "t", Slots: 8}})
			if m.Peer != "self" && own["t"]+other["t"] != 8 {
				t.Errorf("demand %v: got %d and %d slots, want 8 in all", d.PerSecond, own["t"], other["t"])
			}
		}
	})
}

// A heartbeat with one invalid value is refused as a whole.
func TestParseRefusesInvalidValues(t *testing.T) {
	const peer = "192.0.2.1:7600"
	for name, m := range map[string]*wire.Beat{
		"peer no address":    {Peer: "front"},
		"running too large":  {Peer: peer, Uses: []*wire.TargetUse{{Running: math.MaxUint32}}},
		"tokens too large":   {Peer: peer, Uses: []*wire.TargetUse{{PromptTokens: math.MaxUint32}}},
		"waiting too large":  {Peer: peer, Waits: []*wire.RankWait{{Count: math.MaxUint32}}},
		"demand infinite":    {Peer: peer, Demands: []*wire.ServiceDemand{{PerSecond: math.Inf(1)}}},
		"demand negative":    {Peer: peer, Demands: []*wire.ServiceDemand{{PerSecond: -1}}},
		"usage not a number": {Peer: peer, Workspaces: []*wire.WorkspaceUse{{Used: math.NaN()}}},
		"version missing":    {Peer: peer, Streams: []*wire.StreamOrigin{{Service: "s", Streams: []uint64{1}}}},
		"version too long":   {Peer: peer, Streams: []*wire.StreamOrigin{{Service: "s", Version: strings.Repeat("v", 1000)}}},
		"limit not a number": {Peer: peer, Limits: []*wire.TargetLimit{{PerSecond: proto.Float64(math.NaN())}}},
		"limit negative":     {Peer: peer, Limits: []*wire.TargetLimit{{PerSecond: proto.Float64(-1)}}},
		"level infinite":     {Peer: peer, Workspaces: []*wire.WorkspaceUse{{Level: math.Inf(-1)}}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := gossip.Parse(b); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// Guards against addresses that aren't any, which a front would keep, send to and pass on.
func TestParseDropsInvalidPeers(t *testing.T) {
	const peer = "192.0.2.1:7600"
	b, err := proto.Marshal(&wire.Beat{Peer: peer, Peers: []string{"", "192.0.2.2:7600", "front", "192.0.2.3:99999", strings.Repeat("x", 5000)}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := gossip.Parse(b)
	if err != nil || len(m.Peers) != 1 || m.Peers[0] != "192.0.2.2:7600" {
		t.Errorf("got peers %.100q, error %v", m.GetPeers(), err)
	}
	for _, n := range []string{strings.Repeat("x", 60000), strings.Repeat("\x00", 60000)} {
		b, err := proto.Marshal(&wire.Beat{Peer: n})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := gossip.Parse(b); err == nil || len(err.Error()) > 1000 {
			t.Errorf("peer of %d bytes: got an error of %d bytes", len(n), len(fmt.Sprint(err)))
		}
	}
}

// Guards against a front that asks a peer again and again for a plan or a list that can't be, or drains a data
// centre for good: nothing that the platform can't have given is taken from a heartbeat, but the rest is.
func TestParseDropsRevisionsThatCannotBe(t *testing.T) {
	b, err := proto.Marshal(&wire.Beat{
		Peer: "192.0.2.1:7600", Sequence: 3, Plan: math.MaxUint64, Directory: math.MaxUint64,
		Drains: []*wire.DataCentreDrain{{DataCentre: "a", Era: math.MaxUint64}, {DataCentre: "b", Revision: math.MaxUint64}, {DataCentre: "c", Revision: 7}},
	})
	if err != nil {
		t.Fatal(err)
	}
	m, err := gossip.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	if m.Plan != 0 || m.Directory != 0 || len(m.Drains) != 1 || m.Drains[0].DataCentre != "c" {
		t.Errorf("got %v, want the drain of c alone", m)
	}
}
