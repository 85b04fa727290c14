package gossip

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/wire"
)

// errInvalid is wrapped by errors about heartbeats that are not usable.
var errInvalid = errors.New("invalid heartbeat")

// maxCount is the largest count in a heartbeat; no front has as many requests.
const maxCount = 1 << 24

// maxName is the length in bytes of the longest name in a heartbeat. Names are kept.
const maxName = 200

// Parse decodes and checks a heartbeat. Numbers that are not finite or far too large are
// refused: they would corrupt the assignment of slots, and the levels of allowances would
// stay wrong even when later heartbeats are valid.
func Parse(b []byte) (*wire.Beat, error) {
	m := &wire.Beat{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if _, err := netip.ParseAddrPort(m.Peer); err != nil {
		return nil, fmt.Errorf("%w: peer %q", errInvalid, m.Peer)
	}
	for _, u := range m.Uses {
		if u.Running > maxCount || u.PromptTokens > math.MaxInt32 {
			return nil, fmt.Errorf("%w: %d requests and %d prompt tokens at a target", errInvalid, u.Running, u.PromptTokens)
		}
	}
	for _, w := range m.Waits {
		if w.Count > maxCount {
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
		if o.Version == "" || len(o.Version) > maxName || o.Service == "" || len(o.Service) > maxName {
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
