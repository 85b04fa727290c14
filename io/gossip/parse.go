package gossip

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/plan"
	"kingcupstand/core/roster"
	"kingcupstand/schema/wire"
)

// errInvalid is wrapped by errors about heartbeats that are not usable.
var errInvalid = errors.New("invalid heartbeat")

// Bounds of what a heartbeat may contain. A front sends nothing beyond them, as its peers would
// drop the whole heartbeat.
const (
	// MaxCount is the largest count; no front has as many requests.
	MaxCount = 1 << 24
	// MaxTokens is the largest number of prompt tokens at a target.
	MaxTokens = math.MaxInt32
	// MaxName is the length in bytes of the longest name. Names are kept.
	MaxName = 200
)

// Parse decodes and checks a heartbeat. Numbers that are not finite or far too large are
// refused: they would corrupt the assignment of slots, and the levels of allowances would
// stay wrong even when later heartbeats are valid.
func Parse(b []byte) (*wire.Beat, error) {
	m := &wire.Beat{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if _, err := netip.ParseAddrPort(m.Peer); err != nil {
		return nil, fmt.Errorf("%w: peer %.40q", errInvalid, m.Peer)
	}
	// Another front may have accepted a name from a peer that sent it anything.
	m.Peers = slices.DeleteFunc(m.Peers, func(a string) bool {
		_, err := netip.ParseAddrPort(a)
		return err != nil
	})
	// A peer that names a document that can't be isn't asked for it.
	if m.Plan > plan.MaxRevision {
		m.Plan = 0
	}
	if m.Directory > roster.MaxRevision {
		m.Directory = 0
	}
	m.Drains = slices.DeleteFunc(m.Drains, func(d *wire.DataCentreDrain) bool {
		return max(d.GetEra(), d.GetRevision()) > roster.MaxRevision
	})
	for _, u := range m.Uses {
		if u.Running > MaxCount || u.PromptTokens > MaxTokens {
			return nil, fmt.Errorf("%w: %d requests and %d prompt tokens at a target", errInvalid, u.Running, u.PromptTokens)
		}
	}
	for _, w := range m.Waits {
		if w.Count > MaxCount {
			return nil, fmt.Errorf("%w: %d queued requests", errInvalid, w.Count)
		}
	}
	for _, d := range m.Demands {
		if !inRange(d.PerSecond) || d.PerSecond < 0 {
			return nil, fmt.Errorf("%w: demand of %v requests a second", errInvalid, d.PerSecond)
		}
	}
	for _, l := range m.Limits {
		if !inRange(l.GetPerSecond()) || l.GetPerSecond() < 0 {
			return nil, fmt.Errorf("%w: limit of %v requests a second", errInvalid, l.GetPerSecond())
		}
	}
	for _, o := range m.Streams {
		if !validOrigin(o.Service, o.Version) {
			return nil, fmt.Errorf("%w: streams of service %.40q, version %.40q", errInvalid, o.Service, o.Version)
		}
	}
	for _, w := range m.Workspaces {
		// A level may be below 0, and so may the usage for a moment after a refund.
		if !inRange(w.Used) || !inRange(w.Level) {
			return nil, fmt.Errorf("%w: usage %v, level %v", errInvalid, w.Used, w.Level)
		}
	}
	return m, nil
}

// inRange reports whether v is a number of a magnitude below 2^63.
func inRange(v float64) bool { return !math.IsNaN(v) && math.Abs(v) < math.MaxInt64 }

// validOrigin reports whether the names of an origin can be kept and passed on.
func validOrigin(service, version string) bool {
	return service != "" && len(service) <= MaxName && version != "" && len(version) <= MaxName
}
