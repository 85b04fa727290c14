// Package fleet judges the platform's instance list, which lags and may be wrong.
//
// # Usage
//
//	l := fleet.New()
//	l = l.With(now, list)
//	for _, i := range l.Instances() { ... }
//
// A list that has lost most of the instances at once says more about the platform
// than about the instances. Those that are missing are kept for a while; if they
// are really gone, their links fail and they are avoided for that. Keeping a dead
// instance costs a failed connection, dropping the living ones costs the service.
package fleet

import (
	"slices"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/schema/spec"
)

// Grace is how long instances are kept that a list has lost together with most
// of the others.
const Grace = 30 * time.Second

// member is an instance that is believed in.
type member struct {
	instance *spec.Instance
	// missing is when the instance was first missing from a list, or 0.
	missing time.Duration
}

// List is what is believed of the fleet. It is immutable.
type List struct {
	members []member
}

// New returns a List without instances.
func New() List { return List{} }

// Instances returns the instances believed in, in the order of their names.
// Callers must not change them.
func (l List) Instances() []*spec.Instance {
	var s []*spec.Instance
	for _, m := range l.members {
		s = append(s, m.instance)
	}
	return s
}

// With returns the List after the platform has published a list. Time must be
// above 0.
func (l List) With(now time.Duration, published []*spec.Instance) List {
	var n List
	for _, i := range published {
		n.members = append(n.members, member{instance: i})
	}
	lost := l.lost(published)
	if 2*len(lost) > l.live() {
		for _, m := range lost {
			if m.missing == 0 {
				m.missing = now
			}
			if now < m.missing+Grace {
				n.members = append(n.members, m)
			}
		}
	}
	slices.SortFunc(n.members, func(a, b member) int {
		if a.instance.Name < b.instance.Name {
			return -1
		}
		return 1
	})
	return n
}

// lost returns the live members that are not in a published list.
func (l List) lost(published []*spec.Instance) []member {
	there := make(map[string]bool, len(published))
	for _, i := range published {
		there[i.Name] = true
	}
	var s []member
	for _, m := range l.members {
		if m.instance.State == conf.StateLive && !there[m.instance.Name] {
			s = append(s, m)
		}
	}
	return s
}

func (l List) live() int {
	n := 0
	for _, m := range l.members {
		if m.instance.State == conf.StateLive {
			n++
		}
	}
	return n
}

// HasMissing reports whether members are kept that the last list did not have. The
// owner then calls With again with the same list once Grace has passed.
func (l List) HasMissing() bool {
	return slices.ContainsFunc(l.members, func(m member) bool { return m.missing > 0 })
}
