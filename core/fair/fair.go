// Package fair decides which workspaces use more than their share of the slots.
//
// The workspaces of a tier share the slots in proportion to their weights, which are the rates of
// their allowances. Every front measures the recent use of each workspace in the whole fleet: its
// own, and that of its peers, whose heartbeats carry running totals. The use of a workspace
// divided by its weight is its level. A workspace is over its share while its level is more than a
// quarter above the mean level of the other workspaces of its tier that used anything in the last
// window. Differences below that are chance.
//
// In that mean, each workspace counts by what it used: it is the level at which the average unit of
// use was served. With a plain mean, workspaces that are nearly idle would put all others over their
// share, and the one that takes the slots would be treated like them.
//
// Levels are also divided into steps, by which a front orders the requests of workspaces that are
// on the same side of their share. So those that always have requests get the same use for
// their weight, whatever the others do.
//
// Shares only order requests. What a workspace doesn't use is available to the others, and a
// workspace over its share gets every slot that nobody else waits for.
//
// # Use in the fleet
//
// Use is measured as the allowances count it: in requests or tokens, charged when a request is
// admitted, and refunded if it doesn't run. The use that a heartbeat adds is spread evenly over
// the time since the previous one of the same peer. What a peer used while its heartbeats were lost is
// therefore counted with the next one, as far as it belongs to the last window. Refunds are
// taken from the latest use. A peer that restarts counts from zero, and all of its use since is
// charged. The first heartbeat of a peer that has been running for long charges nothing, as its
// total may be of any age.
//
// # Weights
//
// A workspace without an allowance has the mean weight of the workspaces of its tier whose
// allowances count in the same unit. If there are none, it can't be compared, and is never over its
// share. Workspaces with allowances in different units are compared by their levels, which are
// seconds of allowance in either unit. In a tier without any allowance all weights are equal, if all
// workspaces count in the same unit.
//
// A workspace without a rank belongs to every tier, with all of its use, as heartbeats don't divide
// use by tier.
//
// # Usage
//
//	t := fair.New(pool.Hash, quota.DefaultWindow)
//	t.Configure(workspaces)
//	t.Observe(now, "192.0.2.7:7600", quota.Report{Incarnation: 3, Uses: uses})
//	over, step := t.Shares(now).Standing(tierRank, pool.Hash("workspace"))
package fair

import (
	"time"

	"kingcupstand/core/plan"
	"kingcupstand/core/quota"
)

// evictAfter is how long the totals of a front are kept after its last heartbeat. Membership
// drops a peer after the same time.
const evictAfter = 2 * time.Minute

// source holds the totals that one front has last reported.
type source struct {
	incarnation uint64
	received    time.Duration
	used        map[uint32]float64
}

// Table measures the use of the workspaces as known to one front. It is not safe for concurrent
// use.
type Table struct {
	hash   func(string) uint32
	window time.Duration
	// recent holds the use of each workspace in the fleet.
	recent  map[uint32]*ring
	sources map[string]*source
	tiers   tiers
}

// New returns a Table without workspaces. Use is measured over windows of the given length, which
// must be above 0. Heartbeats identify workspaces by the hash of their name, which must be the
// same function at all fronts.
func New(hash func(string) uint32, window time.Duration) *Table {
	return &Table{hash: hash, window: window, recent: map[uint32]*ring{}, sources: map[string]*source{}}
}

// Configure replaces the workspaces. Those that stay keep their use.
func (t *Table) Configure(ws []*plan.Workspace) {
	old := t.recent
	t.recent = map[uint32]*ring{}
	for _, w := range ws {
		h := t.hash(w.Name)
		if t.recent[h] = old[h]; t.recent[h] == nil {
			t.recent[h] = newRing(t.window)
		}
	}
	t.tiers = newTiers(t.hash, ws)
}

// Enabled reports whether any tier has at least two workspaces with allowances.
func (t *Table) Enabled() bool { return t.tiers.enabled }

// Observe records the totals that a front reports: a peer with its heartbeat, or this front its own.
func (t *Table) Observe(now time.Duration, front string, r quota.Report) {
	s := t.sources[front]
	if s == nil {
		t.evict(now)
		s = &source{incarnation: r.Incarnation, received: now}
		t.sources[front] = s
	}
	charged := s.used != nil || r.Started
	if s.used == nil || s.incarnation != r.Incarnation {
		s.incarnation, s.used = r.Incarnation, make(map[uint32]float64, len(r.Uses))
	}
	for h, u := range r.Uses {
		if a := t.recent[h]; a != nil && charged {
			a.add(s.received, now, u.Used-s.used[h])
		}
		s.used[h] = u.Used
	}
	s.received = now
}

// evict drops the fronts whose last heartbeat is older than evictAfter.
func (t *Table) evict(now time.Duration) {
	for f, s := range t.sources {
		if now-s.received > evictAfter {
			delete(t.sources, f)
		}
	}
}

// Shares returns the shares as of now. It returns the zero value unless Enabled.
func (t *Table) Shares(now time.Duration) Shares {
	if !t.tiers.enabled {
		return Shares{}
	}
	uses := make(map[uint32]float64, len(t.recent))
	for h, a := range t.recent {
		uses[h] = a.sum(now)
	}
	return t.tiers.shares(uses)
}
