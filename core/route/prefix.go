package route

import "time"

const (
	// prefixes is the number of prompt prefixes whose place is remembered.
	prefixes = 8192
	// beliefLife is how long a prefix is believed to stay cached.
	beliefLife = 5 * time.Minute
)

// belief is where a prefix was computed last.
type belief struct {
	target string
	at     time.Duration
	tokens int
}

// warmth is where a request's prefix is believed to be cached.
type warmth struct {
	// home and last are nil if the prefix has not been seen lately.
	home, last *view
	tokens     int
}

// warmth returns the belief about a request's prefix.
func (r *Router) warmth(now time.Duration, w Request) warmth {
	b, ok := r.prefixes.Peek(w.Prefix)
	if w.Prefix == 0 || !ok || now-b.at > beliefLife {
		return warmth{}
	}
	return warmth{
		home:   home(r.groups[w.key()], w.Prefix),
		last:   r.views[b.target],
		tokens: min(b.tokens, w.Prompt),
	}
}

// cached returns how many prompt tokens the target is believed to have cached.
func (m warmth) cached(v *view) int {
	if v == m.home || v == m.last {
		return m.tokens
	}
	return 0
}

// home returns the target that all entries prefer for a prefix, by rendezvous
// hashing. It spreads prefixes over the caches without any exchange, and is only
// a preference: entries with different lists may differ.
func home(g []*view, prefix uint64) *view {
	var best *view
	var most uint64
	for _, v := range g {
		if s := mix(prefix ^ v.hash); best == nil || s > most {
			best, most = v, s
		}
	}
	return best
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
