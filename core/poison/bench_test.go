package poison

import (
	"fmt"
	"testing"
	"time"
)

// suspected returns a table with n suspected parts and 20 parts of a request.
func suspected(n int) (*Table, []Part) {
	b := New()
	for i := range n {
		for c := range 2 {
			b.Crash(0, CrashID(100*i+c), []Part{PartOf(fmt.Sprint("suspect-", i))})
		}
	}
	var ps []Part
	for i := range 20 {
		ps = append(ps, PartOf(fmt.Sprint("part-", i)))
	}
	return b, ps
}

// BenchmarkSound measures an answer to a request without suspected parts, and one with one.
func BenchmarkSound(b *testing.B) {
	for _, n := range []int{0, 50} {
		t, ps := suspected(n)
		b.Run(fmt.Sprint("suspects=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.Sound(time.Second, ps)
			}
		})
	}
	t, ps := suspected(50)
	ps[0] = PartOf("suspect-1")
	now := time.Second
	b.Run("suspected", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now++
			t.Sound(now, ps)
		}
	})
}

// BenchmarkCheck measures a check with nothing due, and one after a change.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{0, 50} {
		t, _ := suspected(n)
		b.Run(fmt.Sprint("suspects=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.Check(time.Second)
			}
		})
		b.Run(fmt.Sprintf("suspects=%d/changed", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.due = never
				t.Check(time.Second)
			}
		})
	}
}
