package front

import (
	"slices"
	"testing"
	"time"

	"kingcupstand/core/peers"
	"kingcupstand/schema/wire"
)

func TestSightingsAreCarried(t *testing.T) {
	want := []peers.Sighting{{Peer: 1, Beat: 7, Age: 250 * time.Millisecond}, {Peer: 2, Beat: 1 << 31, Leaving: true}}
	if got := decodeSightings(encodeSightings(want)); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A front of the build before sends none, and a faulty one lists of unequal lengths.
func TestIncompleteSightingsAreLeftOut(t *testing.T) {
	if got := decodeSightings(nil); len(got) != 0 {
		t.Errorf("got %+v without sightings", got)
	}
	got := decodeSightings(&wire.Sightings{Peers: []uint32{1, 2, 3}, Beats: []uint32{7, 8}, AgesMs: []uint32{9}})
	if want := []peers.Sighting{{Peer: 1, Beat: 7, Age: 9 * time.Millisecond}}; !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
