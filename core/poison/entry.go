package poison

import (
	"cmp"
	"slices"
	"time"
)

// crash is a crash as known to one front.
type crash struct {
	id CrashID
	at time.Duration
	// learned is when this front first heard of it.
	learned time.Duration
}

// entry is what is known of one part.
type entry struct {
	part Part
	// request is true for a whole request.
	request bool
	crashes []crash
	// latest is the time of the latest crash, and past that of the latest that is forgotten.
	latest time.Duration
	past   time.Duration
	// sound is the time of the last sound answer, and isolated that of the isolation, or never.
	sound    time.Duration
	isolated time.Duration
	// probes counts how often an isolated request was tried again, and probed is the last time.
	probes int
	probed time.Duration
	// since is when the last isolation expired: nothing until then is recorded again.
	since time.Duration
	// keep is until when the entry is kept without crashes, as peers may still report an
	// isolation that has ended.
	keep time.Duration
	// changed is when this front last learned something that peers should know.
	changed time.Duration
	// reported is when it was last reported.
	reported time.Duration
}

// entry returns the entry of a part or of a whole request, a new one if there is none.
func (t *Table) entry(now time.Duration, p Part, request bool) *entry {
	if e := t.entries[p]; e != nil {
		// Fronts of earlier builds pass requests on as parts.
		e.request = e.request || request
		return e
	}
	if len(t.entries) >= maxEntries {
		t.evict()
	}
	e := &entry{
		part: p, request: request, latest: never, past: never, sound: never, isolated: never, probed: never,
		since: never, keep: never, changed: now, reported: never,
	}
	if at, ok := t.answeredOf(request).Peek(p); ok && now-at < memory {
		e.sound = at
	}
	t.entries[p] = e
	return e
}

// evict drops an eighth of the entries, so that its cost is spread over many new ones. Isolated
// parts are dropped last.
func (t *Table) evict() {
	es := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(rank(a.isolated != never), rank(b.isolated != never)),
			cmp.Compare(a.changed, b.changed),
			cmp.Compare(a.part, b.part),
		)
	})
	for _, e := range es[:maxEntries/8] {
		if e.isolated != never {
			t.set = nil
		}
		delete(t.entries, e.part)
	}
}

// rank orders false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// add records a crash, and reports whether it is a new one. The earliest time of a crash is
// kept, as a report's delay makes it seem later.
func (e *entry) add(c crash) bool {
	if c.at <= e.since {
		return false
	}
	for i := range e.crashes {
		if o := &e.crashes[i]; o.id == c.id {
			if c.at < o.at {
				o.at = c.at
				e.setLatest()
			}
			return false
		}
	}
	e.latest = max(e.latest, c.at)
	if len(e.crashes) < maxCrashes {
		e.crashes = append(e.crashes, c)
		return true
	}
	first := slices.MinFunc(e.crashes, compareAge)
	if compareAge(c, first) <= 0 {
		return false
	}
	e.crashes[slices.Index(e.crashes, first)] = c
	return true
}

// compareAge orders crashes by their times.
func compareAge(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) }

// clears reports whether an answer at the time at keeps a crash from counting.
func (e *entry) clears(at time.Duration) bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return c.at > e.sound && c.at <= at })
}

// voids reports whether the last answer ends an isolation that began at the time at: it is later,
// or it left no crash.
func (e *entry) voids(at time.Duration) bool {
	return e.sound != never && (e.sound >= at || e.latest != never && e.sound >= e.latest)
}

// setLatest sets latest after a change of the crashes.
func (e *entry) setLatest() {
	e.latest = e.past
	for _, c := range e.crashes {
		e.latest = max(e.latest, c.at)
	}
}

// forget drops the crashes until the time at.
func (e *entry) forget(at time.Duration) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool {
		if c.at > at {
			return false
		}
		e.past = max(e.past, c.at)
		return true
	})
}

// need returns how many crashes isolate the part.
func (e *entry) need() int {
	if e.sound != never {
		return minCrashesSound
	}
	return minCrashes
}

// enough reports whether crashes isolate the part.
func (e *entry) enough(cs []crash) bool {
	if len(cs) < e.need() {
		return false
	}
	if !e.request || e.sound == never {
		return true
	}
	first, last := slices.MinFunc(cs, compareAge), slices.MaxFunc(cs, compareAge)
	return last.at-first.at >= minSpread
}

// counting returns the crashes that count for the part, unless skip names them.
func (e *entry) counting(skip func(CrashID) bool) []crash {
	var cs []crash
	for _, c := range e.crashes {
		if c.at > e.sound && !skip(c.id) {
			cs = append(cs, c)
		}
	}
	return cs
}
