package pool

import (
	"slices"
	"time"
)

// SetDrained replaces the names of the data centres whose targets get no new requests. Targets
// whose data centre is no longer drained count as warming up: they may have cooled down, and
// their load is to return gradually.
func (p *Pool) SetDrained(now time.Duration, names []string) {
	p.drained = names
	for _, t := range p.targets {
		was := t.drained
		t.drained = slices.Contains(names, t.DataCentre)
		if was && !t.drained {
			t.extend(now, now+t.pacer.Terms().Lasting(), WarmDrain)
		}
	}
}

// closed reports whether the target gets no new requests, whatever its load.
func (t *target) closed() bool { return t.Leaving || t.drained }

// CountIn returns the number of targets in a data centre.
func (p *Pool) CountIn(dataCentre string) int {
	n := 0
	for _, t := range p.targets {
		if t.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// DrainedOnly reports whether all targets that could ever take a request are in drained data centres,
// those included that it was sent to before.
func (p *Pool) DrainedOnly(c Criteria) bool {
	drained := false
	for _, t := range p.byService[c.Service] {
		if t.Leaving || !c.matches(t) {
			continue
		}
		if !t.drained {
			return false
		}
		drained = true
	}
	return drained
}
