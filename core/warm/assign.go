package warm

import (
	"kingcupstand/core/share"
)

// Front is a front that may be running, with the hash of its data centre; 0 if that is unknown.
type Front struct {
	Name       string
	DataCentre uint32
}

// Target is a target whose allowance is assigned, with the hash of its data centre.
type Target struct {
	ID         string
	DataCentre uint32
	Units      int
}

// Owned returns the number of units that the front self owns, by target ID. If regional is true, the
// units of a target belong to the fronts of its data centre; otherwise, or if it has none there, to all
// fronts. The fronts fs include self.
func Owned(self string, fs []Front, ts []Target, regional bool) map[string]int {
	var all []share.Front
	by := map[uint32][]share.Front{}
	for _, f := range fs {
		o := share.Front{Name: f.Name, Weight: 1}
		all = append(all, o)
		by[f.DataCentre] = append(by[f.DataCentre], o)
	}
	groups := map[uint32][]share.Target{}
	for _, t := range ts {
		groups[t.DataCentre] = append(groups[t.DataCentre], share.Target{ID: t.ID, Slots: t.Units})
	}
	own := map[string]int{}
	for d, g := range groups {
		near := by[d]
		if !regional || len(near) == 0 {
			near = all
		}
		for id, n := range share.Assigned(self, near, g) {
			own[id] = n
		}
	}
	return own
}
