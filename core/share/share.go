// Package share assigns the slots of targets to fronts. The fronts know each other's load
// only as of the last heartbeat, so without an assignment several of them would send to
// the same free slot.
//
// # Usage
//
//	own := share.Assigned("192.0.2.1:7600", fronts, targets)
//	n := own["target-1"]
//	keepers := share.Nearest(key, names, 3)
//
// Each slot is assigned by weighted rendezvous hashing, with the demand of each front as
// its weight. Fronts with the same view of fronts and targets therefore compute the same
// assignment without coordination, a front's share of the slots is proportional to its
// demand, and a change of one front's demand or the loss of a front reassigns few of
// the other slots.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Front is a front that slots are assigned to.
type Front struct {
	Name string
	// Weight is the demand of the front, in the same unit for all fronts.
	Weight float64
}

// Target is a target whose slots are assigned.
type Target struct {
	ID    string
	Slots int
}

// minWeight is the smallest weight of a front, relative to the mean weight, so that a
// front without demand owns a few slots for its next requests.
const minWeight = 0.25

// maxHashed is the largest number of slots of one target that are hashed one by one. Beyond it,
// slots are assigned in maxHashed groups, so that the cost doesn't grow with their number.
const maxHashed = 128

// candidate is a front with what its scores are computed from.
type candidate struct {
	name   string
	hash   uint64
	weight float64
}

// Assigned returns the number of slots that are assigned to the front self, by target
// ID. Targets without any are left out. The fronts fs include self, in any order.
func Assigned(self string, fs []Front, ts []Target) map[string]int {
	sum := 0.0
	for _, f := range fs {
		sum += f.Weight
	}
	least := max(minWeight*sum/float64(max(1, len(fs))), 1e-9)
	cs := make([]candidate, 0, len(fs))
	for _, f := range fs {
		cs = append(cs, candidate{f.Name, xxhash.Sum64String(f.Name), max(f.Weight, least)})
	}
	m := make(map[string]int, len(ts))
	for _, t := range ts {
		h := xxhash.Sum64String(t.ID)
		for n := range min(t.Slots, maxHashed) {
			if owner(cs, h+uint64(n)*0x9e3779b97f4a7c15) == self {
				m[t.ID] += (t.Slots-n-1)/maxHashed + 1
			}
		}
	}
	return m
}

// owner returns the name of the front that owns the slot with a hash: the one with the highest
// score. The logarithm is only computed for scores that may be the highest: -log(u) is at least
// 1-u.
func owner(cs []candidate, h uint64) string {
	best, name := math.Inf(-1), ""
	for _, c := range cs {
		u := (float64(mix(h^c.hash)>>11) + 0.5) / (1 << 53)
		if c.weight < best*(1-u) {
			continue
		}
		if s := -c.weight / math.Log(u); s > best || (s == best && c.name < name) {
			best, name = s, c.name
		}
	}
	return name
}

// Nearest returns the n names with the highest scores for a key, or all if there are fewer.
// Whoever knows the same names gets the same result, and a name that comes or goes changes it
// by one place.
func Nearest(key uint64, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	ss := make([]scored, 0, len(names))
	for _, a := range names {
		ss = append(ss, scored{a, mix(key ^ xxhash.Sum64String(a))})
	}
	slices.SortFunc(ss, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	near := make([]string, 0, n)
	for _, a := range ss[:min(n, len(ss))] {
		near = append(near, a.name)
	}
	return near
}

// First returns the name with the highest score for a key, as Nearest does; "" if there is none.
func First(key uint64, names []string) string {
	first, best := "", uint64(0)
	for _, a := range names {
		if c := mix(key ^ xxhash.Sum64String(a)); first == "" || c > best || c == best && a < first {
			first, best = a, c
		}
	}
	return first
}

// mix spreads the bits of a hash. It is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
