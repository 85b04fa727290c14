package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/peers"
	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/internal/prop"
)

// window is the window of the tests' allowances.
const window = 8 * time.Second

// random returns a source of random numbers that is the same in each run.
func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// One workspace sends many times its allowance to fronts that a partition splits for a
// while. The usage of all sides together exceeds rate and burst by no more than what
// the delay of heartbeats accounts for.
func TestAllowanceHoldsAcrossPartition(t *testing.T) {
	const (
		rate, burst = 1000.0, 1000.0
		step        = 10 * time.Millisecond
		cost        = 20.0
		length      = 16 * time.Second
	)
	prop.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "fronts")
		split := time.Duration(rapid.IntRange(0, 8000).Draw(t, "cut")) * time.Millisecond
		heal := split + time.Duration(rapid.IntRange(0, 8000).Draw(t, "length"))*time.Millisecond
		side := rapid.IntRange(1, n-1).Draw(t, "side")
		qs := make([]*quota.Limiter, n)
		for i := range qs {
			qs[i] = quota.New(pool.Hash, window, true, random())
			qs[i].Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
		}
		same := func(now time.Duration, i, j int) bool { return now < split || now >= heal || (i < side) == (j < side) }
		used := 0.0
		received := make([][6]time.Duration, n) // when the last heartbeat came, by sender and receiver
		var recent []float64                    // usage by step
		for now := time.Duration(0); now < length; now += step {
			recent = append(recent, 0)
			for i, q := range qs {
				if _, ok := q.Take(now, "w", cost); ok {
					used += cost
					recent[len(recent)-1] += cost
				}
				if now%(100*time.Millisecond) != 0 {
					continue
				}
				live := 0
				for j, p := range qs {
					if same(now, i, j) {
						live++
					}
					if i != j && same(now, i, j) {
						p.Observe(now, string(rune('a'+i)), quota.Report{Incarnation: 1, Continuous: now-received[i][j] <= peers.AliveFor, Uses: q.Uses(now)})
						received[i][j] = now
					}
				}
				q.SetFronts(now, live, n)
			}
		}
		// In any window the users accept a quarter more than the allowance.
		if m := maxSum(recent, int(window/step)); m > 1.25*(rate*window.Seconds()+burst) {
			t.Fatalf("used %.0f in a window, want at most 1.25 times the allowance of %.0f", m, rate*window.Seconds()+burst)
		}
		// Until the partition is detected, at the next heartbeat, each side fills at the
		// full rate. Each side may also use a full burst once.
		if limit := rate*length.Seconds() + 2*burst + rate*0.2*float64(n) + cost*float64(n)*10; used > limit {
			t.Fatalf("used %.0f, want at most %.0f", used, limit)
		}
		if !(used > 0.5*rate*length.Seconds()) {
			t.Fatalf("used only %.0f, want more than half of %.0f", used, rate*length.Seconds())
		}
	})
}

// maxSum returns the largest sum of n successive values.
func maxSum(vs []float64, n int) float64 {
	sum, most := 0.0, 0.0
	for i, v := range vs {
		sum += v
		if i >= n {
			sum -= vs[i-n]
		}
		most = max(most, sum)
	}
	return most
}

// A workspace whose requests come in bursts gets all that its allowance permits in a
// window: its rate times the window and its burst. A token bucket with the same rate and
// burst would refuse a third of this load.
func TestBurstyWorkspaceGetsItsWindow(t *testing.T) {
	const rate, burst, cost = 1000.0, 4000.0, 100.0
	q := quota.New(pool.Hash, window, true, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
	// 10,000 in the first second of each window of 8 s; the allowance is 12,000.
	for _, start := range []time.Duration{window, 2*window + time.Second, 3*window + 2*time.Second} {
		for i := range 100 {
			now := start + time.Duration(i)*10*time.Millisecond
			if wait, ok := q.Take(now, "w", cost); !ok {
				t.Fatalf("refused at %v with a wait of %v, want no refusal", now, wait)
			}
		}
	}
	// The burst doesn't come back before the window has passed.
	now := 4*window + time.Second
	refused := 0
	for range 100 {
		if _, ok := q.Take(now, "w", cost); !ok {
			refused++
		}
	}
	if refused < 75 {
		t.Errorf("refused %d of 100 requests beyond the allowance, want at least 75", refused)
	}
}

// Guards against refunds adding to an allowance: in a rush all requests of a second are
// refused a second after they were charged, and the workspace goes on with ordinary load.
// When the charges leave the window, the refunds must not make room for more.
func TestRefundsDontAddToAllowance(t *testing.T) {
	const rate, burst, cost, step = 1000.0, 1000.0, 20.0, 10 * time.Millisecond
	q := quota.New(pool.Hash, window, true, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
	var used []float64
	charged := map[time.Duration]int{}
	for now := time.Duration(0); now < 4*window; now += step {
		used = append(used, 0)
		for range charged[now-time.Second] {
			q.Refund(now, "w", cost)
		}
		rush := now >= window && now < window+time.Second
		for range 20 {
			switch _, ok := q.Take(now, "w", cost); {
			case ok && rush:
				charged[now]++
			case ok:
				used[len(used)-1] += cost
			}
		}
	}
	if m := maxSum(used, int(window/step)); m > rate*window.Seconds()+burst+cost {
		t.Errorf("used %.0f in a window, want at most the allowance of %.0f", m, rate*window.Seconds()+burst)
	}
}

// A peer that restarts counts from zero. What its earlier incarnation used stays
// charged.
func TestRestartedPeerIsChargedFromZero(t *testing.T) {
	q := quota.New(pool.Hash, window, true, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 100}})
	h := pool.Hash("w")
	q.Observe(0, "p", quota.Report{Incarnation: 1, Continuous: true, Uses: quota.Uses{}})
	q.Observe(0, "p", quota.Report{Incarnation: 1, Continuous: true, Uses: quota.Uses{h: {Used: 30, Level: 100}}})
	q.Observe(0, "p", quota.Report{Incarnation: 2, Continuous: true, Uses: quota.Uses{h: {Used: 5, Level: 100}}})
	if got := q.State(0, "w").Level; got != 65 {
		t.Errorf("level %v, want 65", got)
	}
}

func TestRefusalReturnsWait(t *testing.T) {
	q := quota.New(pool.Hash, window, true, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 10}})
	for range 2 {
		if _, ok := q.Take(0, "w", 10); !ok {
			break
		}
	}
	wait, ok := q.Take(0, "w", 10)
	if ok || wait <= 0 {
		t.Fatalf("got wait %v, ok %v, want a refusal with a wait above 0", wait, ok)
	}
	if _, ok := q.Take(wait, "w", 10); !ok {
		t.Errorf("refused again after the returned wait of %v", wait)
	}
	if _, ok := q.Take(0, "without-allowance", 1e9); !ok {
		t.Error("a workspace without allowance was refused")
	}
}

// In a rolling restart, a front that starts receives the running totals of fronts that
// started long before. Only their growth from then on is charged.
func TestOldUsageOfPeersIsNotCharged(t *testing.T) {
	q := quota.New(pool.Hash, window, true, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 100}})
	h := pool.Hash("w")
	q.Observe(0, "p", quota.Report{Incarnation: 1, Continuous: true, Uses: quota.Uses{h: {Used: 1e6, Level: 100}}})
	if got := q.State(0, "w").Level; got != 100 {
		t.Errorf("level %v after the first heartbeat of an older peer, want 100", got)
	}
	q.Observe(0, "p", quota.Report{Incarnation: 1, Continuous: true, Uses: quota.Uses{h: {Used: 1e6 + 30, Level: 100}}})
	if got := q.State(0, "w").Level; got != 70 {
		t.Errorf("level %v, want 70", got)
	}
}

// During a partition the limit is a share of the allowance only, which leaves room for
// the peer's usage. It is not charged a second time when the partition heals.
func TestUsageDuringPartitionIsNotCharged(t *testing.T) {
	q := quota.New(pool.Hash, window, true, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 100}})
	h := pool.Hash("w")
	q.Observe(0, "p", quota.Report{Incarnation: 1, Continuous: true, Uses: quota.Uses{h: {Used: 0, Level: 100}}})
	q.SetFronts(time.Second, 1, 2)
	back := 8 * time.Second
	want := q.State(back, "w").Level
	q.Observe(back, "p", quota.Report{Incarnation: 1, Continuous: false, Uses: quota.Uses{h: {Used: 5000, Level: 100}}})
	if got := q.State(back, "w").Level; got != want {
		t.Errorf("level %v after the partition, want %v as before the heartbeat", got, want)
	}
}

// All fronts are killed at once while one workspace sends many times its allowance.
// Each front restarts with the burst, but the usage of the others since their start
// is charged with their first heartbeat.
func TestAllowanceHoldsAfterRestartOfAllFronts(t *testing.T) {
	const n, rate, burst, cost = 20, 1000.0, 1000.0, 20.0
	// Fronts that start together need a few heartbeats to find each other by their seeds.
	const found = 500 * time.Millisecond
	qs := make([]*quota.Limiter, n)
	for i := range qs {
		qs[i] = quota.New(pool.Hash, window, true, random())
		qs[i].Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
	}
	used := 0.0
	for now := time.Duration(0); now < 8*time.Second; now += 50 * time.Millisecond {
		for i, q := range qs {
			if _, ok := q.Take(now, "w", cost); ok {
				used += cost
			}
			if now >= found && now%(250*time.Millisecond) == 0 {
				for j, p := range qs {
					if i != j {
						p.Observe(now, string(rune('a'+i)), quota.Report{Incarnation: 2, Started: now < 5*time.Second, Continuous: true, Uses: q.Uses(now)})
					}
				}
			}
		}
	}
	// The allowance, and what all fronts take between two heartbeats.
	if limit := rate*8 + burst + n*cost*5*2; used > limit {
		t.Errorf("used %.0f, want at most %.0f", used, limit)
	}
}

// Fronts restart one after the other while one workspace sends many times its
// allowance. A front that restarts must not add a full burst each time.
func TestAllowanceHoldsInRollingRestart(t *testing.T) {
	const n, rate, burst, cost = 20, 1000.0, 1000.0, 20.0
	start := func() *quota.Limiter {
		q := quota.New(pool.Hash, window, true, random())
		q.Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
		return q
	}
	qs := make([]*quota.Limiter, n)
	incarnations := make([]uint64, n)
	started := make([]time.Duration, n)
	for i := range qs {
		qs[i] = start()
	}
	used := 0.0
	for now := time.Duration(0); now < 8*time.Second; now += 50 * time.Millisecond {
		if i := int(now / (400 * time.Millisecond)); now%(400*time.Millisecond) == 0 && i > 0 && i < n {
			qs[i], started[i] = start(), now
			qs[i].Configure(now, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
			incarnations[i]++
		}
		for i, q := range qs {
			if _, ok := q.Take(now, "w", cost); ok {
				used += cost
			}
			if now%(250*time.Millisecond) == 0 {
				for j, p := range qs {
					if i != j {
						p.Observe(now, string(rune('a'+i)), quota.Report{Incarnation: incarnations[i], Started: now-started[i] < time.Second, Continuous: true, Uses: q.Uses(now)})
					}
				}
			}
		}
	}
	// The allowance and a quarter, the overshoot that the users accept.
	if limit := (rate*8 + burst) * 1.25; used > limit {
		t.Errorf("used %.0f, want at most %.0f", used, limit)
	}
}

// In a large fleet a heartbeat reaches a given front every few seconds only. What its sender has
// used is charged all the same, so that the fleet keeps to the allowance.
func TestAllowanceHoldsAmongManyFronts(t *testing.T) {
	const (
		n           = 68
		recipients  = 24
		rate, burst = 20000.0, 20000.0
		cost        = 100.0
		step        = 50 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(1, 2))
	qs := make([]*quota.Limiter, n)
	for i := range qs {
		qs[i] = quota.New(pool.Hash, window, true, random())
		qs[i].Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
		qs[i].SetFronts(0, n, n)
	}
	var recent []float64
	for now := time.Duration(0); now < 4*window; now += step {
		recent = append(recent, 0)
		for i, q := range qs {
			// Each front is asked for twice its part of the allowance.
			for range 2 * int(rate*step.Seconds()/n/cost+r.Float64()) {
				if _, ok := q.Take(now, "w", cost); ok {
					recent[len(recent)-1] += cost
				}
			}
			if (now+time.Duration(i)*step)%(250*time.Millisecond) != 0 {
				continue
			}
			u := quota.Report{Incarnation: 1, Started: now < 5*time.Second, Continuous: true, Uses: q.Uses(now)}
			for _, j := range r.Perm(n)[:recipients] {
				if j != i {
					qs[j].Observe(now, fmt.Sprint(i), u)
				}
			}
		}
	}
	allowance := rate*window.Seconds() + burst
	if m := maxSum(recent, int(window/step)); m > 1.25*allowance || m < 0.8*allowance {
		t.Errorf("used %.0f in a window, want 0.8 to 1.25 times the allowance of %.0f", m, allowance)
	}
}

// All fronts of a fleet restart at once under many times the allowance of one workspace, and find
// each other within half a second. What they use until then stays within the overshoot that the
// users accept, and a workspace that keeps to its rate is not refused for it.
func TestAllowanceHoldsWhileFrontsFindEachOther(t *testing.T) {
	const (
		rate, burst = 100000.0, 100000.0
		cost        = 500.0
		step        = 10 * time.Millisecond
		found       = 500 * time.Millisecond
	)
	for _, n := range []int{4, 22, 68} {
		for _, demand := range []float64{1, 12} {
			r := rand.New(rand.NewPCG(1, 2))
			qs := make([]*quota.Limiter, n)
			for i := range qs {
				qs[i] = quota.New(pool.Hash, window, true, random())
				qs[i].Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
			}
			used, refused := 0.0, 0
			due := 0.0
			for now := time.Duration(0); now < 2*found; now += step {
				for due += demand * rate * step.Seconds() / cost; due >= 1; due-- {
					if _, ok := qs[r.IntN(n)].Take(now, "w", cost); ok {
						used += cost
					} else {
						refused++
					}
				}
				if now%(100*time.Millisecond) != 0 {
					continue
				}
				known := 1 + int(float64(n-1)*min(1, now.Seconds()/found.Seconds()))
				for i, q := range qs {
					q.SetFronts(now, known, known)
					u := quota.Report{Incarnation: 1, Started: true, Continuous: true, Uses: q.Uses(now)}
					for j := 1; j < known; j++ {
						qs[(i+j)%n].Observe(now, fmt.Sprint(i), u)
					}
				}
			}
			// The overshoot is a quarter of the allowance of a window.
			if most := burst + rate*(2*found).Seconds() + 0.25*(rate*window.Seconds()+burst); used > most {
				t.Errorf("%d fronts, %v times the rate: used %.0f, want at most %.0f", n, demand, used, most)
			}
			if demand == 1 && refused > 0 {
				t.Errorf("%d fronts: %d of 200 requests within the rate were refused, want none", n, refused)
			}
		}
	}
}

// A workspace that sends many times its allowance is refused at all fronts, until a little of its
// usage leaves the window at all of them at the same moment. What they use before they have heard
// of each other stays within the overshoot that the users accept.
func TestAllowanceHoldsWhenFrontsAdmitAgainAtOnce(t *testing.T) {
	const (
		rate, burst = 100000.0, 100000.0
		cost        = 1000.0
		demand      = 12.0
		step        = 10 * time.Millisecond
	)
	for _, n := range []int{4, 22, 68} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			qs := make([]*quota.Limiter, n)
			for i := range qs {
				qs[i] = quota.New(pool.Hash, window, true, random())
				qs[i].Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
				qs[i].SetFronts(0, n, n)
			}
			var recent []float64
			for now := time.Duration(0); now < 4*window; now += step {
				recent = append(recent, 0)
				d := 0.5 // the sustained load, and every ten seconds a rush
				if now%(10*time.Second) > 5*time.Second {
					d = demand
				}
				for range int(d*rate*step.Seconds()/cost + r.Float64()) {
					if _, ok := qs[r.IntN(n)].Take(now, "w", cost); ok {
						recent[len(recent)-1] += cost
					}
				}
				for i, q := range qs {
					if (now+time.Duration(i)*step)%(250*time.Millisecond) != 0 {
						continue
					}
					u := quota.Report{Incarnation: 1, Started: now < 5*time.Second, Continuous: true, Uses: q.Uses(now)}
					for _, j := range r.Perm(n)[:min(n, 24)] {
						if j != i {
							qs[j].Observe(now, fmt.Sprint(i), u)
						}
					}
				}
			}
			allowance := rate*window.Seconds() + burst
			if m := maxSum(recent, int(window/step)); m > 1.25*allowance || m < 0.9*allowance {
				t.Errorf("%d fronts used %.2f of the allowance in a window, want 0.9 to 1.25", n, m/allowance)
			}
		})
	}
}

// A front that has no peers may use all of an allowance from its start.
func TestFrontAloneUsesItsBurstAtOnce(t *testing.T) {
	const burst, cost = 1000.0, 150.0
	q := quota.New(pool.Hash, window, false, random())
	q.Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: 1, Burst: burst}})
	for used := cost; used <= burst; used += cost {
		if wait, ok := q.Take(0, "w", cost); !ok {
			t.Errorf("refused with a wait of %v at %.0f of %.0f", wait, used, burst)
		}
	}
}
