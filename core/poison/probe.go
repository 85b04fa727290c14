package poison

import "time"

const (
	// firstProbe is how long after its last crash an isolated request is tried again, and
	// probeFactor by how much longer it takes after each probe: a request that does crash targets
	// crashes few in the days that it keeps coming.
	firstProbe  = 10 * time.Second
	probeFactor = 4
	// ProbeTurn is how long it is one front's turn to try a request. The second half of it is
	// for the result, and the news of the probe, to reach the next front.
	ProbeTurn = 2 * time.Second
	// soloTurns is after how many turns twice as many fronts have a turn at once: a request that
	// nobody has tried until then comes rarely, and would miss most turns of one front.
	soloTurns = 4
)

// probeAt returns when an isolated request may be tried again. All fronts agree on it but for the
// delay of reports, as it depends on crashes and probes, not on when each front isolated it.
func (e *entry) probeAt() time.Duration {
	d := firstProbe
	for n := 0; n < e.probes && d < hold; n++ { // a peer may report any number
		d = min(d*probeFactor, hold)
	}
	last := max(e.latest, e.past, e.probed)
	if last == never {
		last = e.isolated // reports of old crashes end before that of the isolation
	}
	return last + d
}

// MayProbe reports whether this front may try an isolated request again now. Position is that of
// this front among the given number of live fronts, which take turns.
func (t *Table) MayProbe(now time.Duration, request Part, position, fronts int) bool {
	e := t.entries[request]
	if e == nil || e.isolated == never {
		return true
	}
	since := now - e.probeAt()
	if !e.request || since < 0 {
		return false
	}
	if fronts <= 1 {
		return true
	}
	n, turn := uint64(fronts), uint64(since/ProbeTurn)
	first := (uint64(e.part)%n + turn) % n
	after := (uint64(position) + n - first) % n
	return after < 1<<min(turn/soloTurns, 32) && since%ProbeTurn < ProbeTurn/2
}

// Probe is MayProbe, and records that the request is tried if it may be.
func (t *Table) Probe(now time.Duration, request Part, position, fronts int) bool {
	if !t.MayProbe(now, request, position, fronts) {
		return false
	}
	if e := t.entries[request]; e != nil && e.isolated != never {
		e.probes, e.probed = e.probes+1, now
		e.changed, t.set = now, nil
	}
	return true
}

// mergeProbes records that a peer has tried an isolated request.
func (t *Table) mergeProbes(now, at time.Duration, probes int, e *entry) {
	if e.isolated == never || probes <= e.probes {
		return
	}
	e.probes, e.probed = probes, at
	e.changed, t.set = now, nil
}
