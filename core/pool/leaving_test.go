package pool_test

import (
	"errors"
	"testing"

	"kingcupstand/core/pool"
)

// What a process says in its responses holds whatever the list says, also while it is not
// listed, and ends with the process.
func TestLeavingHoldsUntilProcessEnds(t *testing.T) {
	a := engine("a")
	a.Born = 1
	said := pool.Choice{ID: "a", Address: "a", Born: 1}
	born, moved := a, a
	born.Born, moved.Address = 2, "b"
	for _, c := range []struct {
		name   string
		change func(*pool.Pool)
		want   error
	}{
		{"said", func(p *pool.Pool) { p.ObserveLeaving(said) }, pool.ErrNoTarget},
		{"listed again", func(p *pool.Pool) {
			p.ObserveLeaving(said)
			p.SetTargets([]pool.Target{a})
		}, pool.ErrNoTarget},
		{"not listed for a while", func(p *pool.Pool) {
			p.ObserveLeaving(said)
			p.SetTargets(nil)
			p.SetTargets([]pool.Target{a})
		}, pool.ErrNoTarget},
		{"said while not listed", func(p *pool.Pool) {
			p.SetTargets(nil)
			p.ObserveLeaving(said)
			p.SetTargets([]pool.Target{a})
		}, pool.ErrNoTarget},
		{"new process", func(p *pool.Pool) {
			p.ObserveLeaving(said)
			p.SetTargets([]pool.Target{born})
		}, nil},
		{"new address", func(p *pool.Pool) {
			p.ObserveLeaving(said)
			p.SetTargets([]pool.Target{moved})
		}, nil},
		{"new process after a while", func(p *pool.Pool) {
			p.ObserveLeaving(said)
			p.SetTargets(nil)
			p.SetTargets([]pool.Target{born})
		}, nil},
		{"late answer of the old process", func(p *pool.Pool) {
			p.SetTargets([]pool.Target{born})
			p.ObserveLeaving(said)
		}, nil},
	} {
		p := newPool(1, a)
		c.change(p)
		if _, err := p.Choose(0, prompt(1)); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
		if n, want := len(p.Withheld(0)), c.want != nil; (n == 1) != want {
			t.Errorf("%s: got %d withheld targets", c.name, n)
		}
	}
}

func TestLeavingIsNewOnce(t *testing.T) {
	p, c := newPool(1, engine("a")), pool.Choice{ID: "a", Address: "a"}
	for i, want := range []bool{true, false} {
		if got := p.ObserveLeaving(c); got != want {
			t.Errorf("answer %d: got %v, want %v", i+1, got, want)
		}
	}
}
