package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/schema/spec"
)

// Values of overload in a contract's tiers: whether an overloaded target refuses
// the tier's requests or keeps them queued. An empty value means refuse.
const (
	overloadRefuse = "refuse"
	overloadWait   = "wait"
)

// maxRevision is the highest revision of a document: none would be later than a higher one. JSON numbers
// are exact only up to it.
const maxRevision = 1 << 53

// shareTolerance is the tolerated rounding error in the sum of shares.
const shareTolerance = 1e-9

// ParseDocument parses and checks a configuration document. The Config is nil if
// there are problems. It keeps a copy of text.
func ParseDocument(text []byte) (*Config, []Problem) {
	d := &spec.Document{}
	ps, readable := decode(text, d)
	if readable {
		ps.document(d)
	}
	if len(ps) > 0 {
		return nil, ps
	}
	return compile(d, text), nil
}

// compile builds the lookup tables of a valid document.
func compile(d *spec.Document, text []byte) *Config {
	c := &Config{
		revision:      d.Revision,
		ranks:         make(map[string]call.Rank),
		tierNames:     make(map[call.Rank]string),
		contractIndex: make(map[string]int),
		text:          slices.Clone(text),
	}
	for _, t := range d.Tiers {
		c.ranks[t.Name] = call.Rank(t.Rank)
		c.tierNames[call.Rank(t.Rank)] = t.Name
	}
	for i, k := range d.Contracts {
		c.contractIndex[k.Workspace] = i
		c.contracts = append(c.contracts, compileContract(k))
	}
	return c
}

func compileContract(s *spec.Contract) Contract {
	k := Contract{
		spec:   s,
		tiers:  make(map[string]*spec.TierTerms),
		events: make(map[string]event),
	}
	for _, h := range s.KeyHashes {
		b, _ := hex.DecodeString(h)
		k.keyHashes = append(k.keyHashes, b)
	}
	for _, t := range s.Tiers {
		k.tiers[t.Tier] = t
		if t.Event != nil {
			start, _ := time.Parse(time.RFC3339, t.Event.Start)
			k.events[t.Tier] = event{start: start, interval: time.Duration(t.Event.EveryHours) * time.Hour}
		}
	}
	return k
}

func (p *problems) document(d *spec.Document) {
	if d.Revision == 0 {
		p.add("revision", "expected a number above 0")
	}
	if d.Revision > maxRevision {
		p.add("revision", "expected at most %d", uint64(maxRevision))
	}
	tiers := p.tiers(d.Tiers)
	models := p.names("models", d.Models)
	services := p.names("services", d.Services)
	seen := make(map[string]bool)
	hashes := make(map[string]string)
	var total float64
	for i, k := range d.Contracts {
		path := fmt.Sprintf("contracts[%d]", i)
		p.name(path+".workspace", k.Workspace, seen)
		p.contract(path, k, tiers, models, services)
		p.keyHashes(path, k, hashes)
		total += k.Share
	}
	if total > 1+shareTolerance {
		p.add("contracts", "shares add up to %g: expected at most 1", total)
	}
}

// tiers checks that names are unique and that the ranks of n tiers are 1 to n. It
// returns the set of names.
func (p *problems) tiers(ts []*spec.Tier) map[string]bool {
	if len(ts) == 0 {
		p.add("tiers", "expected at least one tier")
	}
	seen := make(map[string]bool)
	ranks := make(map[uint32]bool)
	for i, t := range ts {
		path := fmt.Sprintf("tiers[%d]", i)
		p.name(path+".name", t.Name, seen)
		if ranks[t.Rank] {
			p.add(path+".rank", "%d: another tier has this rank", t.Rank)
		}
		ranks[t.Rank] = true
		if t.Rank == 0 || int(t.Rank) > len(ts) {
			p.add(path+".rank", "%d: expected ranks from 1 to %d without a gap", t.Rank, len(ts))
		}
	}
	return seen
}

// names checks that names are set and unique, and returns the set of them.
func (p *problems) names(path string, ns []string) map[string]bool {
	seen := make(map[string]bool)
	for i, n := range ns {
		p.name(fmt.Sprintf("%s[%d]", path, i), n, seen)
	}
	return seen
}

// name checks that a name is set and not in seen, and adds it there.
func (p *problems) name(path, n string, seen map[string]bool) {
	switch {
	case n == "":
		p.add(path, "expected a name")
	case seen[n]:
		p.add(path, "%q: this name is used twice", n)
	}
	seen[n] = true
}

// keyHashes checks a contract's key hashes and adds them to owners, which maps each
// hash to its workspace. A key must not belong to two workspaces.
func (p *problems) keyHashes(path string, k *spec.Contract, owners map[string]string) {
	if len(k.KeyHashes) == 0 {
		p.add(path+".key-hashes", "expected at least one SHA-256 hash of a key")
	}
	for i, h := range k.KeyHashes {
		at := fmt.Sprintf("%s.key-hashes[%d]", path, i)
		if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size {
			// The value isn't printed: it may be a secret key instead of its hash.
			p.add(at, "expected %d hexadecimal digits", 2*sha256.Size)
			continue
		}
		if o, ok := owners[h]; ok {
			p.add(at, "this key is used by workspace %q too", o)
		}
		owners[h] = k.Workspace
	}
}

// contract checks a contract against the document's tiers, models and services.
func (p *problems) contract(path string, k *spec.Contract, tiers, models, services map[string]bool) {
	if math.IsNaN(k.Share) || k.Share <= 0 || k.Share > 1 {
		p.add(path+".share", "%g: expected a number above 0 and at most 1", k.Share)
	}
	p.references(path+".models", k.Models, models, "model")
	p.references(path+".services", k.Services, services, "service")
	own := make(map[string]bool)
	for i, t := range k.Tiers {
		at := fmt.Sprintf("%s.tiers[%d]", path, i)
		p.name(at+".tier", t.Tier, own)
		if t.Tier != "" && !tiers[t.Tier] {
			p.add(at+".tier", "%q: expected one of the document's tiers", t.Tier)
		}
		p.tierTerms(at, t)
	}
	if len(k.Tiers) == 0 {
		p.add(path+".tiers", "expected at least one tier")
	}
	if !own[k.DefaultTier] || k.DefaultTier == "" {
		p.add(path+".default-tier", "%q: expected one of the contract's tiers", k.DefaultTier)
	}
	p.routes(path, k, own)
}

// references checks that names are unique and defined by the document. The messages
// use what as the word for the named thing.
func (p *problems) references(path string, ns []string, all map[string]bool, what string) {
	seen := make(map[string]bool)
	for i, n := range ns {
		at := fmt.Sprintf("%s[%d]", path, i)
		p.name(at, n, seen)
		if n != "" && !all[n] {
			p.add(at, "%q: expected a %s of the document", n, what)
		}
	}
}

func (p *problems) tierTerms(at string, t *spec.TierTerms) {
	if t.DeadlineMs == 0 {
		p.add(at+".deadline-ms", "0: expected a number above 0")
	}
	switch t.Overload {
	case "", overloadRefuse, overloadWait:
	default:
		p.add(at+".overload", "%q: expected %q or %q", t.Overload, overloadRefuse, overloadWait)
	}
	if t.Event == nil {
		return
	}
	if _, err := time.Parse(time.RFC3339, t.Event.Start); err != nil {
		p.add(at+".event.start", "%q: expected a time like 2026-12-04T06:00:00+02:00", t.Event.Start)
	}
}

// routes checks a contract's routes. The set own holds the contract's tiers.
func (p *problems) routes(path string, k *spec.Contract, own map[string]bool) {
	seen := make(map[string]bool)
	for i, r := range k.Routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		if len(r.Path) == 0 || r.Path[0] != '/' {
			p.add(at+".path", "%q: expected a path that begins with /", r.Path)
		}
		if seen[r.Path] {
			p.add(at+".path", "%q: this path is used twice", r.Path)
		}
		seen[r.Path] = true
		if r.Tier != "" && !own[r.Tier] {
			p.add(at+".tier", "%q: expected one of the contract's tiers", r.Tier)
		}
		if r.RequireId && !r.NonIdempotent {
			p.add(at+".require-id", "true: expected non-idempotent to be true as well")
		}
	}
}
