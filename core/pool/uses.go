package pool

import (
	"time"
)

// Use is what one front has in flight at one target.
type Use struct {
	// Target is the hash of the target's ID; see Hash.
	Target  uint32
	Running int
	// PromptTokens is the total length of the prompts whose first event has not arrived.
	PromptTokens int
	// Failing is true if that front has suspended the target.
	Failing bool
	// Recent is the number of requests in the last second that count against the bound of a warm-up,
	// if the target is of a service whose targets warm up; see warm.Pacer.Recent.
	Recent int
}

// attachUses copies a peer's uses to the targets.
func (p *Pool) attachUses(peer string) {
	us := p.peers[peer]
	for h, u := range us {
		if t := p.byHash[h]; t != nil {
			t.setPeer(peer, u)
		}
	}
}

// SetPeer replaces what a peer has in flight.
func (p *Pool) SetPeer(peer string, us []Use) {
	p.RemovePeer(peer)
	m := map[uint32]Use{}
	for _, u := range us {
		m[u.Target] = u
	}
	p.peers[peer] = m
	p.attachUses(peer)
}

// RemovePeer discards what a peer has in flight.
func (p *Pool) RemovePeer(peer string) {
	for h := range p.peers[peer] {
		if t := p.byHash[h]; t != nil {
			t.removePeer(peer)
		}
	}
	delete(p.peers, peer)
}

// Uses returns what this front has in flight, for its heartbeats. Targets without
// requests are left out unless they are suspended.
func (p *Pool) Uses(now time.Duration) []Use {
	var us []Use
	for _, t := range p.targets {
		f := now < t.suspendedUntil
		if n := t.pacer.Recent(now); t.ownRunning > 0 || f || n > 0 {
			us = append(us, Use{Target: Hash(t.ID), Running: t.ownRunning, PromptTokens: t.ownTokens, Failing: f, Recent: n})
		}
	}
	return us
}
