// Package conf reads and checks settings and contracts, and holds the highest
// configuration revision that a process has accepted.
//
// # Usage
//
// The check of a process and of the command line is the same:
//
//	c, problems := conf.ParseDocument(text)
//	for _, p := range problems {
//		fmt.Println(p) // "contracts[0].share: 1.5: expected a number above 0 and at most 1"
//	}
//
// A Config is immutable. A Holder takes new documents and never goes back:
//
//	h := conf.NewHolder()
//	changed, err := h.Accept(text)
//	c := h.Config()
package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/gate"
	"kingcupstand/schema/spec"
)

// Config is a checked configuration document. It is immutable.
type Config struct {
	revision  uint64
	ranks     map[string]call.Rank
	names     map[call.Rank]string
	contracts []Contract
	byName    map[string]int
	text      []byte
}

var _ gate.Policy = (*Config)(nil)

// Revision returns the document's revision.
func (c *Config) Revision() uint64 { return c.revision }

// Text returns the document as it was read. Callers must not change it.
func (c *Config) Text() []byte { return c.text }

// Contracts returns all contracts. Callers must not change the slice.
func (c *Config) Contracts() []Contract { return c.contracts }

// Rank returns the rank of a tier.
func (c *Config) Rank(tier string) (call.Rank, bool) {
	r, ok := c.ranks[tier]
	return r, ok
}

// TierName returns the name of the tier with the given rank, or "".
func (c *Config) TierName(r call.Rank) string { return c.names[r] }

// Contract returns the contract of a workspace.
func (c *Config) Contract(workspace string) (Contract, bool) {
	i, ok := c.byName[workspace]
	if !ok {
		return Contract{}, false
	}
	return c.contracts[i], true
}

// Terms implements gate.Policy.
func (c *Config) Terms(workspace, tier string) (gate.Terms, bool) {
	k, ok := c.Contract(workspace)
	if !ok {
		return gate.Terms{}, false
	}
	t, ok := k.Tier(tier)
	if !ok {
		return gate.Terms{}, false
	}
	return gate.Terms{
		Rank:        c.ranks[tier],
		Wait:        t.Overload == overloadWait,
		Preemptible: t.CutRunning,
		Share:       k.spec.Share,
	}, true
}

// Authenticate returns the contract that a caller's key belongs to. Every hash
// is compared, in constant time, so that timing tells nothing about the keys.
func (c *Config) Authenticate(key string) (Contract, bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i, k := range c.contracts {
		for _, h := range k.hashes {
			if subtle.ConstantTimeCompare(sum[:], h) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Contract{}, false
	}
	return c.contracts[found], true
}

// Contract is one customer's checked contract. It is immutable.
type Contract struct {
	spec   *spec.Contract
	hashes [][]byte
	tiers  map[string]*spec.TierTerms
	events map[string]event
}

// Workspace returns the customer's name.
func (k Contract) Workspace() string { return k.spec.Workspace }

// DefaultTier returns the tier of requests that name none.
func (k Contract) DefaultTier() string { return k.spec.DefaultTier }

// Limits returns the customer's limits; zero fields are not limited.
func (k Contract) Limits() *spec.Limits {
	if k.spec.Limits == nil {
		return &spec.Limits{}
	}
	return k.spec.Limits
}

// AllowsModel reports whether the contract covers a model.
func (k Contract) AllowsModel(m string) bool { return contains(k.spec.Models, m) }

// AllowsService reports whether the contract covers a plain service.
func (k Contract) AllowsService(s string) bool { return contains(k.spec.Services, s) }

// Models returns the models that the contract covers.
func (k Contract) Models() []string { return k.spec.Models }

// Tier returns the terms of a tier.
func (k Contract) Tier(name string) (*spec.TierTerms, bool) {
	t, ok := k.tiers[name]
	return t, ok
}

// Timeout returns the time that a request of the tier has when it arrives at
// now: up to the terms' longest time, and not beyond the next event start.
func (k Contract) Timeout(tier string, now time.Time) time.Duration {
	t, ok := k.tiers[tier]
	if !ok {
		return 0
	}
	d := time.Duration(t.DeadlineMs) * time.Millisecond
	e, ok := k.events[tier]
	if !ok {
		return d
	}
	s, ok := e.next(now)
	if !ok {
		return d
	}
	if u := s.Sub(now); d == 0 || u < d {
		return u
	}
	return d
}

// Route returns the route whose path is the longest prefix of path.
func (k Contract) Route(path string) (*spec.Route, bool) {
	var best *spec.Route
	for _, r := range k.spec.Routes {
		if !covers(r.Path, path) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best != nil
}

// covers reports whether prefix ends at a path segment's end of path.
func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// HashKey returns the form of a key that contracts hold.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func contains(s []string, v string) bool {
	for _, w := range s {
		if w == v {
			return true
		}
	}
	return false
}

// event is a fixed start that may repeat.
type event struct {
	start time.Time
	every time.Duration
}

// next returns the first start after now. It reports false if there is none.
func (e event) next(now time.Time) (time.Time, bool) {
	if e.start.After(now) {
		return e.start, true
	}
	if e.every == 0 {
		return time.Time{}, false
	}
	n := now.Sub(e.start)/e.every + 1
	return e.start.Add(n * e.every), true
}
