package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/internal/prop"
)

// The pattern is one workspace that sends many times its allowance to fronts which
// a partition splits at any moment. All sides together stay within rate and burst,
// beyond what beats are late by.
func TestHotWorkspaceAcrossAPartition(t *testing.T) {
	const (
		rate, burst = 1000.0, 1000.0
		step        = 10 * time.Millisecond
		cost        = 20.0
		length      = 16 * time.Second
	)
	prop.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "fronts")
		cut := time.Duration(rapid.IntRange(0, 8000).Draw(t, "cut")) * time.Millisecond
		heal := cut + time.Duration(rapid.IntRange(0, 8000).Draw(t, "length"))*time.Millisecond
		side := rapid.IntRange(1, n-1).Draw(t, "side")
		qs := make([]*quota.Limiter, n)
		for i := range qs {
			qs[i] = quota.New(pool.Hash)
			qs[i].Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
		}
		same := func(now time.Duration, i, j int) bool { return now < cut || now >= heal || (i < side) == (j < side) }
		used := 0.0
		for now := time.Duration(0); now < length; now += step {
			for i, q := range qs {
				if _, ok := q.Take(now, "w", cost); ok {
					used += cost
				}
				if now%(100*time.Millisecond) != 0 {
					continue
				}
				heard := 0
				for j, p := range qs {
					if same(now, i, j) {
						heard++
					}
					if i != j && same(now, i, j) {
						p.Observe(now, string(rune('a'+i)), 1, false, q.Uses(now))
					}
				}
				q.SetFronts(now, heard, n)
			}
		}
		// Before it is noticed, each side fills at the full rate for a beat, and each
		// side's burst may be used once.
		if limit := rate*length.Seconds() + 2*burst + rate*0.2*float64(n) + cost*float64(n)*10; used > limit {
			t.Fatalf("used %.0f of at most %.0f", used, limit)
		}
		if !(used > 0.5*rate*length.Seconds()) {
			t.Fatalf("used only %.0f of %.0f", used, rate*length.Seconds())
		}
	})
}

// A peer that starts anew counts from zero; what its earlier life used stays used.
func TestPeerStartsAnew(t *testing.T) {
	q := quota.New(pool.Hash)
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 100}})
	h := pool.Hash("w")
	q.Observe(0, "p", 1, false, quota.Uses{})
	q.Observe(0, "p", 1, false, quota.Uses{h: {Used: 30, Level: 100}})
	q.Observe(0, "p", 2, false, quota.Uses{h: {Used: 5, Level: 100}})
	if got := q.State(0, "w").Level; got != 65 {
		t.Errorf("level %v, want 65", got)
	}
}

func TestRefusalSaysWhenThereIsRoom(t *testing.T) {
	q := quota.New(pool.Hash)
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 10}})
	for range 2 {
		if _, ok := q.Take(0, "w", 10); !ok {
			break
		}
	}
	wait, ok := q.Take(0, "w", 10)
	if ok || wait <= 0 {
		t.Fatalf("wait %v, ok %v", wait, ok)
	}
	if _, ok := q.Take(wait, "w", 10); !ok {
		t.Errorf("refused after the wait of %v", wait)
	}
	if _, ok := q.Take(0, "without-allowance", 1e9); !ok {
		t.Error("a workspace without allowance was refused")
	}
}

// The pattern is a rolling restart under load: a front that starts hears what the
// others have used since their own start, long before. That is no use of now.
func TestFrontThatStartsLate(t *testing.T) {
	q := quota.New(pool.Hash)
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 100}})
	h := pool.Hash("w")
	q.Observe(0, "p", 1, false, quota.Uses{h: {Used: 1e6, Level: 100}})
	if got := q.State(0, "w").Level; got != 100 {
		t.Errorf("level %v after an old front was first heard, want 100", got)
	}
	q.Observe(0, "p", 1, false, quota.Uses{h: {Used: 1e6 + 30, Level: 100}})
	if got := q.State(0, "w").Level; got != 70 {
		t.Errorf("level %v, want 70", got)
	}
}

// What a peer used behind a partition was kept free by filling at a part of the
// rate; it is not charged once more when the partition heals.
func TestPeerAfterAPartition(t *testing.T) {
	q := quota.New(pool.Hash)
	q.Configure(0, []*plan.Workspace{{Name: "w", Rate: 10, Burst: 100}})
	h := pool.Hash("w")
	q.Observe(0, "p", 1, false, quota.Uses{h: {Used: 0, Level: 100}})
	q.SetFronts(time.Second, 1, 2)
	back := 8 * time.Second
	q.Observe(back, "p", 1, false, quota.Uses{h: {Used: 5000, Level: 100}})
	if got := q.State(back, "w").Level; got != 100 {
		t.Errorf("level %v after the partition, want 100", got)
	}
}

// The pattern is a kill of all fronts at once while one workspace sends many times
// its allowance: each front starts with a full burst, but what the others use from
// their start on is charged from the first beat.
func TestHotWorkspaceAfterAKillOfAllFronts(t *testing.T) {
	const n, rate, burst, cost = 20, 1000.0, 1000.0, 20.0
	// Fronts that start together need a few beats to find each other by their seeds.
	const found = 500 * time.Millisecond
	qs := make([]*quota.Limiter, n)
	for i := range qs {
		qs[i] = quota.New(pool.Hash)
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
						p.Observe(now, string(rune('a'+i)), 2, now < 5*time.Second, q.Uses(now))
					}
				}
			}
		}
	}
	// The allowance, and what all fronts take between two beats.
	if limit := rate*8 + burst + n*cost*5*2; used > limit {
		t.Errorf("used %.0f of at most %.0f", used, limit)
	}
}

// The pattern is a rolling restart while one workspace sends many times its
// allowance: a front that starts does not bring a full burst with it each time.
func TestHotWorkspaceInARollingRestart(t *testing.T) {
	const n, rate, burst, cost = 20, 1000.0, 1000.0, 20.0
	start := func() *quota.Limiter {
		q := quota.New(pool.Hash)
		q.Configure(0, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
		return q
	}
	qs := make([]*quota.Limiter, n)
	lives := make([]uint64, n)
	since := make([]time.Duration, n)
	for i := range qs {
		qs[i] = start()
	}
	used := 0.0
	for now := time.Duration(0); now < 8*time.Second; now += 50 * time.Millisecond {
		if i := int(now / (400 * time.Millisecond)); now%(400*time.Millisecond) == 0 && i > 0 && i < n {
			qs[i], since[i] = start(), now
			qs[i].Configure(now, []*plan.Workspace{{Name: "w", CountsTokens: true, Rate: rate, Burst: burst}})
			lives[i]++
		}
		for i, q := range qs {
			if _, ok := q.Take(now, "w", cost); ok {
				used += cost
			}
			if now%(250*time.Millisecond) == 0 {
				for j, p := range qs {
					if i != j {
						p.Observe(now, string(rune('a'+i)), lives[i], now-since[i] < time.Second, q.Uses(now))
					}
				}
			}
		}
	}
	// The allowance, and what is left to overshoot by the users' rule: a quarter.
	if limit := (rate*8 + burst) * 1.25; used > limit {
		t.Errorf("used %.0f of at most %.0f", used, limit)
	}
}
