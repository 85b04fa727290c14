// Package conf parses and checks the files that configure the processes: settings,
// instance lists and the configuration document with the workspaces' contracts.
//
// All of them are YAML that follows a message of package spec, under its JSON field
// names. ParseDocument, ParseSettings and ParseInstances report all problems of a file
// at once, unknown keys included, each with its path in the file. ParseFront ignores
// unknown keys and reports only the first value of a wrong type. A file with a problem
// is rejected as a whole.
//
// A configuration document has a revision, starting at 1. It reaches a process from
// the platform and from peers, several times and in any order. A Holder accepts
// only documents of a higher revision than the current one, so that all processes
// converge on the highest revision and none goes back.
//
// # Usage
//
// Processes and the check command use the same functions:
//
//	c, problems := conf.ParseDocument(text)
//	for _, p := range problems {
//		fmt.Println(p) // "contracts[0].share: 1.5: expected a number above 0 and at most 1"
//	}
//
// A Config is immutable. A Holder replaces it by newer ones:
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

// Config is a valid configuration document. It is immutable and safe for concurrent
// use.
type Config struct {
	revision      uint64
	ranks         map[string]call.Rank
	tierNames     map[call.Rank]string
	contracts     []Contract
	contractIndex map[string]int
	text          []byte
}

var _ gate.Policy = (*Config)(nil)

// Revision returns the document's revision.
func (c *Config) Revision() uint64 { return c.revision }

// Text returns the document's YAML text as it was parsed. Callers must not change it.
func (c *Config) Text() []byte { return c.text }

// Contracts returns all contracts in the document's order. Callers must not change
// the slice.
func (c *Config) Contracts() []Contract { return c.contracts }

// Rank returns the rank of a tier. It reports false if there is no such tier.
func (c *Config) Rank(tier string) (call.Rank, bool) {
	r, ok := c.ranks[tier]
	return r, ok
}

// TierName returns the name of the tier with the given rank, or "".
func (c *Config) TierName(r call.Rank) string { return c.tierNames[r] }

// Contract returns the contract of a workspace. It reports false if there is none.
func (c *Config) Contract(workspace string) (Contract, bool) {
	i, ok := c.contractIndex[workspace]
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

// Authenticate returns the contract that a caller's key belongs to. It reports false
// for an unknown key. It compares all hashes in constant time, so that the time
// taken reveals nothing about the keys.
func (c *Config) Authenticate(key string) (Contract, bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i, k := range c.contracts {
		for _, h := range k.keyHashes {
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

// Contract is the valid contract of a workspace. It is immutable and safe for concurrent
// use. Callers must not change the messages and slices that its methods return.
type Contract struct {
	spec      *spec.Contract
	keyHashes [][]byte
	tiers     map[string]*spec.TierTerms
	events    map[string]event
}

// Workspace returns the workspace's name.
func (k Contract) Workspace() string { return k.spec.Workspace }

// DefaultTier returns the tier of requests that don't name one.
func (k Contract) DefaultTier() string { return k.spec.DefaultTier }

// Limits returns the workspace's limits. It is never nil; a field of 0 means no limit.
func (k Contract) Limits() *spec.Limits {
	if k.spec.Limits == nil {
		return &spec.Limits{}
	}
	return k.spec.Limits
}

// AllowsModel reports whether the contract covers a model.
func (k Contract) AllowsModel(m string) bool { return contains(k.spec.Models, m) }

// AllowsService reports whether the contract covers a service that isn't a model
// engine.
func (k Contract) AllowsService(s string) bool { return contains(k.spec.Services, s) }

// Models returns the models that the contract covers.
func (k Contract) Models() []string { return k.spec.Models }

// Tier returns the terms of a tier. It reports false if the contract doesn't include
// the tier.
func (k Contract) Tier(name string) (*spec.TierTerms, bool) {
	t, ok := k.tiers[name]
	return t, ok
}

// Timeout returns how long a request of the tier that arrives at now may take: the
// tier's deadline-ms, but not beyond the next start of the tier's event. It returns
// 0 if the contract doesn't include the tier.
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

// Route returns the route with the longest path that is a prefix of path, by whole
// segments. It reports false if there is none.
func (k Contract) Route(path string) (*spec.Route, bool) {
	var best *spec.Route
	for _, r := range k.spec.Routes {
		if !hasPathPrefix(r.Path, path) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best != nil
}

// hasPathPrefix reports whether prefix is a prefix of path that ends at a segment
// boundary.
func hasPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// HashKey returns the SHA-256 hash of a key in hexadecimal, the form that contracts
// store.
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

// event is a point in time that responses must come before. It may repeat at a fixed
// interval.
type event struct {
	start time.Time
	// interval is 0 if the event doesn't repeat.
	interval time.Duration
}

// next returns the first occurrence after now. It reports false if there is none.
func (e event) next(now time.Time) (time.Time, bool) {
	if e.start.After(now) {
		return e.start, true
	}
	if e.interval == 0 {
		return time.Time{}, false
	}
	n := now.Sub(e.start)/e.interval + 1
	return e.start.Add(n * e.interval), true
}
