// Package quota holds workspaces to allowances that all fronts share, without a
// place that counts for all of them.
//
// # Usage
//
//	q := quota.New()
//	q.Configure(workspaces)
//	wait, ok := q.Take(now, "workspace", 1500)
//	q.Hear(now, "192.0.2.7:7600", incarnation, false, uses)
//	q.Reachable(4, 5)
//
// Each front keeps a token bucket for a workspace that everybody's use drains:
// its own at once, the others' as their beats come. Fronts that are silent may be
// serving on the far side of a partition, so the bucket then fills only at the
// part of the rate that belongs to the fronts that are heard. The sides' rates
// never add up to more than the allowance.
package quota

import (
	"time"

	"kingcupstand/core/plan"
)

// Use is what a front says of one workspace.
type Use struct {
	// Used counts what the front has used since it started.
	Used float64
	// Level is what is left of the allowance by the front's own count.
	Level float64
}

// Uses are a front's uses by workspace.
type Uses map[uint32]Use

type bucket struct {
	workspace *plan.Workspace
	level     float64
	at        time.Duration
	used      float64
}

// life is what a peer's counters counted up to.
type life struct {
	incarnation uint64
	uses        Uses
	heard       time.Duration
}

// StaleAfter is the silence after which a peer's use is not charged any more: the part of
// the rate that belongs to it was kept free meanwhile. It is as long as peers count
// as heard.
const StaleAfter = 1200 * time.Millisecond

// Limiter is a front's view of all allowances. It is not safe for concurrent use.
type Limiter struct {
	buckets map[uint32]*bucket
	peers   map[string]*life
	// part of the rate that fills the buckets here, from 0 to 1.
	part float64
	hash func(string) uint32
}

// New returns a Quota without allowances. Hash names workspaces in beats.
func New(hash func(string) uint32) *Limiter {
	return &Limiter{buckets: map[uint32]*bucket{}, peers: map[string]*life{}, part: 1, hash: hash}
}

// Configure sets the allowances. Levels of workspaces that stay are kept.
func (q *Limiter) Configure(now time.Duration, ws []*plan.Workspace) {
	old := q.buckets
	q.buckets = map[uint32]*bucket{}
	for _, w := range ws {
		h := q.hash(w.Name)
		b := old[h]
		if b == nil {
			b = &bucket{level: w.Burst}
		} else {
			q.fill(now, b)
		}
		b.workspace, b.at = w, now
		b.level = min(b.level, w.Burst)
		q.buckets[h] = b
	}
}

// SetFronts says how many fronts are heard, this one included, of how many that
// may be serving.
func (q *Limiter) SetFronts(now time.Duration, heard, all int) {
	p := 1.0
	if all > 0 {
		p = float64(heard) / float64(all)
	}
	if p == q.part {
		return
	}
	for _, b := range q.buckets {
		q.fill(now, b)
	}
	q.part = p
}

func (q *Limiter) fill(now time.Duration, b *bucket) {
	if d := now - b.at; d > 0 {
		b.level = min(b.workspace.Burst, b.level+b.workspace.Rate*q.part*d.Seconds())
		b.at = now
	}
}

// Take uses n of an allowance. If nothing is left it reports false, and after how
// long there will be something.
func (q *Limiter) Take(now time.Duration, workspace string, n float64) (wait time.Duration, ok bool) {
	b := q.buckets[q.hash(workspace)]
	if b == nil {
		return 0, true
	}
	if b.workspace.Rate <= 0 {
		return 0, true
	}
	q.fill(now, b)
	if b.level <= 0 {
		r := max(b.workspace.Rate*q.part, 1)
		return time.Duration((n - b.level) / r * float64(time.Second)), false
	}
	b.level -= n
	b.used += n
	return 0, true
}

// Refund gives back what a request took that has not run.
func (q *Limiter) Refund(workspace string, n float64) {
	if b := q.buckets[q.hash(workspace)]; b != nil && b.workspace.Rate > 0 {
		b.level = min(b.workspace.Burst, b.level+n)
		b.used -= n
	}
}

// Observe takes what a peer has used since it started. Only what it used between two
// beats is charged: a first beat, or one after a gap, tells of a time in which this
// front did not count on it. A young peer has started just now, so that all it has
// used is charged. A front that has just started itself has a full bucket, which an
// older peer's count corrects when it is first heard.
func (q *Limiter) Observe(now time.Duration, peer string, incarnation uint64, young bool, us Uses) {
	l := q.peers[peer]
	charged := young || (l != nil && now-l.heard <= StaleAfter)
	first := l == nil
	switch {
	case l == nil:
		l = &life{incarnation: incarnation, uses: Uses{}}
		q.peers[peer] = l
	case l.incarnation != incarnation:
		l.incarnation, l.uses = incarnation, Uses{}
	}
	l.heard = now
	for h, u := range us {
		b := q.buckets[h]
		switch {
		case b == nil:
		case charged:
			q.fill(now, b)
			b.level = min(b.workspace.Burst, b.level-(u.Used-l.uses[h].Used))
		case first:
			q.fill(now, b)
			b.level = min(b.level, u.Level)
		}
		l.uses[h] = u
	}
}

// Uses returns what this front has used since it started, and what it believes is
// left, for peers.
func (q *Limiter) Uses(now time.Duration) Uses {
	us := Uses{}
	for h, b := range q.buckets {
		if b.workspace.Rate > 0 {
			q.fill(now, b)
			us[h] = Use{Used: b.used, Level: b.level}
		}
	}
	return us
}

// State is what a decision about a workspace follows from.
type State struct {
	// Level is what is left of the allowance.
	Level float64
	// Rate and Burst are the allowance of all fronts together, and Part is the part of
	// the rate that fills the bucket here.
	Rate, Burst, Share float64
}

// State returns what a decision about a workspace follows from.
func (q *Limiter) State(now time.Duration, workspace string) State {
	b := q.buckets[q.hash(workspace)]
	if b == nil {
		return State{}
	}
	q.fill(now, b)
	return State{Level: b.level, Rate: b.workspace.Rate, Burst: b.workspace.Burst, Share: q.part}
}
