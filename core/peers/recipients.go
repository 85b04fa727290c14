package peers

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Regional reports whether there are more live fronts than a heartbeat reaches, in several data
// centres. The fronts of one data centre then exchange heartbeats more often than others.
func (t *Table) Regional(now time.Duration) bool {
	live, elsewhere := 1, 0
	for _, e := range t.peers {
		if !t.alive(now, e) {
			continue
		}
		live++
		if e.last.DataCentre != t.dataCentre {
			elsewhere++
		}
	}
	return live > recipients+1 && elsewhere > 0 && live > elsewhere+1
}

// Near returns the sorted addresses of the live peers in this front's data centre.
func (t *Table) Near(now time.Duration) []string {
	var as []string
	for a, e := range t.peers {
		if e.known && e.last.DataCentre == t.dataCentre && t.alive(now, e) {
			as = append(as, a)
		}
	}
	sort.Strings(as)
	return as
}

// Recipients returns the addresses that the next heartbeat is sent to besides the given ones:
// a random selection of the known peers, live or not, and of the seeds. The peers near this
// front, which get heartbeats of their own, are left out.
func (t *Table) Recipients(r *rand.Rand, near []string, besides map[string]bool) []string {
	n := recipients
	if len(near) > 0 {
		n = max(minFar, recipients-len(near))
	}
	for a := range besides {
		if !slices.Contains(near, a) {
			n--
		}
	}
	var as []string
	for a := range t.peers {
		as = append(as, a)
	}
	for _, s := range t.seeds {
		if t.peers[s] == nil {
			as = append(as, s)
		}
	}
	as = slices.DeleteFunc(as, func(a string) bool { return besides[a] || slices.Contains(near, a) })
	return random(r, as, n)
}

// NearRecipients returns the peers near this front that the next heartbeat is sent to besides the
// given ones.
func (t *Table) NearRecipients(r *rand.Rand, near []string, besides map[string]bool) []string {
	as := slices.DeleteFunc(slices.Clone(near), func(a string) bool { return besides[a] })
	return random(r, as, recipients)
}

// random returns a random selection of at most n addresses. It sorts and shuffles as.
func random(r *rand.Rand, as []string, n int) []string {
	sort.Strings(as)
	r.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:max(0, min(len(as), n))]
}
