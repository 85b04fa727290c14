package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportChange is how long a change is reported: longer than heartbeats take to reach all
	// peers, also if some are lost.
	reportChange = 3 * time.Second
	// maxReports and maxReportCrashes bound the size of a heartbeat.
	maxReports       = 24
	maxReportCrashes = 8
	// soundMargin and isolatedMargin are by how much a reported time must be later to replace
	// one that is known: more than reports are delayed on their way over several fronts. Fronts
	// isolate a part on their own within a few seconds.
	soundMargin    = 500 * time.Millisecond
	isolatedMargin = 5 * time.Second
	// lastReport is how long before it is forgotten something is last reported, as peers that
	// have just forgotten it would learn it anew and pass it on without end.
	lastReport = 10 * time.Second
)

// CrashAge is a crash and how long ago it was.
type CrashAge struct {
	ID  CrashID
	Age time.Duration
}

// Report is what a front tells its peers about a part or a whole request.
type Report struct {
	Part Part
	// Request is true for a whole request.
	Request bool
	Crashes []CrashAge
	// HasSound is true if there was a sound answer, SoundAge ago.
	HasSound bool
	SoundAge time.Duration
	// HasIsolated is true if the part is isolated, since IsolatedAge ago.
	HasIsolated bool
	IsolatedAge time.Duration
	// Probes is how often the isolated request was tried again, the last time ProbeAge ago.
	Probes   int
	ProbeAge time.Duration
}

// Reports returns what the next heartbeat is to report, and counts it: the isolated parts, as
// fronts may have missed them, and what has changed lately. If there is too much, parts that
// may soon be isolated come first, also those that an answer has just cleared, and take turns.
func (t *Table) Reports(now time.Duration) []Report {
	var es []*entry
	for _, e := range t.entries {
		if e.isolated != never || now-e.changed < reportChange {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(rank(b.isolated != never), rank(a.isolated != never)),
			cmp.Compare(rank(len(b.crashes) >= minCrashes-1), rank(len(a.crashes) >= minCrashes-1)),
			cmp.Compare(a.reported, b.reported),
			cmp.Compare(len(b.crashes), len(a.crashes)),
			cmp.Compare(a.part, b.part),
		)
	})
	var rs []Report
	for _, e := range es[:min(len(es), maxReports)] {
		rs = append(rs, e.report(now))
		e.reported = now
	}
	return rs
}

// report returns the report about a part, with its newest crashes.
func (e *entry) report(now time.Duration) Report {
	r := Report{Part: e.part, Request: e.request}
	cs := slices.SortedFunc(slices.Values(e.crashes), func(a, b crash) int { return compareAge(b, a) })
	for _, c := range cs[:min(len(cs), maxReportCrashes)] {
		if a := max(0, now-c.at); a < memory-lastReport {
			r.Crashes = append(r.Crashes, CrashAge{c.id, a})
		}
	}
	if e.sound != never {
		r.HasSound, r.SoundAge = true, max(0, now-e.sound)
	}
	if e.isolated != never {
		r.HasIsolated, r.IsolatedAge = true, max(0, now-e.isolated)
	}
	if e.probes > 0 {
		r.Probes, r.ProbeAge = e.probes, max(0, now-e.probed)
	}
	return r
}

// Merge records what a peer reports, and returns the isolations that begin or end.
func (t *Table) Merge(now time.Duration, rs []Report) []Change {
	var cs []Change
	for _, r := range rs[:min(len(rs), maxReports)] {
		cs = t.merge(now, r, cs)
	}
	return cs
}

// merge records one report. What is older than it could matter is ignored.
func (t *Table) merge(now time.Duration, r Report, cs []Change) []Change {
	for _, c := range r.Crashes[:min(len(r.Crashes), maxReportCrashes)] {
		if a := max(0, c.Age); a < memory-lastReport {
			t.addCrash(now, now-a, t.entry(now, r.Part, r.Request), c.ID)
		}
	}
	if a := max(0, r.SoundAge); r.HasSound && a < hold-lastReport {
		cs = t.mergeSound(now, now-a, r, cs)
	}
	if a := max(0, r.IsolatedAge); r.HasIsolated && a < hold {
		cs = t.mergeIsolated(now, now-a, r, cs)
	}
	if e := t.entries[r.Part]; e != nil {
		t.mergeProbes(now, now-max(0, r.ProbeAge), r.Probes, e)
		// A crash may have turned out to be earlier than an answer.
		cs = t.end(now, e, cs)
	}
	return cs
}

// mergeSound records a reported answer. An answer without crashes ended an isolation that this
// front may still hear of.
func (t *Table) mergeSound(now, at time.Duration, r Report, cs []Change) []Change {
	e := t.entries[r.Part]
	if e == nil {
		e = t.entry(now, r.Part, r.Request)
		e.sound, e.keep, t.due = at, at+hold, never
		return cs
	}
	if e.isolated != never {
		// Any other answer no longer matters, and would drift over the crashes.
		if at >= e.isolated || e.latest != never && at >= e.latest {
			return t.sound(now, at, e, cs)
		}
		return cs
	}
	if e.sound == never || at > e.sound+soundMargin || e.clears(at) {
		return t.sound(now, at, e, cs)
	}
	return cs
}

// mergeIsolated records a reported isolation. If an answer has ended it, the
// peer is told again.
func (t *Table) mergeIsolated(now, at time.Duration, r Report, cs []Change) []Change {
	e := t.entry(now, r.Part, r.Request)
	if e.voids(at) {
		e.changed = now
	}
	if e.voids(at) || at <= e.since {
		return cs
	}
	if e.isolated == never || at > e.isolated+isolatedMargin {
		return t.isolate(now, at, e, len(e.crashes), cs)
	}
	return cs
}
