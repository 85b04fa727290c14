package share_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/share"
	"kingcupstand/internal/prop"
)

func targets(n, slots int) []share.Target {
	var ts []share.Target
	for i := range n {
		ts = append(ts, share.Target{ID: fmt.Sprintf("target-%d", i), Slots: slots})
	}
	return ts
}

func fronts(weights ...float64) []share.Front {
	var fs []share.Front
	for i, w := range weights {
		fs = append(fs, share.Front{Name: fmt.Sprintf("front-%d", i), Weight: w})
	}
	return fs
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Fronts with the same view assign each slot to exactly one front.
func TestEachSlotHasOneOwner(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		fs := fronts(rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 12).Draw(t, "weights")...)
		ts := targets(rapid.IntRange(1, 20).Draw(t, "targets"), 12)
		got := map[string]int{}
		for _, f := range fs {
			for id, n := range share.Assigned(f.Name, fs, ts) {
				got[id] += n
			}
		}
		for _, x := range ts {
			if got[x.ID] != x.Slots {
				t.Fatalf("%s: got %d assigned slots, want %d", x.ID, got[x.ID], x.Slots)
			}
		}
	})
}

// Each front's share of 504 slots follows its demand, within the error of hashing.
func TestSharesFollowDemand(t *testing.T) {
	fs, ts := fronts(40, 20, 20, 10, 10), targets(42, 12)
	for i, want := range []float64{0.4, 0.2, 0.2, 0.1, 0.1} {
		if got := float64(sum(share.Assigned(fs[i].Name, fs, ts))) / 504; math.Abs(got-want) > 0.05 {
			t.Errorf("front %d: got %.2f of the slots, want %.2f", i, got, want)
		}
	}
}

// The loss of a front reassigns only its own slots.
func TestLossOfFrontMovesOnlyItsSlots(t *testing.T) {
	fs, ts := fronts(10, 10, 10, 10, 10), targets(42, 12)
	for _, f := range fs[1:] {
		before, after := share.Assigned(f.Name, fs, ts), share.Assigned(f.Name, fs[1:], ts)
		for id, n := range before {
			if after[id] < n {
				t.Errorf("%s lost slots of %s", f.Name, id)
			}
		}
	}
}

func BenchmarkAssigned(b *testing.B) {
	w := make([]float64, 23)
	for i := range w {
		w[i] = float64(i + 1)
	}
	fs, ts := fronts(w...), targets(42, 12)
	for b.Loop() {
		share.Assigned("front-3", fs, ts)
	}
}

// The nearest names are the same in any order of the names, and change by one place if a name
// goes.
func TestNearest(t *testing.T) {
	ns := []string{"a", "b", "c", "d", "e", "f"}
	for key := range uint64(50) {
		near := share.Nearest(key, ns, 3)
		if got := share.Nearest(key, []string{"f", "e", "d", "c", "b", "a"}, 3); !slices.Equal(got, near) {
			t.Fatalf("key %d: got %v and %v", key, near, got)
		}
		rest := slices.DeleteFunc(slices.Clone(ns), func(n string) bool { return n == near[0] })
		if got := share.Nearest(key, rest, 3); !slices.Equal(got[:2], near[1:]) {
			t.Errorf("key %d without %s: got %v after %v", key, near[0], got, near)
		}
	}
	if got := share.Nearest(1, ns[:2], 3); len(got) != 2 {
		t.Errorf("got %v, want both names", got)
	}
}

// Guards against a control loop that is busy for minutes with a target that names a huge number of
// slots: each slot still has one owner.
func TestCostDoesNotGrowWithSlots(t *testing.T) {
	fs := fronts(40, 20, 20, 10, 10)
	for _, slots := range []int{0, 1, 12, 127, 128, 129, 1000, 1 << 16, math.MaxUint32} {
		got := map[string]int{}
		start := time.Now()
		for _, f := range fs {
			for id, n := range share.Assigned(f.Name, fs, targets(3, slots)) {
				got[id] += n
			}
		}
		if d := time.Since(start); d > time.Second {
			t.Errorf("%d slots: assigned in %v", slots, d)
		}
		if n := sum(got); n != 3*slots {
			t.Errorf("%d slots: got %d assigned slots, want %d", slots, n, 3*slots)
		}
	}
}
