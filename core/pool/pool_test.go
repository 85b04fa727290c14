package pool_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kingcupstand/core/pool"
)

const dataCentre = "z1"

func engine(id string) pool.Target {
	return pool.Target{ID: id, Address: id, Service: "llm", DataCentre: dataCentre, Slots: 12, Engine: true}
}

func newPool(seed uint64, ts ...pool.Target) *pool.Pool {
	p := pool.New(dataCentre, rand.New(rand.NewPCG(seed, seed)))
	p.SetTargets(ts)
	return p
}

func prompt(tokens int) pool.Criteria { return pool.Criteria{Service: "llm", PromptTokens: tokens} }

// Guards against overload of a target that returns in a burst: 20 fronts with many
// queued requests see it empty at the same moment, before any heartbeat. Together they
// must not send much more than it has slots for.
func TestReturningTargetIsNotOverloaded(t *testing.T) {
	const fronts = 20
	sent := 0
	for f := range fronts {
		p := newPool(uint64(f), engine("back"))
		p.SetOwnSlots(map[string]int{"back": 0})
		p.RefillCredits(0, fronts)
		for range 50 {
			c, err := p.Choose(0, prompt(600))
			if err != nil {
				break
			}
			p.Begin(0, c.ID, 600)
			sent++
		}
	}
	// Each front may send one request to a new target before the first heartbeats.
	if sent > fronts {
		t.Errorf("%d requests were sent to 12 slots, want at most 20", sent)
	}
}

// A front fills its own slots at once, and at most one other before the next
// round of heartbeats.
func TestOwnSlotsAreFilledAtOnce(t *testing.T) {
	p := newPool(1, engine("a"))
	p.RefillCredits(0, 20)
	p.SetOwnSlots(map[string]int{"a": 5})
	n := 0
	for ; ; n++ {
		c, err := p.Choose(0, prompt(100))
		if err != nil {
			break
		}
		p.Begin(0, c.ID, 100)
	}
	if n < 5 || n > 6 {
		t.Errorf("%d requests were sent with 5 own slots, want 5 or 6", n)
	}
}

// Guards against a thundering herd: fronts with the same stale view of equal targets
// must not all choose the same one.
func TestFrontsWithTheSameViewSpread(t *testing.T) {
	n := map[string]int{}
	for f := range 40 {
		var ts []pool.Target
		for i := range 8 {
			ts = append(ts, engine(fmt.Sprintf("t%d", i)))
		}
		c, err := newPool(uint64(f), ts...).Choose(0, prompt(600))
		if err != nil {
			t.Fatal(err)
		}
		n[c.ID]++
	}
	for id, k := range n {
		if k > 16 {
			t.Errorf("%s got %d of 40 requests, want at most 16", id, k)
		}
	}
}

func TestLoadOfPeersCounts(t *testing.T) {
	p := newPool(1, engine("a"), engine("b"))
	p.SetPeer("peer", []pool.Use{{Target: pool.Hash("a"), Running: 12}})
	for range 10 {
		c, err := p.Choose(0, prompt(100))
		if err != nil || c.ID != "b" {
			t.Fatalf("got %v, %v, want target b", c, err)
		}
	}
	p.RemovePeer("peer")
	p.SetPeer("peer", []pool.Use{{Target: pool.Hash("b"), Running: 12}})
	if c, err := p.Choose(0, prompt(100)); err != nil || c.ID != "a" {
		t.Errorf("got %v, %v, want target a", c, err)
	}
	p.SetPeer("other", []pool.Use{{Target: pool.Hash("a"), Running: 12}})
	if _, err := p.Choose(0, prompt(100)); !errors.Is(err, pool.ErrFull) {
		t.Errorf("got %v, want ErrFull", err)
	}
}

// Guards against a target that becomes unreachable under load getting more than one
// request after each backoff, which doubles. Requests keep going to the other target.
func TestUnreachableTargetIsProbedWithBackoff(t *testing.T) {
	p := newPool(1, engine("unreachable"), engine("healthy"))
	tried := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		c, err := p.Choose(now, prompt(600))
		if err != nil {
			t.Fatal(err)
		}
		p.Begin(now, c.ID, 600)
		if c.ID == "unreachable" {
			tried++
			p.End(now, c.ID, 600, pool.Unreachable)
			continue
		}
		p.ObserveFirstByte(now, c.ID, 600, c.PrefillTokens, 20*time.Millisecond)
		p.End(now, c.ID, 0, pool.Good)
	}
	if tried < 3 || tried > 10 {
		t.Errorf("the unreachable target got %d requests in 10 s, want 3 to 10", tried)
	}
}

func TestProbesWhenAllTargetsAreSuspended(t *testing.T) {
	p := newPool(1, engine("a"), engine("b"))
	for _, id := range []string{"a", "b"} {
		p.Begin(0, id, 1)
		p.End(0, id, 1, pool.Broken)
	}
	c, err := p.Choose(1, prompt(100))
	if err != nil {
		t.Fatal(err)
	}
	p.Begin(1, c.ID, 100)
	d, err := p.Choose(1, prompt(100))
	if err != nil || d.ID == c.ID {
		t.Fatalf("second choice: got %v, %v, want the other target", d, err)
	}
	p.Begin(1, d.ID, 100)
	if _, err := p.Choose(1, prompt(100)); err == nil {
		t.Error("a suspended target got two requests at once")
	}
}

// A target whose responses are slower than those of the others gets few requests, and is
// used again once its measured slowdown has decayed.
func TestSlowTargetIsAvoidedAndTriedAgain(t *testing.T) {
	p := newPool(1, engine("slow"), engine("fast"))
	count := func(from, to time.Duration, slow time.Duration) int {
		n := 0
		for now := from; now < to; now += 100 * time.Millisecond {
			c, err := p.Choose(now, prompt(1000))
			if err != nil {
				t.Fatal(err)
			}
			p.Begin(now, c.ID, 1000)
			d := 30 * time.Millisecond
			if c.ID == "slow" {
				d = slow
				n++
			}
			p.ObserveFirstByte(now, c.ID, 1000, c.PrefillTokens, d)
			p.End(now, c.ID, 0, pool.Good)
		}
		return n
	}
	count(0, 2*time.Second, 240*time.Millisecond)
	if n := count(2*time.Second, 6*time.Second, 240*time.Millisecond); n > 8 {
		t.Errorf("the slow target got %d of 40 requests, want at most 8", n)
	}
	if n := count(40*time.Second, 44*time.Second, 30*time.Millisecond); n < 5 {
		t.Errorf("the recovered target got %d of 40 requests, want at least 5", n)
	}
}

func TestRestartedTargetIsNew(t *testing.T) {
	a := engine("a")
	p := newPool(1, a)
	p.Begin(0, "a", 100)
	a.Born = 7
	p.SetTargets([]pool.Target{a})
	if l := p.Load(0, "llm"); l.OwnRunning != 0 {
		t.Errorf("got %d requests in flight at a restarted target, want 0", l.OwnRunning)
	}
	if c, err := p.Choose(0, prompt(1)); err != nil || c.Born != 7 {
		t.Errorf("got %v, %v, want Born 7", c, err)
	}
}

func TestLeavingTargetIsNotChosen(t *testing.T) {
	a := engine("a")
	a.Leaving = true
	if _, err := newPool(1, a).Choose(0, prompt(1)); !errors.Is(err, pool.ErrNoTarget) {
		t.Errorf("got %v, want ErrNoTarget", err)
	}
}

func BenchmarkChoose(b *testing.B) {
	var ts []pool.Target
	for i := range 42 {
		ts = append(ts, engine(fmt.Sprintf("t%d", i)))
	}
	p := newPool(1, ts...)
	for b.Loop() {
		if _, err := p.Choose(0, prompt(600)); err != nil {
			b.Fatal(err)
		}
	}
}

// fastAndSlow returns a pool with the engines "fast" and "slow", whose events come 10 and
// 40 ms apart.
func fastAndSlow() *pool.Pool {
	p := newPool(1, engine("fast"), engine("slow"))
	p.SetOwnSlots(map[string]int{"fast": 12, "slow": 12})
	for range 100 {
		p.ObserveEventGap("fast", 10*time.Millisecond)
		p.ObserveEventGap("slow", 40*time.Millisecond)
	}
	return p
}

// Guards against long answers beside short ones being cut off at their deadline: an answer
// of 500 events takes 5 s at the fast engine and 20 s at the slow one, and its caller waits
// for 15 s. It is never sent to the slow engine, where it would hold a slot in vain. A short
// one is sent there if the fast engine is full.
func TestLongAnswerGoesToFastEngine(t *testing.T) {
	p := fastAndSlow()
	long := pool.Criteria{Service: "llm", PromptTokens: 500, Events: 500, TimeLeft: 15 * time.Second}
	for i := range 12 {
		c, err := p.Choose(0, long)
		if err != nil || c.ID != "fast" {
			t.Fatalf("long answer %d: got target %q, error %v, want fast", i, c.ID, err)
		}
		p.Begin(0, c.ID, 500)
	}
	if c, err := p.Choose(0, long); !errors.Is(err, pool.ErrFull) {
		t.Errorf("long answer with the fast engine full: got target %q, error %v, want ErrFull", c.ID, err)
	}
	short := long
	short.Events = 20
	if c, err := p.Choose(0, short); err != nil || c.ID != "slow" {
		t.Errorf("short answer with the fast engine full: got target %q, error %v, want slow", c.ID, err)
	}
}

// An answer that no engine is expected to finish in time goes to the fastest one, because
// the expectation may be wrong.
func TestHopelessAnswerGoesToFastestEngine(t *testing.T) {
	p := fastAndSlow()
	for range 10 {
		if c, err := p.Choose(0, pool.Criteria{Service: "llm", Events: 3000, TimeLeft: 15 * time.Second}); err != nil || c.ID != "fast" {
			t.Fatalf("got target %q, error %v, want fast", c.ID, err)
		}
	}
}

// Guards against long prompts making the running streams late: an engine that runs some gets
// no prompt whose prefill, after those that it has yet to prefill, would take more than half
// of the longest gap, unless gaps are allowed.
func TestLongPromptCausesNoGap(t *testing.T) {
	p := newPool(1, engine("busy"))
	p.SetOwnSlots(map[string]int{"busy": 12})
	middle := pool.Criteria{Service: "llm", PromptTokens: 2000, MaxGap: 250 * time.Millisecond} // 48 ms at the initial estimate
	p.Begin(0, "busy", 0)
	if _, err := p.Choose(0, middle); err != nil {
		t.Fatalf("engine that has nothing to prefill: %v", err)
	}
	p.Begin(0, "busy", 9000)
	if _, err := p.Choose(0, middle); !errors.Is(err, pool.ErrFull) {
		t.Errorf("engine that has a long prompt to prefill: got error %v, want ErrFull", err)
	}
	middle.AllowGaps = true
	if _, err := p.Choose(0, middle); err != nil {
		t.Errorf("gaps allowed: %v", err)
	}
}

// Guards against long prompts waiting on a calm day, with most slots free, for an engine where
// they cause no gap, though there is none: each would take too long for the prompt alone.
func TestLongPromptDoesNotWaitInVain(t *testing.T) {
	p := newPool(1, engine("a"), engine("b"))
	p.SetOwnSlots(map[string]int{"a": 12, "b": 12})
	long := pool.Criteria{Service: "llm", PromptTokens: 10_000, MaxGap: 250 * time.Millisecond} // 208 ms at the initial estimate
	p.Begin(0, "a", 0)
	p.Begin(0, "b", 6000)
	if c, err := p.Choose(0, long); err != nil || c.ID != "a" {
		t.Errorf("got target %q, error %v, want a, which has nothing else to prefill", c.ID, err)
	}
	p.Begin(0, "a", 10_000)
	if _, err := p.Choose(0, long); !errors.Is(err, pool.ErrFull) {
		t.Errorf("a second long prompt: got error %v, want ErrFull", err)
	}
}

// Guards against a process that warms up, at the address of one that has ended but is still listed,
// and gets all requests that are meant for the other.
func TestReplacedTargetIsProbedOnly(t *testing.T) {
	for _, c := range []struct {
		outcome pool.Outcome
		address string // of another target
		most    int
	}{{pool.Misdirected, "a", 1}, {pool.Misdirected, "b", 100}, {pool.Unreachable, "a", 100}} {
		p, b := newPool(1), engine("b")
		b.Address = c.address
		p.SetTargets([]pool.Target{engine("a"), b})
		onlyA := prompt(100)
		onlyA.Exclude = []string{"b"}
		n := 0
		for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
			if _, err := p.Choose(now, onlyA); err != nil {
				continue
			}
			n++
			p.Begin(now, "a", 100)
			p.End(now, "a", 100, c.outcome)
		}
		if n < min(2, c.most) || n > c.most {
			t.Errorf("outcome %v, address %s: got %d requests in a second, want at most %d", c.outcome, c.address, n, c.most)
		}
	}
}
