package pool

import (
	"math"
	"time"

	"kingcupstand/core/limit"
)

// notices is what a process has said of itself in its responses to this front, apart from its
// limit. It ends with the process.
type notices struct {
	// leaving is true if the process has said that it leaves; see ObserveLeaving.
	leaving bool
	pause
}

// is reports whether t is the process with the given Born and address.
func (t *Target) is(born int64, address string) bool { return t.Born == born && t.Address == address }

// ObserveEnd records that the process that was chosen has ended, as its host refuses connections. Another one
// may start under its ID before it is listed, of another version. It holds until the ID is listed with another
// Born; without a Born, processes can't be distinguished.
func (p *Pool) ObserveEnd(c Choice) {
	if t := p.targets[c.ID]; t != nil && c.Born != 0 && t.is(c.Born, c.Address) {
		t.ended = true
	}
}

// maxUnlisted bounds the number of unlisted targets that are kept.
const maxUnlisted = 256

// unlisted is what a target that is not listed has said. Its entry may have expired although its
// process runs, and what it has said must hold when it is listed again.
type unlisted struct {
	born    int64
	address string
	limit   limit.Limit
	notices notices
	// warmUp has no pacer if the target was never listed.
	warmUp warmUp
}

// is reports whether u is the process with the given Born and address.
func (u *unlisted) is(born int64, address string) bool { return u.born == born && u.address == address }

// noticesOf returns the notices of the process that was chosen, or nil if the ID has passed to
// another process since. A process that is not listed may still respond.
func (p *Pool) noticesOf(c Choice) *notices {
	if t := p.targets[c.ID]; t != nil {
		if !t.is(c.Born, c.Address) {
			return nil
		}
		return &t.notices
	}
	u, ok := p.unlisted.Get(c.ID)
	if ok && !u.is(c.Born, c.Address) && c.Born < u.born {
		return nil
	}
	if !ok || !u.is(c.Born, c.Address) {
		u = &unlisted{born: c.Born, address: c.Address}
		p.unlisted.Add(c.ID, u)
	}
	return &u.notices
}

// keep keeps what a target has said that is no longer listed.
func (p *Pool) keep(t *target) {
	if t.limit.Rate().Named || t.notices != (notices{}) || t.lost || t.learned > 0 {
		p.unlisted.Add(t.ID, &unlisted{t.Born, t.Address, t.limit, t.notices, t.warmUp})
	}
}

// restore gives a target that is listed again what its process has said.
func (p *Pool) restore(t *target) {
	if u, ok := p.unlisted.Get(t.ID); ok && u.is(t.Born, t.Address) {
		t.limit, t.notices = u.limit, u.notices
		if u.warmUp.pacer != nil {
			t.warmUp = u.warmUp
		}
	}
	p.unlisted.Remove(t.ID)
}

// Forever is the time until which a target that leaves or is drained is withheld.
const Forever time.Duration = math.MaxInt64

// Withheld returns the targets that must get no requests, with the time until which that holds
// unless they say something else.
func (p *Pool) Withheld(now time.Duration) map[string]time.Duration {
	m := map[string]time.Duration{}
	for id, t := range p.targets {
		switch {
		case t.closed():
			m[id] = Forever
		case t.notices.paused(now):
			m[id] = t.notices.until
		}
	}
	return m
}
