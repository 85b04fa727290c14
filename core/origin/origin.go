// Package origin remembers which version of a target's software began each stream that
// callers may resume. What two versions write doesn't fit together, so a stream may go on only
// at the version that began it, also at another front, and after the front that began it is
// gone.
//
// A front records a stream when its first event arrives, and tells a few peers with its next
// heartbeats: the keepers of the stream, which any front can compute from the stream's id. A
// front that is asked to resume a stream that it has no record of asks the keepers. Records
// are dropped some time after their last use, and are lost if the front and all keepers are.
//
// Without a record the origin is still certain if targets of only one version can have been
// used since the stream began, or for as long as records are kept if it isn't known when it
// began. A front uses a target for up to ListLag after it is no longer listed. Otherwise the
// stream can't go on.
//
// # Usage
//
//	t := origin.New()
//	t.SetVersions(now, map[string][]string{"chat": {"v1", "v2"}})
//	t.Add(now, origin.ID("attempt-1"), origin.Origin{Service: "chat", Version: "v1"})
//	for _, s := range t.Unreported() { ... }
//	o, ok := t.Find(now, origin.ID("attempt-1"))
//	v, ok := t.Only(now, "chat", 8*time.Second)
package origin

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinKeep is the shortest time for which a record is kept after its last use.
	MinKeep = 30 * time.Second
	// maxRecords bounds the memory: the oldest records are dropped.
	maxRecords = 1 << 16
	// reports is how many heartbeats a record is reported in, as single ones get lost.
	reports = 2
	// ListLag is how much older than the platform's list the list may be by which a front uses
	// targets.
	ListLag = 5 * time.Second
	// versionsKept is how long versions are remembered that are no longer listed. Streams that
	// can have begun earlier are of unknown origin.
	versionsKept = 10 * time.Minute
)

// Origin is what began a stream.
type Origin struct {
	Service string
	Version string
}

// ID returns the hash that stands for the id of the request that brought a stream's first
// event.
func ID(request string) uint64 { return xxhash.Sum64String(request) }

// Stream is a stream and its origin.
type Stream struct {
	ID uint64
	Origin
}

// record is the record of a stream.
type record struct {
	origin Origin
	used   time.Duration
}

// use is a place in the order in which records were used.
type use struct {
	id uint64
	at time.Duration
}

// version is the time for which a version of a service has been listed.
type version struct {
	listed bool
	// last is when it was last listed, if it no longer is.
	last time.Duration
}

// service is what is known of the versions of a service.
type service struct {
	// since is since when the list of targets has been known without interruption.
	since    time.Duration
	versions map[string]version
}

// listed reports whether any target of the service is listed.
func (s *service) listed() bool {
	for _, v := range s.versions {
		if v.listed {
			return true
		}
	}
	return false
}

// unreported is a record that peers are still to be told.
type unreported struct {
	Stream
	left int
}

// Table holds the records of one front. It is not safe for concurrent use.
type Table struct {
	keep       time.Duration
	records    map[uint64]record
	uses       []use // oldest first; a use is outdated if the record was used again
	unreported []unreported
	services   map[string]*service
}

// New returns an empty Table that keeps records for MinKeep.
func New() *Table {
	return &Table{keep: MinKeep, records: map[uint64]record{}, services: map[string]*service{}}
}

// SetKeep sets how long records are kept after their last use, if that is longer than before:
// the callers of streams that have begun still wait. It should be longer than callers try to get
// a stream.
func (t *Table) SetKeep(d time.Duration) { t.keep = max(d, t.keep) }

// Add records a stream that has begun or goes on at this front, and is to be reported.
func (t *Table) Add(now time.Duration, id uint64, o Origin) {
	if o.Version == "" {
		return // unknown
	}
	t.Merge(now, id, o)
	t.unreported = append(t.unreported, unreported{Stream{id, o}, reports})
}

// Merge records a stream that a peer reports.
func (t *Table) Merge(now time.Duration, id uint64, o Origin) {
	t.expire(now)
	t.records[id] = record{o, now}
	t.uses = append(t.uses, use{id, now})
}

// expire drops records that are too old or too many.
func (t *Table) expire(now time.Duration) {
	n := 0
	for n < len(t.uses) && (now-t.uses[n].at > t.keep || len(t.uses)-n >= maxRecords) {
		if u := t.uses[n]; t.records[u.id].used == u.at {
			delete(t.records, u.id)
		}
		n++
	}
	t.uses = t.uses[n:]
}

// Find returns the origin of a stream. It reports false if there is no record.
func (t *Table) Find(now time.Duration, id uint64) (Origin, bool) {
	t.expire(now)
	r, ok := t.records[id]
	return r.origin, ok
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// maxReported is the largest number of streams that one heartbeat reports: with them it fits into a
// datagram.
const maxReported = 2000

// Unreported returns the streams that the next heartbeat is to report, and counts it.
func (t *Table) Unreported() []Stream {
	var ss []Stream
	n := min(len(t.unreported), maxReported)
	rest := t.unreported[n:]
	left := t.unreported[:0]
	for _, u := range t.unreported[:n] {
		ss = append(ss, u.Stream)
		if u.left--; u.left > 0 {
			left = append(left, u)
		}
	}
	t.unreported = append(left, rest...)
	return ss
}

// ObserveVersion notes that a target of a service is listed with a version, as of the next call of
// SetVersions at the latest. It has no effect for a service that SetVersions has not named yet.
func (t *Table) ObserveVersion(name, v string) {
	if s := t.services[name]; s != nil {
		s.versions[v] = version{listed: true}
	}
}

// SetVersions sets which versions of each service are listed now. "" stands for a target
// whose version is unknown.
func (t *Table) SetVersions(now time.Duration, listed map[string][]string) {
	for name := range listed {
		if t.services[name] == nil {
			t.services[name] = &service{since: now, versions: map[string]version{}}
		}
	}
	for name, s := range t.services {
		for v, e := range s.versions {
			if e.listed {
				s.versions[v] = version{last: now}
			} else if now-e.last > versionsKept {
				delete(s.versions, v)
			}
		}
		for _, v := range listed[name] {
			s.versions[v] = version{listed: true}
		}
	}
}

// DropServices drops what is known of the services without listed targets that aren't used: others may
// list targets of any number of services.
func (t *Table) DropServices(used func(name string) bool) {
	maps.DeleteFunc(t.services, func(name string, s *service) bool { return !s.listed() && !used(name) })
}

// Interrupt notes that changes of the list of targets may have been missed until now, so that
// versions may have been listed that this front has not seen.
func (t *Table) Interrupt(now time.Duration) {
	for _, s := range t.services {
		s.since = now
	}
}

// Only returns the version of a service if a stream that has begun at most the given time ago can
// have begun at no other one. A negative time means that it isn't known when the stream began.
func (t *Table) Only(now time.Duration, name string, begun time.Duration) (string, bool) {
	if begun < 0 {
		begun = t.keep
	}
	s := t.services[name]
	if s == nil || begun > versionsKept-ListLag || now-s.since < begun+ListLag {
		return "", false
	}
	only, n := "", 0
	for v, e := range s.versions {
		if e.listed || now-e.last <= begun+ListLag {
			only = v
			n++
		}
	}
	return only, n == 1 && only != ""
}
