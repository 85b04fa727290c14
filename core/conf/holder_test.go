package conf_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/conf"
	"kingcupstand/internal/prop"
)

// text returns a document of a revision. Contents of one revision may differ, and
// a document may be bad.
func text(revision, content int, bad bool) []byte {
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

// TestPropertyHolder gives a few processes documents in any order, from a service
// that may be stale and from each other, and replaces processes. The revision in
// force never falls anywhere, and a replaced process catches up from any peer.
func TestPropertyHolder(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		hs := []*conf.Holder{conf.NewHolder(), conf.NewHolder(), conf.NewHolder()}
		pick := func(l string) int { return rapid.IntRange(0, len(hs)-1).Draw(t, l) }
		accept := func(h *conf.Holder, b []byte) {
			before := h.Config().Revision()
			changed, err := h.Accept(b)
			after := h.Config().Revision()
			if after < before || changed != (after > before) {
				t.Fatalf("revision %d became %d, changed %v, %v", before, after, changed, err)
			}
			if errors.Is(err, conf.ErrRejected) && after != before {
				t.Fatalf("a rejected document changed revision %d to %d", before, after)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"service": func(t *rapid.T) {
				b := text(rapid.IntRange(0, 9).Draw(t, "revision"), rapid.IntRange(0, 1).Draw(t, "content"), rapid.Bool().Draw(t, "bad"))
				accept(hs[pick("process")], b)
			},
			"peers": func(*rapid.T) {
				a, b := hs[pick("from")], hs[pick("to")]
				if a.Config().Revision() == 0 {
					return
				}
				accept(b, a.Config().Text())
				if b.Config().Revision() < a.Config().Revision() {
					t.Fatalf("a peer at %d did not take revision %d", b.Config().Revision(), a.Config().Revision())
				}
			},
			"replace": func(*rapid.T) { hs[pick("process")] = conf.NewHolder() },
		})
	})
}

// FuzzParseDocument checks that no document is taken that the same check would
// refuse once it was passed on to a peer.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte("revision: 1"))
	f.Add(text(1, 1, false))
	f.Add(text(1, 1, true))
	f.Add([]byte("tiers: [{rank: 1}, {name: [}]"))
	f.Add([]byte("revision: 1\nrevision: 2"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, ps := conf.ParseDocument(b)
		if (c == nil) != (len(ps) > 0) {
			t.Fatalf("config %v with problems %v", c, ps)
		}
		if c == nil {
			return
		}
		if d, ps := conf.ParseDocument(c.Text()); d == nil || d.Revision() != c.Revision() {
			t.Fatalf("the text in force is refused: %v", ps)
		}
	})
}

// FuzzParseSettings checks that settings and instance lists are accepted or
// refused with a reason, whatever they hold.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`name: a`))
	f.Add([]byte(`{name: a, data-centre: b, listen: {http: "127.0.0.1:1", peer: "127.0.0.1:2"}, platform: {url: "http://a"}}`))
	f.Add([]byte(`{version: 1, instances: [{name: a, role: entry, peer: "127.0.0.1:1", state: live}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, ps := conf.ParseSettings(b); (s == nil) != (len(ps) > 0) {
			t.Fatalf("settings %v with problems %v", s, ps)
		}
		if l, ps := conf.ParseInstances(b); (l == nil) != (len(ps) > 0) {
			t.Fatalf("instances %v with problems %v", l, ps)
		}
	})
}
