package pool_test

import (
	"errors"
	"testing"

	"kingcupstand/core/pool"
)

// A pinned request goes to its version only, also if all targets of that version are full or
// suspended, and never to a target of unknown version.
func TestPinnedRequestKeepsVersion(t *testing.T) {
	a, b, u := engine("a"), engine("b"), engine("u")
	a.Version, b.Version = "v1", "v2"
	for _, c := range []struct {
		version string
		prepare func(*pool.Pool)
		want    string
		err     error
	}{
		{"v1", func(*pool.Pool) {}, "a", nil},
		{"v2", func(*pool.Pool) {}, "b", nil},
		{"v1", func(p *pool.Pool) { p.MarkStalled(0, "a") }, "a", nil},
		{"v1", func(p *pool.Pool) { p.SetPeer("x", []pool.Use{{Target: pool.Hash("a"), Running: 13}}) }, "", pool.ErrFull},
		{"v3", func(*pool.Pool) {}, "", pool.ErrNoTarget},
		{"", func(*pool.Pool) {}, "", pool.ErrNoTarget},
	} {
		p := newPool(1, a, b, u)
		c.prepare(p)
		for range 20 {
			q := prompt(100)
			q.Pinned, q.Version = true, c.version
			if g, err := p.Choose(0, q); g.ID != c.want || !errors.Is(err, c.err) {
				t.Fatalf("version %q: got %q, %v, want %q, %v", c.version, g.ID, err, c.want, c.err)
			}
		}
	}
	p := newPool(1, a, u)
	for _, c := range []struct {
		version string
		exclude []string
		want    bool
	}{{"v1", nil, true}, {"v2", nil, false}, {"", nil, false}, {"v1", []string{"a"}, false}} {
		if got := p.Admits(pool.Criteria{Service: "llm", Pinned: true, Version: c.version, Exclude: c.exclude}); got != c.want {
			t.Errorf("version %q without %v: got %v, want %v", c.version, c.exclude, got, c.want)
		}
	}
}
