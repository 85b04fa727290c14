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
		ps.instance(fmt.Sprintf("instances[%d]", i), n, seen)
	}
	if len(ps) > 0 {
		return nil, ps
	}
	return l, nil
}

// ReadInstances parses an instance list and leaves out the instances that have problems, which it
// returns. It returns false if the text isn't a list, or if it lists only instances with problems.
func ReadInstances(text []byte) (valid []*spec.Instance, ps []Problem, ok bool) {
	v, err := read(text)
	if err != nil {
		return nil, []Problem{{Expected: shorten("not YAML: " + oneLine(err))}}, false
	}
	top, ok := v.(map[string]any)
	listed, isList := top["instances"].([]any)
	if !ok || !isList && top["instances"] != nil {
		return nil, []Problem{{Path: "instances", Expected: "expected a list"}}, false
	}
	seen := make(map[string]bool)
	for i, e := range listed {
		at := fmt.Sprintf("instances[%d]", i)
		n, own := &spec.Instance{}, problems{}
		if own.unmarshal(at, e, n) {
			own.instance(at, n, seen)
		}
		if len(own) == 0 {
			valid = append(valid, n)
		} else if len(ps) < maxProblems {
			ps = append(ps, own...)
		}
	}
	return valid, ps, len(valid) > 0 || len(listed) == 0
}

// instance checks an instance, whose name must not be in seen, and adds it there.
func (p *problems) instance(at string, n *spec.Instance, seen map[string]bool) {
	p.name(at+".name", n.Name, seen)
	p.address(at+".peer", n.Peer)
	if n.Role != string(RoleEntry) && n.Role != string(RoleAgent) {
		p.add(at+".role", "%q: expected %q or %q", n.Role, RoleEntry, RoleAgent)
	}
	if n.State != StateLive && n.State != StateLeaving {
		p.add(at+".state", "%q: expected %q or %q", n.State, StateLive, StateLeaving)
	}
}
