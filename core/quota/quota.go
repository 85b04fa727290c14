// Package quota enforces per-workspace allowances that all fronts share, without a
// central counter.
//
// An allowance holds over any window of a given length: a workspace may use its rate times
// that length, plus its burst. Each front sums the usage of all fronts over the last
// window. It counts its own requests at once, and the usage of the other fronts when their
// heartbeats report it. Heartbeats carry a running total since the sender's start, so a
// lost one is made up by the next, also in a large fleet, where the heartbeats of a front
// reach a given other one every few seconds.
//
// A front that has just started knows nothing of the past. It takes the sustained part of
// the allowance for used, evenly over the window before its start, which leaves the burst.
// All fronts may have started at once and not know each other yet. For its first moments a
// front therefore uses a part of a second's allowance only, the smaller the more fronts it knows.
//
// Until heartbeats have told the others what a front uses, each may use what is left. So that a fleet that
// is refused, and gets a little back all at once, doesn't use it many times over, a front uses
// only twice its even part of what is left until then, once little is left.
//
// A front whose heartbeats stopped may still be serving on the other side of a
// partition. The limit therefore approaches a share of the allowance: the live fronts over
// all fronts that may be serving, as peers.Table.Count returns them. While each side of a
// partition counts the fronts of the other in the total but not as live, the shares of the
// sides don't add up to more than the allowance. That is so from peers.AliveFor until
// peers.ServingFor after the last heartbeats from the other side. Before that the
// partition is not detected yet, and after it the other side's fronts count as stopped; in
// both cases each side permits the full allowance. The limit changes gradually, because
// the usage from before the partition, which both sides have counted, leaves the window
// gradually, too.
//
// # Usage
//
//	l := quota.New(hash, quota.DefaultWindow, true, random)
//	l.Configure(now, workspaces)
//	wait, ok := l.Take(now, "workspace", 1500)
//	l.Observe(now, "192.0.2.7:7600", quota.Report{Incarnation: 3, Continuous: true, Uses: uses})
//	l.SetFronts(now, 4, 5)
package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"kingcupstand/core/plan"
)

// DefaultWindow is the length of the window if none is set.
const DefaultWindow = 8 * time.Second

// Time constants with which the limit approaches its share of the allowance, relative to
// the window. A lower limit is approached fast, so that the sides of a partition have
// nearly reached their shares once the usage that they have both counted has left the
// window. A higher one is approached as slowly as the usage of the other side leaves the
// window, which was not counted on this side.
const (
	fallTimeConstant = 0.3
	riseTimeConstant = 1.0
)

// Use is one front's usage of one workspace's allowance, in requests or tokens, whichever
// the allowance counts.
type Use struct {
	// Used is the total since the front started.
	Used float64
	// Level is how much of the allowance is left according to the front; it may be below 0.
	Level float64
}

// Uses holds a front's usage by the hash of the workspace's name.
type Uses map[uint32]Use

// account is the usage of one workspace.
type account struct {
	workspace *plan.Workspace
	// recent is the usage of all fronts in the last window, as far as this front knows.
	recent *window
	// limit is the largest usage in a window that this front permits, as of updated.
	limit   float64
	updated time.Duration
	// used is this front's own usage since it started, and reported what it was at reportedAt,
	// of which heartbeats have told the others since.
	used       float64
	reported   float64
	reportedAt time.Duration
}

// level returns how much of the allowance is left.
func (a *account) level() float64 { return a.limit - a.recent.sum }

// peerUsage is the last usage that a peer reported.
type peerUsage struct {
	incarnation uint64
	uses        Uses
}

// Report is the usage that a peer's heartbeat reports.
type Report struct {
	// Incarnation tells the runs of the process at one address apart.
	Incarnation uint64
	// Started is true if the process has started recently.
	Started bool
	// Continuous is true if the peer has counted as live here since its previous heartbeat;
	// see peers.Table.Continuous.
	Continuous bool
	Uses       Uses
}

// Limiter holds the usage of all workspaces as known to one front. It is not safe for
// concurrent use.
type Limiter struct {
	accounts map[uint32]*account
	peers    map[string]*peerUsage
	// share is the fraction of the allowances that is permitted here, from 0 to 1.
	share  float64
	window time.Duration
	// expectsPeers is true if there may be other fronts. Settled is when this front knows them,
	// and fronts the number that it knows now.
	expectsPeers bool
	settled      time.Duration
	fronts       int
	hash         func(string) uint32
	random       *rand.Rand
	// countsAll is true if the usage of workspaces without an allowance is counted, too.
	countsAll bool
}

// New returns a Limiter without allowances. They hold over windows of the given length,
// which must be above 0. Heartbeats identify workspaces by the hash of their name, which
// must be the same function at all fronts.
//
// Peers is true if there may be other fronts.
func New(hash func(string) uint32, window time.Duration, peers bool, r *rand.Rand) *Limiter {
	return &Limiter{expectsPeers: peers, random: r, accounts: map[uint32]*account{}, peers: map[string]*peerUsage{}, share: 1, window: window, hash: hash}
}

// Configure replaces the allowances. Workspaces that stay keep their usage.
func (l *Limiter) Configure(now time.Duration, ws []*plan.Workspace) {
	if l.expectsPeers && l.settled == 0 {
		l.settled = now + settleTime
	}
	old := l.accounts
	l.accounts = map[uint32]*account{}
	for _, w := range ws {
		h := l.hash(w.Name)
		a := old[h]
		if a == nil {
			a = &account{recent: newWindow(l.window)}
			a.recent.spread(now, w.Rate*l.window.Seconds())
		}
		a.workspace, a.updated = w, now
		a.limit = l.permitted(a)
		l.accounts[h] = a
	}
}

// permitted returns the usage in a window that the limit of an account approaches.
func (l *Limiter) permitted(a *account) float64 {
	return l.share * (a.workspace.Rate*l.window.Seconds() + a.workspace.Burst)
}

// SetFronts sets the number of live fronts, this one included, and the total of those
// that may be serving. The limits approach live/total of the allowances.
func (l *Limiter) SetFronts(now time.Duration, live, total int) {
	l.fronts = live
	p := 1.0
	if total > 0 {
		p = float64(live) / float64(total)
	}
	if p == l.share {
		return
	}
	for _, a := range l.accounts {
		l.advance(now, a)
	}
	l.share = p
}

// advance brings an account up to date.
func (l *Limiter) advance(now time.Duration, a *account) {
	a.recent.advance(now)
	if d := now - a.updated; d > 0 {
		p, c := l.permitted(a), riseTimeConstant
		if p < a.limit {
			c = fallTimeConstant
		}
		a.limit = p + (a.limit-p)*math.Exp(-d.Seconds()/(c*l.window.Seconds()))
		a.updated = now
	}
}

// CountAll sets whether the usage of workspaces without an allowance is counted and is part of Uses.
func (l *Limiter) CountAll(all bool) { l.countsAll = all }

// counts reports whether the usage of an account is counted.
func (l *Limiter) counts(a *account) bool { return a.workspace.Rate > 0 || l.countsAll }

// Take takes n from a workspace's allowance, in requests or tokens, whichever it counts.
// It succeeds while any of the allowance is left, so one request may exceed it. Otherwise
// it reports false and the time until enough usage has left the window for n to fit. A
// workspace without an allowance is never refused.
func (l *Limiter) Take(now time.Duration, workspace string, n float64) (wait time.Duration, ok bool) {
	a := l.accounts[l.hash(workspace)]
	if a == nil || a.workspace.Rate <= 0 {
		if a != nil && l.countsAll {
			a.used += n
		}
		return 0, true
	}
	l.advance(now, a)
	if a.level() <= 0 {
		return max(a.recent.expires(now, n-a.level()), l.settled-now), false
	}
	if now < l.settled && a.used >= l.settling(a) {
		return l.settled - now, false
	}
	if wait := l.reportWait(now, a, n); wait > 0 {
		return wait, false
	}
	a.recent.add(now, n)
	a.used += n
	return 0, true
}

// Refund puts back n that was taken for a request which did not run.
func (l *Limiter) Refund(now time.Duration, workspace string, n float64) {
	a := l.accounts[l.hash(workspace)]
	if a == nil || !l.counts(a) {
		return
	}
	a.used -= n
	if a.workspace.Rate > 0 {
		a.recent.add(now, -n)
	}
}

// Observe records the usage that a peer's heartbeat reports and charges its growth since
// the peer's previous heartbeat. The usage in a peer's first heartbeat, or in one before which
// the peer did not count as live all the time, is not charged: the limit has left room for it
// then. There are two special cases:
//
//   - If the peer has started recently, all of its usage is charged, as all of it is recent.
//   - If it has not and reports for the first time, then it may be this front that has just
//     started. Its level is lowered to the peer's level.
func (l *Limiter) Observe(now time.Duration, peer string, r Report) {
	p := l.peers[peer]
	charged := r.Started || p != nil && r.Continuous
	first := p == nil
	switch {
	case p == nil:
		p = &peerUsage{incarnation: r.Incarnation, uses: Uses{}}
		l.peers[peer] = p
	case p.incarnation != r.Incarnation:
		p.incarnation, p.uses = r.Incarnation, Uses{}
	}
	for h, u := range r.Uses {
		a := l.accounts[h]
		switch {
		case a == nil || a.workspace.Rate <= 0:
		case charged:
			a.recent.add(now, u.Used-p.uses[h].Used)
		case first:
			l.advance(now, a)
			a.recent.add(now, max(0, a.level()-u.Level))
		}
		p.uses[h] = u
	}
}

// Uses returns this front's own usage and the levels, for its heartbeats.
// Workspaces without an allowance are left out, unless CountAll is set; their level is 0.
func (l *Limiter) Uses(now time.Duration) Uses {
	us := Uses{}
	for h, a := range l.accounts {
		switch {
		case a.workspace.Rate > 0:
			l.advance(now, a)
			us[h] = Use{Used: a.used, Level: a.level()}
		case l.countsAll:
			us[h] = Use{Used: a.used}
		}
	}
	return us
}

// State is the state of a workspace's allowance, for logs.
type State struct {
	// Level is how much of the allowance is left.
	Level float64
	// Rate (a second) and Burst are the allowance over all fronts. Share is the fraction
	// of it that the limit of this front approaches, from 0 to 1.
	Rate, Burst, Share float64
}

// State returns the state of a workspace's allowance, or the zero State if the workspace
// is unknown.
func (l *Limiter) State(now time.Duration, workspace string) State {
	a := l.accounts[l.hash(workspace)]
	if a == nil {
		return State{}
	}
	l.advance(now, a)
	return State{Level: a.level(), Rate: a.workspace.Rate, Burst: a.workspace.Burst, Share: l.share}
}
