package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcupstand/core/pool"
	"kingcupstand/core/queue"
	"kingcupstand/core/sched"
)

// BenchmarkNext measures the attempt to dispatch a request while all engines are full, which a
// front makes with each heartbeat that it receives in an overload.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{23, 68, 370, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			p := pool.New("dc", r)
			s := sched.New[int](p, r)
			var ts []pool.Target
			for i := range 2 * n {
				ts = append(ts, pool.Target{ID: fmt.Sprint(i), Service: "chat", Slots: 8, Engine: true})
			}
			p.SetTargets(ts)
			uses := make([][]pool.Use, n)
			for i := range 16 * n {
				uses[i%n] = append(uses[i%n], pool.Use{Target: pool.Hash(fmt.Sprint(i / 8)), Running: 1, PromptTokens: 100})
			}
			for i := range n {
				a := fmt.Sprintf("front-%d", i)
				p.SetPeer(a, uses[i])
				s.SetPeer(a, sched.Report{Waiting: map[sched.WaitKey]int{{Service: pool.Hash("chat"), Priority: queue.Priority{RouteRank: 1}}: 3}})
			}
			s.SetFronts(n, n)
			s.Enqueue(0, sched.Request{Criteria: pool.Criteria{Service: "chat", PromptTokens: 1000}}, 1)
			for b.Loop() {
				if _, ok := s.Next(0, "chat"); ok {
					b.Fatal("dispatched to a full engine")
				}
			}
		})
	}
}
