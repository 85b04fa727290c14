// Package poison finds what crashes one target after another: a part of prompts, or a whole
// request that callers send again and again.
//
// A crash is charged to all parts of the requests that had made no progress at the target when
// it crashed: the cause is among them, with parts that it shares its requests or only its
// targets with. A sound answer clears a part of the crashes before it. A part that enough
// crashes remain charged to is isolated, and its crashes no longer count for other parts. Parts
// that have never been answered go first, and those with more crashes before others.
//
// Fronts tell each other what they know with their heartbeats. A crash has an id that is the
// same at all fronts. Reports carry ages rather than times, as clocks differ. The delay of a
// report makes what it says seem later, so a crash keeps the earliest time reported, and the
// times of isolations only move by more than such delays: they would drift from front to front
// otherwise. That of an answer also moves if it clears a crash. While crashes follow each other
// closely it may thus drift, which delays the isolation of a part that has been answered.
//
// Isolation ends after some time, by a sound answer, or if a front learns of an answer that is
// later than all crashes of the part. What happened until then no longer counts, whoever reports
// it.
//
// A whole request is treated as a part that only its copies have. If it is as likely the cause as
// its parts, it goes first. An isolated request is tried again from time to time, by one front and
// ever more rarely, so that one that was isolated in error returns.
//
// # Usage
//
//	t := poison.New()
//	t.Crash(now, poison.CrashOf("target-1", born), parts)
//	t.CrashRequest(now, poison.CrashOf("target-1", born), poison.RequestOf("GET", host, "/a", workspace, body))
//	changes := t.Sound(now, parts)
//	changes = t.Check(now)
//	until, ok := t.Isolated(poison.PartOf("part-1"))
//	ok = t.Probe(now, request, position, fronts)
//	changes = peer.Merge(now, t.Reports(now))
package poison

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// memory is how long a crash counts: crashes of one cause come closer together.
	memory = 5 * time.Minute
	// minCrashes is how many crashes isolate a part: two may coincide by chance.
	minCrashes = 3
	// minCrashesSound replaces minCrashes for a part that has been answered, whose requests
	// probably only share targets with the cause, and for parts that nothing tells apart.
	minCrashesSound = 5
	// minSpread is the time between the first and the last crash that isolate a request which has
	// been answered. While targets crash for another cause, nobody may be able to answer it.
	minSpread = 10 * time.Second
	// settle is how long reports of sound answers may take to arrive before a part is isolated.
	settle = time.Second
	// hold is how long a part stays isolated, as what made it crash targets may be mended.
	hold = 10 * time.Minute
	// maxEntries bounds the memory: the entries that changed longest ago are dropped.
	maxEntries = 4096
	// maxCrashes bounds the crashes of an entry: the oldest are dropped.
	maxCrashes = 64
	// maxExplained bounds the crashes that are known to be explained.
	maxExplained = 4096
	// maxAnswered bounds the parts and the requests whose last answer is known.
	maxAnswered = 8192
	// never is the time of what has not happened, before any other.
	never = time.Duration(-1 << 62)
)

// Part is the hash of the id of a part of a prompt, or of a whole request.
type Part uint64

// PartOf returns the hash of a part's id.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// String returns p as a hexadecimal number.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// CrashID identifies a crash at all fronts.
type CrashID uint64

// CrashOf returns the id of the crash of a target's process that started at born.
func CrashOf(target string, born int64) CrashID {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(born))
	return CrashID(xxhash.Sum64(append(b, target...)))
}

// Change is the beginning or the end of the isolation of a part or of a whole request.
type Change struct {
	Part     Part
	Request  bool
	Isolated bool
	// Crashes is the number of crashes that isolated the part, or that were known of it.
	Crashes int
}

// explained is a crash of a part that is isolated or whose isolation has expired.
type explained struct {
	by Part
	at time.Duration
}

// Table is what one front knows of suspected parts. It is not safe for concurrent use.
type Table struct {
	entries map[Part]*entry
	// answered holds the time of the last answer to requests with a part, whether it is suspected
	// or not: a part that was answered before the first crash is hardly the cause.
	// answeredRequests holds the same of whole requests, few of which are sent twice.
	answered, answeredRequests *simplelru.LRU[Part, time.Duration]
	// explained keeps crashes after an isolation expired, as other parts still hold them.
	explained map[CrashID]explained
	// due is when Check next has anything to do.
	due time.Duration
	// set is the current snapshot, or nil if it is outdated.
	set map[Part]time.Duration
}

// New returns an empty Table.
func New() *Table {
	a, _ := simplelru.NewLRU[Part, time.Duration](maxAnswered, nil) // fails only for sizes below 1
	r, _ := simplelru.NewLRU[Part, time.Duration](maxAnswered, nil)
	return &Table{entries: map[Part]*entry{}, answered: a, answeredRequests: r, explained: map[CrashID]explained{}, due: never, set: map[Part]time.Duration{}}
}

// Crash records that a target crashed while requests with these parts, which had made no
// progress, were there.
func (t *Table) Crash(now time.Duration, c CrashID, parts []Part) {
	for _, p := range parts {
		t.addCrash(now, now, t.entry(now, p, false), c)
	}
}

// CrashRequest records that a target crashed while a request that had made no progress was there.
func (t *Table) CrashRequest(now time.Duration, c CrashID, request Part) {
	t.addCrash(now, now, t.entry(now, request, true), c)
}

// addCrash records a crash at the time at, which this front learns of now.
func (t *Table) addCrash(now, at time.Duration, e *entry, c CrashID) {
	if !e.add(crash{c, at, now}) {
		return
	}
	e.changed, t.due = now, never
	if e.isolated == never {
		return
	}
	t.explain(c, explained{e.part, at})
	if e.request {
		e.isolated, t.set = max(e.isolated, at), nil
	}
}

// answeredOf returns the last answers to requests with a part, or to whole requests.
func (t *Table) answeredOf(request bool) *simplelru.LRU[Part, time.Duration] {
	if request {
		return t.answeredRequests
	}
	return t.answered
}

// Sound records that a request with these parts was answered or made progress, and returns the
// isolations that it ends.
func (t *Table) Sound(now time.Duration, parts []Part) []Change {
	var cs []Change
	for _, p := range parts {
		t.answered.Add(p, now)
		if e := t.entries[p]; e != nil {
			cs = t.sound(now, now, e, cs)
		}
	}
	return cs
}

// SoundRequest records that a whole request was answered or made progress, and returns its
// isolation if that ends it.
func (t *Table) SoundRequest(now time.Duration, request Part) []Change {
	t.answeredRequests.Add(request, now)
	if e := t.entries[request]; e != nil {
		return t.sound(now, now, e, nil)
	}
	return nil
}

// sound records an answer at the time at.
func (t *Table) sound(now, at time.Duration, e *entry, cs []Change) []Change {
	if at <= e.sound || at <= e.since {
		return cs
	}
	if e.sound == never || e.latest > e.sound && e.clears(at) {
		e.changed, t.due = now, never
	}
	e.sound = at
	return t.end(now, e, cs)
}

// end ends an isolation if an answer voids it.
func (t *Table) end(now time.Duration, e *entry, cs []Change) []Change {
	if e.isolated == never || !e.voids(e.isolated) {
		return cs
	}
	cs = append(cs, Change{Part: e.part, Request: e.request, Crashes: len(e.crashes)})
	e.isolated, e.keep = never, e.sound+hold
	e.probes, e.probed = 0, never
	e.changed, t.due, t.set = now, never, nil
	t.unexplain(e.part)
	return cs
}

// Isolated reports whether a part is isolated, and until when if it is.
func (t *Table) Isolated(p Part) (until time.Duration, ok bool) {
	if e := t.entries[p]; e != nil && e.isolated != never {
		return e.isolated + hold, true
	}
	return 0, false
}

// Set returns the isolated parts and requests. It has the end of the isolation of each part, and
// the time from which each request may be tried again. The map is never changed and may be read
// from any goroutine; it is another one only after a change.
func (t *Table) Set() map[Part]time.Duration {
	if t.set == nil {
		t.set = map[Part]time.Duration{}
		for p, e := range t.entries {
			switch {
			case e.isolated == never:
			case e.request:
				t.set[p] = e.probeAt()
			default:
				t.set[p] = e.isolated + hold
			}
		}
	}
	return t.set
}

// Isolations returns the numbers of isolated parts and requests.
func (t *Table) Isolations() (parts, requests int) {
	for _, e := range t.entries {
		switch {
		case e.isolated == never:
		case e.request:
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}

// Outdated reports whether the next call of Set returns another map than the last one.
func (t *Table) Outdated() bool { return t.set == nil }

// Len returns the number of parts and requests that are known.
func (t *Table) Len() int { return len(t.entries) }

// isolate begins a part's isolation as of the time at, or moves it there.
func (t *Table) isolate(now, at time.Duration, e *entry, crashes int, cs []Change) []Change {
	if e.isolated == never {
		cs = append(cs, Change{Part: e.part, Request: e.request, Isolated: true, Crashes: crashes})
	}
	e.isolated, e.changed, t.due, t.set = at, now, never, nil
	for _, c := range e.crashes {
		t.explain(c.id, explained{e.part, c.at})
	}
	return cs
}

// explain records that a crash has a known cause.
func (t *Table) explain(c CrashID, x explained) {
	if _, ok := t.explained[c]; ok || len(t.explained) < maxExplained {
		t.explained[c] = x
		return
	}
	oldest, first := c, x.at
	for id, o := range t.explained {
		if o.at < first {
			oldest, first = id, o.at
		}
	}
	if oldest != c {
		delete(t.explained, oldest)
		t.explained[c] = x
	}
}

// isExplained reports whether a crash has a known cause.
func (t *Table) isExplained(c CrashID) bool {
	_, ok := t.explained[c]
	return ok
}

// unexplain makes the crashes of a part count again for others, unless another isolated part
// explains them.
func (t *Table) unexplain(p Part) {
	for id, x := range t.explained {
		if x.by == p {
			delete(t.explained, id)
		}
	}
	for _, e := range t.entries {
		if e.isolated == never {
			continue
		}
		for _, c := range e.crashes {
			t.explain(c.id, explained{e.part, c.at})
		}
	}
}
