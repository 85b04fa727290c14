package gossip

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/wire"
)

// errBeat is wrapped by errors about beats that can't be used.
var errBeat = errors.New("unusable beat")

// most bounds the counts in a beat: no front has so much in flight.
const most = 1 << 24

// Parse decodes a datagram. A number that isn't finite or far too large is refused:
// it would stay in what the front believes of allowances and slots.
func Parse(b []byte) (*wire.Beat, error) {
	m := &wire.Beat{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errBeat, err)
	}
	if _, err := netip.ParseAddrPort(m.Peer); err != nil {
		return nil, fmt.Errorf("%w: peer %q", errBeat, m.Peer)
	}
	for _, u := range m.Uses {
		if u.Running > most || u.PromptTokens > math.MaxInt32 {
			return nil, fmt.Errorf("%w: %d requests and %d tokens at a target", errBeat, u.Running, u.PromptTokens)
		}
	}
	for _, w := range m.Waits {
		if w.Count > most {
			return nil, fmt.Errorf("%w: %d waiting requests", errBeat, w.Count)
		}
	}
	for _, d := range m.Demands {
		if !finite(d.PerSecond) || d.PerSecond < 0 {
			return nil, fmt.Errorf("%w: %v requests a second", errBeat, d.PerSecond)
		}
	}
	for _, w := range m.Workspaces {
		// Level may be below 0, and Used as well for a moment after a return.
		if !finite(w.Used) || !finite(w.Level) {
			return nil, fmt.Errorf("%w: used %v, level %v", errBeat, w.Used, w.Level)
		}
	}
	return m, nil
}

func finite(v float64) bool { return !math.IsNaN(v) && math.Abs(v) < math.MaxInt64 }
