// Package roster is a front's belief about which targets exist, from a platform
// whose entries lapse, also while the platform itself can't be reached.
//
// # Usage
//
//	b := list.New()
//	b.Lost(now)                   // the platform stopped answering
//	b.Whole(now, directory)       // a full list
//	b.Put(now, revision, replica) // one change
//	b.Gone(now, revision, id)
//	for _, r := range b.Replicas(now) { ... }
//
// A target that vanishes from the list is gone at once while the platform is
// sound. Around an outage its entry may only have lapsed, so the target is kept
// until Settle has passed since the platform's return.
package roster

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/spec"
)

// MissingGrace is how long a target is kept that vanished without notice while the
// platform was sound. Its process goes on for longer than that if it lives, and a
// lapsed entry may come back; work must not reach it 2 s after it left.
const MissingGrace = 1200 * time.Millisecond

// OutageGrace is how long after an outage of the platform lapsed entries may take to
// come back. Platforms promise about 2 s; a little less is waited, as a target may
// leave just as the platform returns, and work must not reach it 2 s later.
const OutageGrace = 1750 * time.Millisecond

type entry struct {
	replica *spec.Replica
	// missing is set while the platform no longer lists the target.
	missing bool
	// until is when a missing target is given up.
	until time.Duration
	// firm is true if a peer said so, which holds while the platform is lost here.
	firm bool
}

// over reports whether a missing target is to be given up by now.
func (l *List) over(e *entry, now time.Duration) bool {
	return e.missing && (e.firm || !l.lost) && now >= e.until
}

// List is the belief. It is not safe for concurrent use.
type List struct {
	revision uint64
	entries  map[string]*entry
	lost     bool
	// settled is when missing entries count as gone at once again.
	settled time.Duration
	// fresh is when the platform last confirmed the list.
	fresh time.Duration
}

// New returns an empty list that has never heard of the platform.
func New() *List {
	return &List{entries: map[string]*entry{}}
}

// Revision returns the platform's revision of the list.
func (l *List) Revision() uint64 { return l.revision }

// Age returns how long ago the list was last confirmed.
func (l *List) Age(now time.Duration) time.Duration { return now - l.fresh }

// PlatformDown notes that the platform doesn't answer.
func (l *List) PlatformDown() { l.lost = true }

// found notes that the platform has answered. If a peer's list was confirmed just
// before, the outage was over already.
func (l *List) found(now time.Duration) {
	if l.lost {
		l.lost = false
		if l.Age(now) > MissingGrace {
			l.settled = now + OutageGrace
		}
		for _, e := range l.entries {
			if e.missing && !e.firm {
				e.until = max(now, l.settled)
			}
		}
	}
	l.fresh = now
}

// Confirm notes that the platform has answered and what is held is current.
func (l *List) Confirm(now time.Duration) { l.found(now) }

// ApplySnapshot takes the platform's full list.
func (l *List) ApplySnapshot(now time.Duration, d *spec.Directory) {
	l.found(now)
	l.take(now, d)
}

// AdoptPeer takes a peer's list, which is age old, if it is newer than what is held.
// It reports whether it was.
func (l *List) AdoptPeer(now, age time.Duration, d *spec.Directory) bool {
	if d.Revision <= l.revision {
		return false
	}
	l.fresh = max(l.fresh, now-age)
	l.entries = map[string]*entry{}
	for _, r := range d.Replicas {
		l.put(r)
		if r.VanishedMs > 0 {
			e := l.entries[r.Id]
			e.missing, e.firm, e.until = true, true, now+time.Duration(r.VanishedMs)*time.Millisecond
		}
	}
	l.revision = d.Revision
	return true
}

func (l *List) take(now time.Duration, d *spec.Directory) {
	seen := map[string]bool{}
	for _, r := range d.Replicas {
		seen[r.Id] = true
		l.put(r)
	}
	for id := range l.entries {
		if !seen[id] {
			l.drop(now, id)
		}
	}
	l.revision = max(l.revision, d.Revision)
}

// Put takes one entry.
func (l *List) Put(now time.Duration, revision uint64, r *spec.Replica) {
	l.found(now)
	l.put(r)
	l.revision = max(l.revision, revision)
}

func (l *List) put(r *spec.Replica) { l.entries[r.Id] = &entry{replica: r} }

// Delete takes the removal of one entry.
func (l *List) Delete(now time.Duration, revision uint64, id string) {
	l.found(now)
	l.drop(now, id)
	l.revision = max(l.revision, revision)
}

func (l *List) drop(now time.Duration, id string) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if e.replica.Leaving {
		delete(l.entries, id)
		return
	}
	if !e.missing {
		e.missing, e.until = true, max(now+MissingGrace, l.settled)
	}
}

// PutInvalid notes an entry whose value can't be used; it names no target.
func (l *List) PutInvalid(now time.Duration, revision uint64, id string) {
	l.found(now)
	delete(l.entries, id)
	l.revision = max(l.revision, revision)
}

// NextExpiry returns when Replicas changes by time alone, if it does.
func (l *List) NextExpiry() (at time.Duration, ok bool) {
	for _, e := range l.entries {
		if e.missing && (e.firm || !l.lost) && (!ok || e.until < at) {
			at, ok = e.until, true
		}
	}
	return at, ok
}

// Replicas returns the targets that are believed to exist, sorted by id.
func (l *List) Replicas(now time.Duration) []*spec.Replica {
	var rs []*spec.Replica
	for id, e := range l.entries {
		if l.over(e, now) {
			delete(l.entries, id)
			continue
		}
		rs = append(rs, e.replica)
	}
	sort.Slice(rs, func(i, j int) bool { return rs[i].Id < rs[j].Id })
	return rs
}

// Directory returns the list for a peer, with what has vanished marked so.
func (l *List) Directory(now time.Duration) *spec.Directory {
	d := &spec.Directory{Revision: l.revision}
	for _, r := range l.Replicas(now) {
		c := proto.CloneOf(r)
		c.VanishedMs = 0
		if e := l.entries[r.Id]; e.missing {
			left := e.until - now
			if l.lost {
				left = OutageGrace
			}
			c.VanishedMs = uint32(max(1, left.Milliseconds()))
		}
		d.Replicas = append(d.Replicas, c)
	}
	return d
}
