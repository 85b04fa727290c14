package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// suspect is a part that enough crashes count for.
type suspect struct {
	*entry
	// crashes are those that count, in the order in which this front learned of them.
	crashes []crash
	// due is when the part may be isolated.
	due time.Duration
}

// needing returns s with the time from which it may be isolated for n crashes.
func (s suspect) needing(n int) suspect {
	s.due = math.MaxInt64
	if len(s.crashes) >= n {
		s.due = s.crashes[n-1].learned + settle
	}
	return s
}

// before orders suspects by how likely they are the cause.
func (s suspect) before(o suspect) bool {
	return cmp.Or(
		cmp.Compare(rank(s.sound != never), rank(o.sound != never)),
		cmp.Compare(len(o.crashes), len(s.crashes)),
		// Fewer others suffer if a request is held off than if its parts are.
		cmp.Compare(rank(o.request), rank(s.request)),
		cmp.Compare(s.part, o.part),
	) < 0
}

// ties reports whether nothing tells the two apart.
func (s suspect) ties(o suspect) bool {
	return s.request == o.request && s.sound == never && o.sound == never && len(s.crashes) == len(o.crashes) &&
		!slices.ContainsFunc(s.crashes, func(c crash) bool {
			return !slices.ContainsFunc(o.crashes, func(d crash) bool { return c.id == d.id })
		})
}

// Check isolates parts, ends isolations and forgets what is too old. It is cheap if nothing is
// due.
func (t *Table) Check(now time.Duration) []Change {
	if now < t.due {
		return nil
	}
	next := now + hold
	cs := t.expire(now, &next)
	// Crashes of a likelier suspect that isn't due yet are not charged to others meanwhile.
	reserved := map[CrashID]bool{}
	skip := func(c CrashID) bool { return reserved[c] || t.isExplained(c) }
	for {
		ss := t.suspects(skip)
		if len(ss) == 0 {
			break
		}
		first := ss[0]
		for _, s := range ss[1:] {
			if s.before(first) {
				first = s
			}
		}
		tied := slices.DeleteFunc(slices.Clone(ss), func(s suspect) bool { return s.entry != first.entry && !s.ties(first) })
		if len(tied) > 1 {
			first = first.needing(minCrashesSound)
		}
		if first.due > now {
			next = min(next, first.due)
			for _, c := range first.crashes {
				reserved[c.id] = true
			}
			continue
		}
		for _, s := range tied {
			cs = t.isolate(now, now, s.entry, len(s.crashes), cs)
			next = min(next, now+hold)
		}
	}
	t.due = next
	slices.SortFunc(cs, func(a, b Change) int { return cmp.Compare(a.Part, b.Part) })
	return cs
}

// suspects returns the parts that enough crashes count for.
func (t *Table) suspects(skip func(CrashID) bool) []suspect {
	var ss []suspect
	for _, e := range t.entries {
		n := e.need()
		if e.isolated != never || len(e.crashes) < n {
			continue
		}
		cs := e.counting(skip)
		if !e.enough(cs) {
			continue
		}
		slices.SortFunc(cs, func(a, b crash) int { return cmp.Compare(a.learned, b.learned) })
		ss = append(ss, suspect{entry: e, crashes: cs}.needing(n))
	}
	return ss
}

// expire ends isolations and forgets what is too old, and lowers next to when it next has to.
func (t *Table) expire(now time.Duration, next *time.Duration) []Change {
	var cs []Change
	for p, e := range t.entries {
		if e.isolated != never && now-e.isolated >= hold {
			cs = append(cs, Change{Part: p, Request: e.request, Crashes: len(e.crashes)})
			e.since = e.isolated + hold
			e.keep = e.since + hold
			e.isolated, e.sound, t.set = never, never, nil
			e.probes, e.probed = 0, never
			e.forget(e.since)
		}
		e.forget(now - memory)
		if e.isolated != never {
			*next = min(*next, e.isolated+hold)
		}
		for _, c := range e.crashes {
			*next = min(*next, c.at+memory)
		}
		if e.isolated == never && len(e.crashes) == 0 {
			if now >= e.keep {
				delete(t.entries, p)
				continue
			}
			*next = min(*next, e.keep)
		}
	}
	for c, x := range t.explained {
		// Another part may hold the crash with a time that is later by a report's delay.
		if now-x.at >= 2*memory {
			delete(t.explained, c)
		}
	}
	return cs
}
