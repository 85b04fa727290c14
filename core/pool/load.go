package pool

import (
	"time"
)

// Load is the sum over the targets of a service.
type Load struct {
	// Targets is the number of targets that are not leaving, and Usable the number of
	// those that may get requests now.
	Targets int
	Usable  int
	// Slots is the number of requests that the usable targets may have in flight.
	Slots int
	// Running is the number of requests in flight from all fronts, and OwnRunning the
	// number from this front.
	Running    int
	OwnRunning int
	// OwnSlots is the number of slots of usable targets that this front owns.
	OwnSlots int
}

// Load returns the load of a service.
func (p *Pool) Load(now time.Duration, service string) Load {
	var l Load
	for _, t := range p.byService[service] {
		l.Running += t.running()
		l.OwnRunning += t.ownRunning
		if t.closed() {
			continue
		}
		l.Targets++
		if t.usable(now) {
			l.Usable++
			l.Slots += t.openPlaces(now)
			l.OwnSlots += t.ownSlots
		}
	}
	return l
}

// Targets returns the targets of a service that are not leaving.
func (p *Pool) Targets(service string) []Target {
	var ts []Target
	for _, t := range p.byService[service] {
		if !t.closed() {
			ts = append(ts, t.Target)
		}
	}
	return ts
}

// FreeSlots returns the number of free slots at the usable targets of a service.
func (p *Pool) FreeSlots(now time.Duration, service string) int {
	n := 0
	for _, t := range p.byService[service] {
		if t.usable(now) {
			n += max(0, t.openPlaces(now)-t.running())
		}
	}
	return n
}
