package conf

import (
	"errors"
	"fmt"

	"kingcupstand/schema/spec"
)

// States of an instance in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// errNoList is returned for a text without a list of instances.
var errNoList = errors.New("instances: expected a list")

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
	listed, err := listInstances(text)
	if err != nil {
		return nil, []Problem{{Expected: shorten(oneLine(err))}}, false
	}
	seen := make(map[string]bool)
	for i, e := range listed {
		at := fmt.Sprintf("instances[%d]", i)
		n, own := &spec.Instance{}, problems{}
		if e.err != nil {
			own.add(at, "not YAML: %s", oneLine(e.err))
		} else if own.unmarshal(at, e.value, n) {
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

// listInstances returns the elements of an instance list, with values of the types of encoding/json or an
// error. If the text can't be read as a whole, each element is read by itself.
func listInstances(text []byte) ([]element, error) {
	v, err := read(text)
	if err != nil {
		es, errEach := readElements(text)
		if errEach != nil {
			return nil, fmt.Errorf("not YAML: %w", err)
		}
		return es, nil
	}
	top, ok := v.(map[string]any)
	listed, isList := top["instances"].([]any)
	if !ok || !isList && top["instances"] != nil {
		return nil, errNoList
	}
	es := make([]element, len(listed))
	for i, v := range listed {
		es[i].value = v
	}
	return es, nil
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
