package front

import (
	"slices"
	"time"

	"kingcupstand/core/peers"
	"kingcupstand/schema/wire"
)

// encodeSightings returns sightings as heartbeats carry them.
func encodeSightings(ss []peers.Sighting) *wire.Sightings {
	if len(ss) == 0 {
		return nil
	}
	m := &wire.Sightings{}
	for _, s := range ss {
		m.Peers = append(m.Peers, s.Peer)
		m.Beats = append(m.Beats, s.Beat)
		m.AgesMs = append(m.AgesMs, milliseconds(s.Age))
		if s.Leaving {
			m.Leaving = append(m.Leaving, s.Peer)
		}
	}
	return m
}

// decodeSightings returns the sightings of a heartbeat. Those beyond the shortest of its lists
// are left out.
func decodeSightings(m *wire.Sightings) []peers.Sighting {
	n := min(len(m.GetPeers()), len(m.GetBeats()), len(m.GetAgesMs()))
	ss := make([]peers.Sighting, 0, n)
	for i := range n {
		ss = append(ss, peers.Sighting{
			Peer: m.Peers[i], Beat: m.Beats[i], Age: time.Duration(m.AgesMs[i]) * time.Millisecond,
			Leaving: slices.Contains(m.Leaving, m.Peers[i]),
		})
	}
	return ss
}
