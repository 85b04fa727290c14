// Package fleet decides which instances to use, given the platform's instance list,
// which lags and may be wrong.
//
// A list that lacks more than half of the live instances at once more likely shows a
// fault of the platform than the loss of the instances. The missing instances are then
// kept for Grace. If they are really gone, connections to them fail and they are avoided
// for that reason. Keeping a dead instance costs a failed connection, while dropping the
// live ones interrupts the service.
//
// A list that lacks half of the live instances or fewer is applied at once, and so is
// any change of an instance's state.
//
// # Usage
//
//	l := fleet.New()
//	l = l.With(now, published)
//	for _, i := range l.Instances() { ... }
//	if l.HasMissing() { ... call With again after fleet.Grace ... }
package fleet

import (
	"slices"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/schema/spec"
)

// Grace is how long instances are kept that went missing together with more than half of
// the live ones.
const Grace = 30 * time.Second

// member is an instance in use.
type member struct {
	instance *spec.Instance
	// missing is when the instance was first missing from a list, or 0 if it is listed.
	missing time.Duration
}

// List is the set of instances in use. It is immutable.
type List struct {
	members []member
}

// New returns a List without instances.
func New() List { return List{} }

// Instances returns the instances in use, sorted by name. Callers must not change them.
func (l List) Instances() []*spec.Instance {
	var s []*spec.Instance
	for _, m := range l.members {
		s = append(s, m.instance)
	}
	return s
}

// With returns the List after the platform has published a list. Now must be above 0.
func (l List) With(now time.Duration, published []*spec.Instance) List {
	var n List
	for _, i := range published {
		n.members = append(n.members, member{instance: i})
	}
	missing := l.missing(published)
	if 2*len(missing) > l.live() {
		for _, m := range missing {
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

// missing returns the live members that are not in a published list.
func (l List) missing(published []*spec.Instance) []member {
	listed := make(map[string]bool, len(published))
	for _, i := range published {
		listed[i.Name] = true
	}
	var s []member
	for _, m := range l.members {
		if m.instance.State == conf.StateLive && !listed[m.instance.Name] {
			s = append(s, m)
		}
	}
	return s
}

// live returns the number of live members.
func (l List) live() int {
	n := 0
	for _, m := range l.members {
		if m.instance.State == conf.StateLive {
			n++
		}
	}
	return n
}

// HasMissing reports whether instances are kept that the last published list lacks. The
// caller then calls With again with the same list once Grace has passed.
func (l List) HasMissing() bool {
	return slices.ContainsFunc(l.members, func(m member) bool { return m.missing > 0 })
}
