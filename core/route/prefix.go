package route

import "time"

const (
	// maxPrefixes is the number of prompt prefixes whose last target is recorded.
	maxPrefixes = 8192
	// prefixTTL is how long a prefix is expected to stay in a target's cache.
	prefixTTL = 5 * time.Minute
)

// prefixRecord says where a prefix was last sent to.
type prefixRecord struct {
	target string
	at     time.Duration
	tokens int
}

// affinity lists the targets that are expected to have a request's prefix in their
// cache.
type affinity struct {
	// preferred is the target that all entries prefer for the prefix, and last the
	// one that this entry sent it to last. Both are nil if the prefix has not been
	// sent recently.
	preferred, last *view
	tokens          int
}

// affinity returns the cache affinity of a request.
func (r *Router) affinity(now time.Duration, q Request) affinity {
	b, ok := r.prefixes.Peek(q.Prefix)
	if q.Prefix == 0 || !ok || now-b.at > prefixTTL {
		return affinity{}
	}
	return affinity{
		preferred: preferred(r.groups[q.key()], q.Prefix),
		last:      r.views[b.target],
		tokens:    min(b.tokens, q.Prompt),
	}
}

// cached returns the number of prompt tokens that the target is expected to have in
// its cache.
func (a affinity) cached(v *view) int {
	if v == a.preferred || v == a.last {
		return a.tokens
	}
	return 0
}

// preferred returns the target that all entries prefer for a prefix, by rendezvous
// hashing. It spreads the prefixes over the targets' caches without communication.
// Entries with different instance lists may disagree, so it is only a preference.
func preferred(g []*view, prefix uint64) *view {
	var best *view
	var most uint64
	for _, v := range g {
		if s := mix(prefix ^ v.hash); best == nil || s > most {
			best, most = v, s
		}
	}
	return best
}

// mix is the finalizer of SplitMix64; it distributes the bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
