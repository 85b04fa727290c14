// Package quota enforces per-workspace allowances that all fronts share, without a
// central counter.
//
// Each front keeps one token bucket per workspace. Its own requests drain the bucket
// at once; the usage of the other fronts is subtracted when their heartbeats report
// it. Heartbeats carry a running total since the sender's start, so a lost one is made
// up by the next.
//
// A front whose heartbeats stopped may still be serving on the other side of a
// partition. The bucket therefore fills only at a share of the rate: the live fronts
// over all fronts that may be serving, as peers.Table.Count returns them. While each side
// of a partition counts the fronts of the other in the total but not as live, the rates of
// the sides don't add up to more than the allowance. That is so from peers.AliveFor until
// peers.ServingFor after the last heartbeats from the other side. Before that the
// partition is not detected yet, and after it the other side's fronts count as stopped; in
// both cases each side fills at the full rate.
//
// # Usage
//
//	l := quota.New(hash)
//	l.Configure(now, workspaces)
//	wait, ok := l.Take(now, "workspace", 1500)
//	l.Observe(now, "192.0.2.7:7600", incarnation, false, uses)
//	l.SetFronts(now, 4, 5)
package quota

import (
	"time"

	"kingcupstand/core/plan"
)

// Use is one front's usage of one workspace's allowance, in requests or tokens, whichever
// the allowance counts.
type Use struct {
	// Used is the total since the front started.
	Used float64
	// Level is the level of the front's token bucket.
	Level float64
}

// Uses holds a front's usage by the hash of the workspace's name.
type Uses map[uint32]Use

// bucket is the token bucket of one workspace.
type bucket struct {
	workspace *plan.Workspace
	level     float64
	// updated is when the level was last brought up to date.
	updated time.Duration
	// used is this front's own usage since it started.
	used float64
}

// peerUsage is the last usage that a peer reported.
type peerUsage struct {
	incarnation uint64
	uses        Uses
	received    time.Duration
}

// StaleAfter is how long after a peer's last heartbeat the growth of its usage is still
// charged. After that the peer does not count as live here and the bucket fills at a
// smaller share of the rate, which leaves room for the peer's usage; charging the usage
// as well would count it twice. It equals peers.AliveFor.
const StaleAfter = 1200 * time.Millisecond

// Limiter holds the token buckets of all workspaces at one front. It is not safe for
// concurrent use.
type Limiter struct {
	buckets map[uint32]*bucket
	peers   map[string]*peerUsage
	// share is the fraction of the rate that fills the buckets here, from 0 to 1.
	share float64
	hash  func(string) uint32
}

// New returns a Limiter without allowances. Heartbeats identify workspaces by the hash
// of their name, which must be the same function at all fronts.
func New(hash func(string) uint32) *Limiter {
	return &Limiter{buckets: map[uint32]*bucket{}, peers: map[string]*peerUsage{}, share: 1, hash: hash}
}

// Configure replaces the allowances. Workspaces that stay keep the level of their
// bucket, up to the new burst; new ones start with a full bucket.
func (l *Limiter) Configure(now time.Duration, ws []*plan.Workspace) {
	old := l.buckets
	l.buckets = map[uint32]*bucket{}
	for _, w := range ws {
		h := l.hash(w.Name)
		b := old[h]
		if b == nil {
			b = &bucket{level: w.Burst}
		} else {
			l.fill(now, b)
		}
		b.workspace, b.updated = w, now
		b.level = min(b.level, w.Burst)
		l.buckets[h] = b
	}
}

// SetFronts sets the number of live fronts, this one included, and the total of those
// that may be serving. The buckets fill at live/total of the rate.
func (l *Limiter) SetFronts(now time.Duration, live, total int) {
	p := 1.0
	if total > 0 {
		p = float64(live) / float64(total)
	}
	if p == l.share {
		return
	}
	for _, b := range l.buckets {
		l.fill(now, b)
	}
	l.share = p
}

// fill adds to a bucket what has accrued since its last update.
func (l *Limiter) fill(now time.Duration, b *bucket) {
	if d := now - b.updated; d > 0 {
		b.level = min(b.workspace.Burst, b.level+b.workspace.Rate*l.share*d.Seconds())
		b.updated = now
	}
}

// Take takes n from a workspace's bucket, in requests or tokens, whichever the allowance
// counts. It succeeds while the level is above 0, so one request may take it below 0.
// Otherwise it reports false and the time after which the bucket would hold n at the
// present rate, taken to be at least 1 a second. A workspace without an allowance is never
// refused.
func (l *Limiter) Take(now time.Duration, workspace string, n float64) (wait time.Duration, ok bool) {
	b := l.buckets[l.hash(workspace)]
	if b == nil {
		return 0, true
	}
	if b.workspace.Rate <= 0 {
		return 0, true
	}
	l.fill(now, b)
	if b.level <= 0 {
		r := max(b.workspace.Rate*l.share, 1)
		return time.Duration((n - b.level) / r * float64(time.Second)), false
	}
	b.level -= n
	b.used += n
	return 0, true
}

// Refund puts back n that was taken for a request which did not run.
func (l *Limiter) Refund(workspace string, n float64) {
	if b := l.buckets[l.hash(workspace)]; b != nil && b.workspace.Rate > 0 {
		b.level = min(b.workspace.Burst, b.level+n)
		b.used -= n
	}
}

// Observe records the usage that a peer's heartbeat reports and charges its growth since
// the peer's previous heartbeat. The usage in a peer's first heartbeat, or in one that
// comes more than StaleAfter after the previous one, is not charged: it is from a time in
// which this front did not count the peer as live. There are two special cases:
//
//   - If started is true, the peer has started recently. All of its usage is charged, as
//     all of it is recent.
//   - If started is false and the peer reports for the first time, then it may be this
//     front that has just started, with a full bucket. The level is lowered to the peer's
//     level.
func (l *Limiter) Observe(now time.Duration, peer string, incarnation uint64, started bool, us Uses) {
	p := l.peers[peer]
	charged := started || (p != nil && now-p.received <= StaleAfter)
	first := p == nil
	switch {
	case p == nil:
		p = &peerUsage{incarnation: incarnation, uses: Uses{}}
		l.peers[peer] = p
	case p.incarnation != incarnation:
		p.incarnation, p.uses = incarnation, Uses{}
	}
	p.received = now
	for h, u := range us {
		b := l.buckets[h]
		switch {
		case b == nil:
		case charged:
			l.fill(now, b)
			b.level = min(b.workspace.Burst, b.level-(u.Used-p.uses[h].Used))
		case first:
			l.fill(now, b)
			b.level = min(b.level, u.Level)
		}
		p.uses[h] = u
	}
}

// Uses returns this front's own usage and bucket levels, for its heartbeats.
// Workspaces without an allowance are left out.
func (l *Limiter) Uses(now time.Duration) Uses {
	us := Uses{}
	for h, b := range l.buckets {
		if b.workspace.Rate > 0 {
			l.fill(now, b)
			us[h] = Use{Used: b.used, Level: b.level}
		}
	}
	return us
}

// State is the state of a workspace's bucket, for logs.
type State struct {
	// Level is what the bucket holds.
	Level float64
	// Rate (a second) and Burst are the allowance over all fronts. Share is the fraction
	// of the rate that fills the bucket of this front, from 0 to 1.
	Rate, Burst, Share float64
}

// State returns the state of a workspace's bucket, or the zero State if the workspace
// is unknown.
func (l *Limiter) State(now time.Duration, workspace string) State {
	b := l.buckets[l.hash(workspace)]
	if b == nil {
		return State{}
	}
	l.fill(now, b)
	return State{Level: b.level, Rate: b.workspace.Rate, Burst: b.workspace.Burst, Share: l.share}
}
