package memory_test

import (
	"testing"

	"pgregory.net/rapid"

	"kingcupstand/core/memory"
	"kingcupstand/internal/prop"
)

const limit = 64 << 20

// Pattern: long bodies of the least urgent requests fill a front. Guards against more urgent ones that are
// refused for them.
func TestLessUrgentBodiesLeaveRoom(t *testing.T) {
	a := memory.New(limit)
	for rank := 6; rank >= 0; rank-- {
		for a.Reserve(memory.Bodies, rank, 1<<20) {
		}
		if rank > 0 && rank <= 4 && !a.Reserve(memory.Bodies, rank-1, 1<<20) {
			t.Errorf("no room for rank %d beside rank %d", rank-1, rank)
		}
	}
	if n := a.Used(memory.Bodies); n != limit {
		t.Errorf("%d bytes are held, want %d", n, limit)
	}
	if !a.Reserve(memory.Bodies, 6, memory.Small-1) {
		t.Error("no room for a small body beside long ones")
	}
}

// Guards against a body that is longer than the account and would never be admitted.
func TestBodyLongerThanTheAccount(t *testing.T) {
	a := memory.New(limit)
	if !a.Reserve(memory.Bodies, 4, 2*limit) {
		t.Error("refused though nothing else is held")
	}
	if a.Reserve(memory.Responses, 0, 1<<20) {
		t.Error("admitted beside it")
	}
	a.Release(memory.Bodies, 2*limit)
	if !a.Reserve(memory.Responses, 0, 1<<20) {
		t.Error("refused after its release")
	}
}

func TestNoLimit(t *testing.T) {
	a := memory.New(0)
	for range 8 {
		if !a.Reserve(memory.Bodies, 4, limit) {
			t.Fatal("refused")
		}
	}
}

// Whatever is reserved and released, the account holds no more than its limit, but for small reservations and
// a single large one.
func TestPropertyAccountIsBounded(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		a := memory.New(limit)
		var held []int64
		var total int64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				a.Release(memory.Bodies, held[0])
				total -= held[0]
				held = held[1:]
				continue
			}
			n := int64(rapid.SampledFrom([]int{1 << 10, memory.Small, 1 << 20, 4 << 20, 16 << 20}).Draw(t, "size"))
			if a.Reserve(memory.Bodies, rapid.IntRange(0, 9).Draw(t, "rank"), n) {
				held, total = append(held, n), total+n
			}
			if total > limit+limit/4 || a.Used(memory.Bodies) != total {
				t.Fatalf("%d bytes are held, %d counted", total, a.Used(memory.Bodies))
			}
		}
	})
}
