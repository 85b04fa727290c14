// Package share divides the slots of targets among fronts, so that fronts which
// know each other's load only from a moment ago don't send to the same slot.
//
// # Usage
//
//	mine := share.Mine("192.0.2.1:7600", fronts, targets)
//	n := mine["target-1"]
//
// Every front computes the same division from what all have told each other, by
// weighted rendezvous hashing for each slot: a front's part follows its demand, and
// a change of one front's demand or the loss of a front moves few other slots.
package share

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Front is one that slots are divided among.
type Front struct {
	Name string
	// Weight is its demand in any unit that all fronts use.
	Weight float64
}

// Target has slots to divide.
type Target struct {
	ID    string
	Slots int
}

// floor is the least weight, as a part of the mean: a front without demand keeps
// a few slots for the next request.
const floor = 0.25

// Assigned returns how many slots of each target belong to the named front.
func Assigned(self string, fs []Front, ts []Target) map[string]int {
	sum := 0.0
	for _, f := range fs {
		sum += f.Weight
	}
	least := max(floor*sum/float64(max(1, len(fs))), 1e-9)
	m := make(map[string]int, len(ts))
	for _, t := range ts {
		for n := range t.Slots {
			if owner(fs, least, t.ID, n) == self {
				m[t.ID]++
			}
		}
	}
	return m
}

// owner returns the front that a slot belongs to.
func owner(fs []Front, least float64, target string, slot int) string {
	best, who := math.Inf(-1), ""
	h := xxhash.Sum64String(target) + uint64(slot)*0x9e3779b97f4a7c15
	for _, f := range fs {
		u := (float64(mix(h^xxhash.Sum64String(f.Name))>>11) + 0.5) / (1 << 53)
		if s := -max(f.Weight, least) / math.Log(u); s > best || (s == best && f.Name < who) {
			best, who = s, f.Name
		}
	}
	return who
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
