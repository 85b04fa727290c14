package conf_test

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/conf"
	"kingcupstand/internal/prop"
)

// document returns a configuration document. Different numbers in content give
// different documents of the same revision; a bad document has an invalid share.
func document(revision, content int, bad bool) []byte {
	share := "1"
	if bad {
		share = "2"
	}
	return fmt.Appendf(nil, `revision: %d
tiers: [{name: dispatch, rank: 1}]
contracts:
  - workspace: w%d
    key-hashes: [%s]
    share: %s
    default-tier: dispatch
    tiers: [{tier: dispatch, deadline-ms: 1000}]
`, revision, content, conf.HashKey("k"), share)
}

// TestPropertyHolderRevisionNeverDecreases gives documents to three processes in
// random order, from a service that may be stale and from each other, and replaces
// processes by new ones, which have no document. The current revision of a process must
// never decrease, and a process must accept a newer document from any peer.
func TestPropertyHolderRevisionNeverDecreases(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		hs := []*conf.Holder{conf.NewHolder(), conf.NewHolder(), conf.NewHolder()}
		pick := func(l string) int { return rapid.IntRange(0, len(hs)-1).Draw(t, l) }
		accept := func(h *conf.Holder, b []byte) {
			before := h.Config().Revision()
			changed, err := h.Accept(b)
			after := h.Config().Revision()
			if after < before || changed != (after > before) {
				t.Fatalf("revision %d became %d, changed = %v, err = %v", before, after, changed, err)
			}
			if errors.Is(err, conf.ErrRejected) && after != before {
				t.Fatalf("rejected document changed revision %d to %d", before, after)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"service": func(t *rapid.T) {
				b := document(rapid.IntRange(0, 9).Draw(t, "revision"), rapid.IntRange(0, 1).Draw(t, "content"), rapid.Bool().Draw(t, "bad"))
				accept(hs[pick("process")], b)
			},
			"peers": func(*rapid.T) {
				a, b := hs[pick("from")], hs[pick("to")]
				if a.Config().Revision() == 0 {
					return
				}
				accept(b, a.Config().Text())
				if b.Config().Revision() < a.Config().Revision() {
					t.Fatalf("peer at revision %d did not accept revision %d", b.Config().Revision(), a.Config().Revision())
				}
			},
			"replace": func(*rapid.T) { hs[pick("process")] = conf.NewHolder() },
		})
	})
}

// FuzzParseDocument checks that a document is either accepted or rejected with
// problems, and that the text of an accepted one is accepted again, as by a peer that
// receives it.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte("revision: 1"))
	f.Add(document(1, 1, false))
	f.Add(document(1, 1, true))
	f.Add([]byte("tiers: [{rank: 1}, {name: [}]"))
	f.Add([]byte("revision: 1\nrevision: 2"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, ps := conf.ParseDocument(b)
		if (c == nil) != (len(ps) > 0) {
			t.Fatalf("got config %v and problems %v, want exactly one of them", c, ps)
		}
		if c == nil {
			return
		}
		if d, ps := conf.ParseDocument(c.Text()); d == nil || d.Revision() != c.Revision() {
			t.Fatalf("text of an accepted document is rejected: %v", ps)
		}
	})
}

// FuzzParseSettings checks that settings and instance lists are either accepted or
// rejected with problems.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`name: a`))
	f.Add([]byte(`{name: a, data-centre: b, listen: {http: "127.0.0.1:1", peer: "127.0.0.1:2"}, platform: {url: "http://a"}}`))
	f.Add([]byte(`{version: 1, instances: [{name: a, role: entry, peer: "127.0.0.1:1", state: live}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, ps := conf.ParseSettings(b); (s == nil) != (len(ps) > 0) {
			t.Fatalf("got settings %v and problems %v, want exactly one of them", s, ps)
		}
		if l, ps := conf.ParseInstances(b); (l == nil) != (len(ps) > 0) {
			t.Fatalf("got instances %v and problems %v, want exactly one of them", l, ps)
		}
	})
}

// Guards against processes that accept no further configuration after one with the highest revision that can
// be written.
func TestHighestRevisionEndsNoChanges(t *testing.T) {
	h := conf.NewHolder()
	if _, err := h.Accept(document(math.MaxInt64, 1, false)); !errors.Is(err, conf.ErrRejected) {
		t.Errorf("got error %v, want ErrRejected", err)
	}
	if ok, err := h.Accept(document(3, 1, false)); !ok || err != nil {
		t.Errorf("revision 3: got %v, error %v, want it accepted", ok, err)
	}
}
