package fair

import (
	"cmp"
	"slices"

	"kingcupstand/core/plan"
)

// member is a workspace of a tier.
type member struct {
	hash uint32
	name string
	// weight is in the unit in which the workspace's use is counted. Relative is the weight divided
	// by the mean weight of the members that count in the same unit, so that it has none.
	weight, relative float64
}

// tiers holds the members of each tier whose weight is known.
type tiers struct {
	// ranked holds the tiers that have workspaces with a rank. All others have the members
	// unranked.
	ranked   map[int][]member
	unranked []member
	// enabled is true if any tier has at least two workspaces with allowances.
	enabled bool
}

func newTiers(hash func(string) uint32, ws []*plan.Workspace) tiers {
	t := tiers{ranked: map[int][]member{}}
	by := map[int][]*plan.Workspace{}
	var unranked []*plan.Workspace
	for _, w := range ws {
		if w.HasRank {
			by[w.Rank] = append(by[w.Rank], w)
		} else {
			unranked = append(unranked, w)
		}
	}
	add := func(ws []*plan.Workspace) []member {
		units := newUnits(ws)
		t.enabled = t.enabled || units[0].n+units[1].n >= 2
		return members(hash, ws, units)
	}
	for r, ws := range by {
		t.ranked[r] = add(slices.Concat(ws, unranked))
	}
	t.unranked = add(unranked)
	return t
}

// unit holds the number of workspaces that count in a unit, and of those with an allowance among
// them, and the sum of the allowances' rates.
type unit struct {
	all, n int
	rate   float64
}

// units are requests and tokens.
type units [2]unit

func unitOf(w *plan.Workspace) int {
	if w.CountsTokens {
		return 1
	}
	return 0
}

func newUnits(ws []*plan.Workspace) units {
	var us units
	for _, w := range ws {
		u := &us[unitOf(w)]
		u.all++
		if w.Rate > 0 {
			u.n++
			u.rate += w.Rate
		}
	}
	return us
}

// mean returns the mean weight of the workspaces that count in a unit, or 0 if it is unknown.
func (us units) mean(i int) float64 {
	switch other := us[1-i]; {
	case us[i].n > 0:
		return us[i].rate / float64(us[i].n)
	case other.all == 0:
		return 1 // no workspace has an allowance
	default:
		return 0
	}
}

// members returns the workspaces of a tier whose weight is known, ordered by name.
func members(hash func(string) uint32, ws []*plan.Workspace, us units) []member {
	var ms []member
	for _, w := range ws {
		mean := us.mean(unitOf(w))
		if mean == 0 {
			continue
		}
		m := member{hash: hash(w.Name), name: w.Name, weight: mean, relative: 1}
		if w.Rate > 0 {
			m.weight, m.relative = w.Rate, w.Rate/mean
		}
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	return ms
}

// shares returns the shares given the recent use of each workspace.
func (t tiers) shares(uses map[uint32]float64) Shares {
	s := Shares{ranked: map[int]*Tier{}, unranked: newTier(t.unranked, uses)}
	for r, ms := range t.ranked {
		s.ranked[r] = newTier(ms, uses)
	}
	return s
}
