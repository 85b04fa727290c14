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
// Revisions order what others write; a target orders its own reports. What a target has reported
// is not undone by an older copy of its entry: a process that leaves keeps leaving, one that has
// ended is not used again, and an earlier process under the same id doesn't replace a later one.
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

	"github.com/hashicorp/golang-lru/v2/simplelru"
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
	// era is that of the platform's store in which the entry was listed last, or was found missing.
	era uint64
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
	// ended are the processes that were removed, by ID, and doubts the listed entries that are not used,
	// as they may be of such processes.
	ended  *simplelru.LRU[string, ended]
	doubts map[string]doubt
	// outdated are entries for TakeOutdated.
	outdated []*spec.Replica
}

// New returns an empty list at revision 0.
func New() *List {
	// It fails only if the size is not positive.
	g, _ := simplelru.NewLRU[string, ended](maxEnded, nil)
	return &List{records: map[string]*record{}, ended: g, doubts: map[string]doubt{}}
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
	newer := as.after(l.as)
	if l.unknown {
		newer = !l.seen.after(as) // changes up to there don't come again
	}
	if !unknown && !newer {
		return false // the revision is one of an earlier era, or this list was read after it
	}
	restored := l.enterEra(now, d.Era)
	l.as, l.unknown, l.copied = as, unknown, 0
	if as.era == l.seen.era {
		l.copied = as.revision
	}
	l.confirmed = max(l.confirmed, now-age)
	listed := map[string]bool{}
	for _, r := range d.Replicas { // an entry in doubt may come beside that of a later process
		listed[r.Id] = l.putPeer(now, d.Era, r) || listed[r.Id]
	}
	for id := range l.records {
		switch {
		case listed[id]:
		case restored:
			l.drop(now, id)
			l.markFromPeer(id)
		default:
			l.end(id)
		}
	}
	l.dropDoubts(d)
	return true
}

// putPeer applies an entry of a peer's list, and reports whether the target is listed.
func (l *List) putPeer(now time.Duration, era uint64, r *spec.Replica) bool {
	if e := l.records[r.Id]; e != nil && r.Version == "" && r.Born == e.replica.Born {
		r.Version = e.replica.Version // a peer of an earlier build doesn't know it
	}
	if r.WithheldMs > 0 {
		if e := l.records[r.Id]; e != nil && !e.missing && processOf(e.replica).same(r) {
			return true
		}
		l.doubts[r.Id] = doubt{r, era, now + time.Duration(r.WithheldMs)*time.Millisecond}
		return false
	}
	if !l.put(now, era, r) {
		if r.VanishedMs > 0 {
			delete(l.doubts, r.Id) // the platform doesn't list it
		}
		return false
	}
	if r.VanishedMs > 0 {
		e := l.records[r.Id]
		e.missing, e.fromPeer, e.until = true, true, now+time.Duration(r.VanishedMs)*time.Millisecond
	}
	return true
}

// markFromPeer marks a target as missing in a peer's list, if it is missing.
func (l *List) markFromPeer(id string) {
	if e := l.records[id]; e != nil {
		e.fromPeer = e.missing
	}
}

// enterEra notes the era of a list, and reports whether the store was restored before it. Such a store lacks what was
// written in the last seconds, so that targets whose entries are missing are kept as after an outage.
func (l *List) enterEra(now time.Duration, era uint64) bool {
	if l.revision == 0 || era <= max(l.as.era, l.seen.era) {
		return false
	}
	l.settled = max(l.settled, now+OutageGrace)
	return true
}

// apply applies a full list from the platform.
func (l *List) apply(now time.Duration, d *spec.Directory) {
	l.enterEra(now, d.Era)
	listed := map[string]bool{}
	for _, r := range d.Replicas {
		listed[r.Id] = l.put(now, d.Era, r)
	}
	l.revision = max(l.revision, d.Revision)
	l.as, l.unknown, l.copied = stamp{d.Era, max(d.Complete, d.Revision)}, false, 0
	l.seen = l.as
	for id := range l.records {
		if !listed[id] {
			l.drop(now, id)
		}
	}
	l.dropDoubts(d)
}

// dropDoubts drops the doubtful entries that a full list lacks.
func (l *List) dropDoubts(d *spec.Directory) {
	if len(l.doubts) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, r := range d.Replicas {
		listed[r.Id] = true
	}
	for id := range l.doubts {
		if !listed[id] {
			delete(l.doubts, id)
		}
	}
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

// Put adds or replaces one target. That a process leaves holds also if the list has later changes already.
func (l *List) Put(now time.Duration, revision uint64, r *spec.Replica) {
	if !l.changed(now, revision) {
		if e := l.records[r.Id]; e != nil && processOf(e.replica).same(r) {
			e.replica = withLeaving(e.replica, r.Leaving)
		}
		return
	}
	if !l.put(now, l.seen.era, r) {
		l.drop(now, r.Id) // the entry of an earlier process has replaced it
	}
}

// Delete applies the removal of one entry. The target is kept for a grace period unless
// it announced that it is leaving.
func (l *List) Delete(now time.Duration, revision uint64, id string) {
	if l.changed(now, revision) {
		delete(l.doubts, id)
		l.drop(now, id)
	}
}

// drop removes a target that is leaving and marks any other as missing.
func (l *List) drop(now time.Duration, id string) {
	e, ok := l.records[id]
	if !ok {
		return
	}
	e.era = max(e.era, l.as.era, l.seen.era)
	if e.replica.Leaving {
		l.end(id)
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
	delete(l.doubts, id)
	_, known := l.records[id]
	if known {
		l.end(id)
	}
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
	l.settleDoubts()
	var rs []*spec.Replica
	for id, e := range l.records {
		if l.expired(e, now) {
			l.end(id)
			continue
		}
		rs = append(rs, e.replica)
	}
	sort.Slice(rs, func(i, j int) bool { return rs[i].Id < rs[j].Id })
	return rs
}

// Directory returns the list for a peer. Missing targets are marked with the time until
// they are removed, in milliseconds; during an outage, that is OutageGrace. Doubtful entries are marked
// with the time until they are used.
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
	for _, q := range l.doubts {
		c := proto.CloneOf(q.replica)
		c.WithheldMs = uint32(max(1, (q.until - now).Milliseconds()))
		d.Replicas = append(d.Replicas, c)
	}
	return d
}
