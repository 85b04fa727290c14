// Package roster holds the targets that a front knows, as the platform's directory and
// other fronts report them.
//
// The platform's entries expire unless the targets renew them, also while the platform
// is down or can't be reached. A missing entry therefore doesn't always mean that the
// target has gone:
//
//   - A target that announced that it is leaving is removed with its entry.
//   - While the platform is reachable, a target whose entry goes missing without that
//     announcement is kept for MissingGrace.
//   - While the platform is unreachable, no target is removed, unless a newer list from a
//     peer lacks it or has marked it as missing.
//   - When the platform returns, targets whose entries are missing are kept for
//     OutageGrace, as live targets renew their entries in that time.
//
// A newer list from a peer replaces this front's. It marks the targets that are missing
// and gives the time until the peer removes them. Changes that it has already are passed
// over when the platform reports them to this front. The store may be restored from an
// older copy and give out revisions again, so they are compared within an era only.
//
// # Usage
//
//	l := roster.New()
//	l.ApplySnapshot(now, directory) // the platform's full list
//	l.Put(now, revision, replica)   // one change
//	l.Delete(now, revision, id)
//	l.PlatformDown()                // the platform stopped responding
//	for _, r := range l.Replicas(now) { ... }
package roster

import (
	"cmp"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/spec"
)

// MissingGrace is how long a target is kept whose entry went missing without notice while
// the platform was reachable. The entry may have expired and may come back; if the target
// is live, its process runs for longer than this and can serve meanwhile. No request may
// reach a target 2 s or more after it left.
const MissingGrace = 1200 * time.Millisecond

// OutageGrace is how long targets whose entries are missing are kept after an outage of
// the platform. Platforms promise that live targets are listed again within about 2 s.
// OutageGrace is a little shorter, as a target may leave just as the platform returns,
// and no request may reach it 2 s or more after that.
const OutageGrace = 1750 * time.Millisecond

type record struct {
	replica *spec.Replica
	// missing is set while the platform no longer lists the target.
	missing bool
	// until is when a missing target is removed.
	until time.Duration
	// fromPeer is true if a peer marked the target as missing. It is then removed also
	// while the platform is unreachable from here.
	fromPeer bool
}

// expired reports whether a missing target is to be removed by now.
func (l *List) expired(e *record, now time.Duration) bool {
	return e.missing && (e.fromPeer || !l.unreachable) && now >= e.until
}

// stamp is a position in the platform's changes: a list as of a stamp has all of them.
type stamp struct {
	// era is the number of times that the platform's store was restored from an older copy.
	// Revisions of different eras can't be compared.
	era, revision uint64
}

// after reports whether s is later than o.
func (s stamp) after(o stamp) bool {
	return cmp.Or(cmp.Compare(s.era, o.era), cmp.Compare(s.revision, o.revision)) > 0
}

// List holds the targets that are known. It keeps the replicas that it is given, which
// must not be changed afterwards. It is not safe for concurrent use.
type List struct {
	revision uint64
	// as is what the list is as of. That isn't known of lists of peers of earlier builds.
	as      stamp
	unknown bool
	// seen is up to where the platform has reported all changes to this front: its era is that of
	// the last full list.
	seen stamp
	// copied is the revision of that era up to which a peer's list has brought all changes.
	copied      uint64
	records     map[string]*record
	unreachable bool
	// settled is the end of the grace period after the last outage.
	settled time.Duration
	// confirmed is when the platform last confirmed the list.
	confirmed time.Duration
}

// New returns an empty list at revision 0.
func New() *List {
	return &List{records: map[string]*record{}}
}

// Revision returns the platform's revision of the list, or 0 for none.
func (l *List) Revision() uint64 { return l.revision }

// Age returns the time since the platform last confirmed the list, to this front or to
// the peer that the list is from.
func (l *List) Age(now time.Duration) time.Duration { return now - l.confirmed }

// PlatformDown notes that the platform has stopped responding. Any later change or
// confirmation from the platform ends the outage.
func (l *List) PlatformDown() { l.unreachable = true }

// reached notes that the platform has responded. If that ends an outage, OutageGrace
// begins, unless the list was confirmed within the last MissingGrace. Then the outage was
// that short, or a peer's list has shown that the platform was back already and only
// unreachable from here.
func (l *List) reached(now time.Duration) {
	if l.unreachable {
		l.unreachable = false
		if l.Age(now) > MissingGrace {
			l.settled = now + OutageGrace
		}
		for _, e := range l.records {
			if e.missing && !e.fromPeer {
				e.until = max(now, e.until, l.settled)
			}
		}
	}
	l.confirmed = now
}

// Confirm notes that the platform has responded and has no change.
func (l *List) Confirm(now time.Duration) { l.reached(now) }

// ApplySnapshot applies the platform's full list. Targets that it lacks become missing.
func (l *List) ApplySnapshot(now time.Duration, d *spec.Directory) {
	l.reached(now)
	l.apply(now, d)
}

// AdoptPeer replaces the list by a peer's if the peer's has a higher revision, and
// reports whether it has. Age is the time since the platform confirmed the peer's list.
func (l *List) AdoptPeer(now, age time.Duration, d *spec.Directory) bool {
	if d.Revision <= l.revision {
		return false
	}
	l.revision = d.Revision
	as, unknown := stamp{d.Era, d.Complete}, d.Complete == 0
	later := as.after(l.as)
	if l.unknown {
		later = !l.seen.after(as) // changes up to there don't come again
	}
	if !unknown && !later {
		return false // the revision is one of an earlier era, or this list was read after it
	}
	l.as, l.unknown, l.copied = as, unknown, 0
	if as.era == l.seen.era {
		l.copied = as.revision
	}
	l.confirmed = max(l.confirmed, now-age)
	old := l.records
	l.records = map[string]*record{}
	for _, r := range d.Replicas {
		if e := old[r.Id]; e != nil && r.Version == "" {
			r.Version = e.replica.Version // a peer of an earlier build doesn't know it
		}
		l.put(r)
		if r.VanishedMs > 0 {
			e := l.records[r.Id]
			e.missing, e.fromPeer, e.until = true, true, now+time.Duration(r.VanishedMs)*time.Millisecond
		}
	}
	return true
}

// apply applies a full list from the platform.
func (l *List) apply(now time.Duration, d *spec.Directory) {
	seen := map[string]bool{}
	for _, r := range d.Replicas {
		seen[r.Id] = true
		l.put(r)
	}
	for id := range l.records {
		if !seen[id] {
			l.drop(now, id)
		}
	}
	l.revision = max(l.revision, d.Revision)
	l.as, l.unknown, l.copied = stamp{d.Era, max(d.Complete, d.Revision)}, false, 0
	l.seen = l.as
}

// changed notes that the platform has reported a change, and reports whether the list lacks it.
// It counts as lacking a change whose revision isn't known (0).
func (l *List) changed(now time.Duration, revision uint64) bool {
	l.reached(now)
	l.revision = max(l.revision, revision)
	l.seen.revision = max(l.seen.revision, revision)
	if l.unknown || l.as.era != l.seen.era {
		l.as, l.unknown = stamp{}, true
	} else {
		l.as.revision = max(l.as.revision, revision)
	}
	return revision == 0 || revision > l.copied
}

// Put adds or replaces one target.
func (l *List) Put(now time.Duration, revision uint64, r *spec.Replica) {
	if l.changed(now, revision) {
		l.put(r)
	}
}

func (l *List) put(r *spec.Replica) { l.records[r.Id] = &record{replica: r} }

// Delete applies the removal of one entry. The target is kept for a grace period unless
// it announced that it is leaving.
func (l *List) Delete(now time.Duration, revision uint64, id string) {
	if l.changed(now, revision) {
		l.drop(now, id)
	}
}

// drop removes a target that is leaving and marks any other as missing.
func (l *List) drop(now time.Duration, id string) {
	e, ok := l.records[id]
	if !ok {
		return
	}
	if e.replica.Leaving {
		delete(l.records, id)
		return
	}
	if !e.missing {
		e.missing, e.until = true, max(now+MissingGrace, l.settled)
	}
}

// PutInvalid applies an entry whose value can't be decoded: the target is removed at
// once. It reports whether the target was known.
func (l *List) PutInvalid(now time.Duration, revision uint64, id string) bool {
	if !l.changed(now, revision) {
		return false
	}
	_, known := l.records[id]
	delete(l.records, id)
	return known
}

// NextExpiry returns when the next missing target is removed. It reports false if none
// will be without a further change from the platform or a peer.
func (l *List) NextExpiry() (at time.Duration, ok bool) {
	for _, e := range l.records {
		if e.missing && (e.fromPeer || !l.unreachable) && (!ok || e.until < at) {
			at, ok = e.until, true
		}
	}
	return at, ok
}

// Replicas returns the targets to use, sorted by id, including missing ones that are
// kept for now. Callers must not change them.
func (l *List) Replicas(now time.Duration) []*spec.Replica {
	var rs []*spec.Replica
	for id, e := range l.records {
		if l.expired(e, now) {
			delete(l.records, id)
			continue
		}
		rs = append(rs, e.replica)
	}
	sort.Slice(rs, func(i, j int) bool { return rs[i].Id < rs[j].Id })
	return rs
}

// Directory returns the list for a peer. Missing targets are marked with the time until
// they are removed, in milliseconds; during an outage, that is OutageGrace.
func (l *List) Directory(now time.Duration) *spec.Directory {
	d := &spec.Directory{Revision: l.revision, Era: l.as.era, Complete: l.as.revision}
	for _, r := range l.Replicas(now) {
		c := proto.CloneOf(r)
		c.VanishedMs = 0
		if e := l.records[r.Id]; e.missing {
			left := e.until - now
			if l.unreachable {
				left = OutageGrace
			}
			c.VanishedMs = uint32(max(1, left.Milliseconds()))
		}
		d.Replicas = append(d.Replicas, c)
	}
	return d
}
