package pool_test

import (
	"math/rand/v2"
	"testing"

	"kingcupstand/core/pool"
)

// Guards against a stream that goes on at a process which has started under the ID of one that has ended, and
// whose version isn't listed yet.
func TestPinnedRequestAvoidsEndedProcess(t *testing.T) {
	for name, c := range map[string]struct {
		born, listed int64
		want         bool
	}{
		"ended":              {1, 1, false},
		"listed again":       {1, 2, true},
		"of unknown process": {0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := pool.New("z", rand.New(rand.NewPCG(1, 1)))
			set := func(born int64) {
				p.SetTargets([]pool.Target{{ID: "a", Address: "192.0.2.1:80", Service: "s", Slots: 4, Engine: true, Version: "v1", Born: born}})
			}
			set(c.born)
			v, err := p.Choose(0, pool.Criteria{Service: "s"})
			if err != nil {
				t.Fatal(err)
			}
			p.ObserveEnd(v)
			set(c.listed)
			if got := p.Admits(pool.Criteria{Service: "s", Pinned: true, Version: "v1"}); got != c.want {
				t.Errorf("admits a pinned request: %v, want %v", got, c.want)
			}
			if !p.Admits(pool.Criteria{Service: "s"}) {
				t.Error("admits no other request")
			}
		})
	}
}
