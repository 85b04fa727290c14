package roster

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/spec"
)

// DoubtGrace is how long a listed entry is not used that may be that of a process which has ended. Platforms
// remove entries that are not renewed for three intervals of reports, which are about 1.2 s.
const DoubtGrace = 6 * time.Second

// maxEnded bounds the number of targets that are remembered after they have ended.
const maxEnded = 1 << 12

// maxOutdated bounds the number of outdated entries that are kept for the log.
const maxOutdated = 64

// process is a target's process as of the last of its reports that is known. A target orders its reports
// itself, by Born and Sequence. They are compared by that order whichever list, change or peer they come
// from: a store that is restored from an older copy lists earlier ones again under a later era.
type process struct {
	born     int64
	sequence uint64
	// leaving is true once the process has announced that it leaves, which is final.
	leaving bool
}

func processOf(r *spec.Replica) process { return process{r.Born, r.Sequence, r.Leaving} }

// relation is how a report compares with the last one that is known.
type relation int

const (
	// later is a later report, or one whose place isn't known.
	later relation = iota
	// repeated is the last report of the process, or one before it.
	repeated
	// earlier is a report of an earlier process.
	earlier
)

func (p process) compare(r *spec.Replica) relation {
	switch {
	case p.born == 0 || r.Born == 0:
		return later
	case r.Born < p.born:
		return earlier
	case r.Born > p.born || p.sequence == 0 || r.Sequence == 0 || r.Sequence > p.sequence:
		return later
	}
	return repeated
}

// same reports whether r is of the process.
func (p process) same(r *spec.Replica) bool { return p.born == r.Born && p.born != 0 }

// ended is a process whose entry was removed, in an era of the store.
type ended struct {
	process
	era uint64
}

// doubt is a listed entry, as of an era, that may be that of a process which has ended. It is used once the
// platform has confirmed the list after until, if it is still listed then.
type doubt struct {
	replica *spec.Replica
	era     uint64
	until   time.Duration
}

// known returns the last report of a target and the era in which it was read or removed.
func (l *List) known(id string) (p process, era uint64, ok bool) {
	if e := l.records[id]; e != nil {
		return processOf(e.replica), e.era, true
	}
	g, ok := l.ended.Get(id)
	return g.process, g.era, ok
}

// put applies an entry that was listed in an era. It reports false if the entry doesn't show that the target
// is listed: it is of an earlier process, or repeats a report of one that was removed in an earlier era.
func (l *List) put(now time.Duration, era uint64, r *spec.Replica) bool {
	p, in, known := l.known(r.Id)
	e := l.records[r.Id]
	switch c := p.compare(r); {
	case !known || c == later:
	case c == earlier:
		l.doubt(now, era, r)
		l.noteOutdated(r)
		return false
	case (e == nil || e.missing) && era > in:
		if !p.leaving {
			l.doubt(now, era, r)
		}
		l.noteOutdated(r)
		return false
	case e != nil && r.Sequence < p.sequence:
		l.noteOutdated(r)
		r = withLeaving(e.replica, r.Leaving)
	}
	if known && p.same(r) {
		r = withLeaving(r, p.leaving)
	}
	l.records[r.Id] = &record{replica: r, era: era}
	l.ended.Remove(r.Id)
	delete(l.doubts, r.Id)
	return true
}

// withLeaving returns an entry that is leaving if it was before or leaving is true.
func withLeaving(r *spec.Replica, leaving bool) *spec.Replica {
	if r.Leaving || !leaving {
		return r
	}
	r = proto.CloneOf(r)
	r.Leaving = true
	return r
}

// doubt withholds an entry for DoubtGrace.
func (l *List) doubt(now time.Duration, era uint64, r *spec.Replica) {
	d, ok := l.doubts[r.Id]
	if !ok || d.era != era || d.replica.Born != r.Born {
		d.until = now + DoubtGrace
	}
	l.doubts[r.Id] = doubt{r, era, d.until}
}

// DoubtsDue reports whether entries are to be used that were withheld.
func (l *List) DoubtsDue() bool {
	for _, d := range l.doubts {
		if l.confirmed >= d.until {
			return true
		}
	}
	return false
}

// settleDoubts uses the entries that are still listed after DoubtGrace.
func (l *List) settleDoubts() {
	for id, d := range l.doubts {
		if l.confirmed < d.until {
			continue
		}
		delete(l.doubts, id)
		if e := l.records[id]; e == nil || e.missing {
			l.records[id] = &record{replica: d.replica, era: l.as.era}
			l.ended.Remove(id)
		}
	}
}

// end removes a target and remembers its process.
func (l *List) end(id string) {
	l.ended.Add(id, ended{processOf(l.records[id].replica), max(l.records[id].era, l.as.era, l.seen.era)})
	delete(l.records, id)
}

// noteOutdated keeps an outdated entry for TakeOutdated.
func (l *List) noteOutdated(r *spec.Replica) {
	if len(l.outdated) < maxOutdated {
		l.outdated = append(l.outdated, r)
	}
}

// TakeOutdated returns the entries since the last call that were outdated by what the targets had reported
// before.
func (l *List) TakeOutdated() []*spec.Replica {
	rs := l.outdated
	l.outdated = nil
	return rs
}
