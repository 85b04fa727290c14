package fair

import (
	"maps"
	"math"
	"slices"
)

// Constants of the order.
const (
	// tolerance is how many times that of its competitors a workspace's level must be for it to be
	// over its share, and the ratio of the levels of two steps. Levels of workspaces with equal demand
	// differ by chance; a smaller tolerance would order their requests by that.
	tolerance = 1.25
	// maxStep is the highest step of a level; the lowest one is -maxStep, 1/35 of the mean.
	maxStep = 16
)

// Shares holds which workspaces are over their share as of one time. It never changes. The zero
// value has none.
type Shares struct {
	ranked   map[int]*Tier
	unranked *Tier
}

// Tier holds the levels of the workspaces of one tier.
type Tier struct {
	// Competing is the number of workspaces that used anything in the last window.
	Competing int
	// Workspaces are those whose weight is known, ordered by name.
	Workspaces []Workspace
	standings  map[uint32]standing
}

// Workspace is the recent use of one workspace in a tier.
type Workspace struct {
	Name string
	// Use is in requests or tokens, whichever the workspace's allowance counts, and Level is the
	// use divided by the weight.
	Use, Level float64
	// Ratio is the level relative to the mean level of the others, or 0 if no other workspace used
	// anything.
	Ratio float64
	// Over is true if the workspace is over its share.
	Over bool
}

// standing is the position of a workspace's requests among those of its class.
type standing struct {
	over bool
	step int
}

// newTier computes the levels of the members of a tier from their recent use.
func newTier(ms []member, uses map[uint32]float64) *Tier {
	t := &Tier{Workspaces: make([]Workspace, len(ms)), standings: make(map[uint32]standing, len(ms))}
	var use, levels float64 // the sums of the use without units, and of the same times the level
	for i, m := range ms {
		u := uses[m.hash]
		l := u / m.weight
		t.Workspaces[i] = Workspace{Name: m.name, Use: u, Level: l}
		use += m.relative * l
		levels += m.relative * l * l
		if u > 0 {
			t.Competing++
		}
	}
	for i, m := range ms {
		w := &t.Workspaces[i]
		if w.Use <= 0 {
			t.standings[m.hash] = standing{step: -maxStep}
			continue
		}
		if t.Competing > 1 {
			own := m.relative * w.Level
			w.Ratio = ratio(w.Level*(use-own), levels-own*w.Level)
		}
		w.Over = w.Ratio > tolerance
		step := math.Round(math.Log(w.Level*use/levels) / math.Log(tolerance))
		t.standings[m.hash] = standing{w.Over, int(max(-maxStep, min(maxStep, step)))}
	}
	return t
}

// ratio returns a/b. B is a difference that rounding may leave at 0 or below; it is then far below a.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return math.Inf(1)
	}
	return a / b
}

// tier returns a tier; nil if shares are not enabled.
func (s Shares) tier(rank int) *Tier {
	if t := s.ranked[rank]; t != nil {
		return t
	}
	return s.unranked
}

// Standing returns whether a workspace, given by the hash of its name, is over its share of a tier,
// and the step of its level: 0 around the mean, one more for each tolerance above it. The requests
// of a class are ordered by both. A workspace whose weight is unknown is at the mean.
func (s Shares) Standing(tierRank int, workspace uint32) (over bool, step int) {
	if t := s.tier(tierRank); t != nil {
		x := t.standings[workspace]
		return x.over, x.step
	}
	return false, 0
}

// Enabled reports whether requests are ordered by shares.
func (s Shares) Enabled() bool { return s.unranked != nil }

// Ranks returns the sorted ranks of the tiers that have workspaces with a rank. All other tiers
// have the same members.
func (s Shares) Ranks() []int { return slices.Sorted(maps.Keys(s.ranked)) }

// Others returns the tiers that have no workspaces with a rank.
func (s Shares) Others() Tier {
	if s.unranked == nil {
		return Tier{}
	}
	return *s.unranked
}

// Tier returns a tier.
func (s Shares) Tier(rank int) Tier {
	if t := s.tier(rank); t != nil {
		return *t
	}
	return Tier{}
}
