package conf

import (
	"fmt"

	"kingcupstand/schema/spec"
)

// States of an instance in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// ParseInstances parses and checks an instance list. The list is nil if there are
// problems.
func ParseInstances(text []byte) (*spec.Instances, []Problem) {
	l := &spec.Instances{}
	ps, _ := decode(text, l)
	seen := make(map[string]bool)
	for i, n := range l.Instances {
		at := fmt.Sprintf("instances[%d]", i)
		ps.name(at+".name", n.Name, seen)
		ps.address(at+".peer", n.Peer)
		if n.Role != string(RoleEntry) && n.Role != string(RoleAgent) {
			ps.add(at+".role", "%q: expected %q or %q", n.Role, RoleEntry, RoleAgent)
		}
		if n.State != StateLive && n.State != StateLeaving {
			ps.add(at+".state", "%q: expected %q or %q", n.State, StateLive, StateLeaving)
		}
	}
	if len(ps) > 0 {
		return nil, ps
	}
	return l, nil
}
