package gate

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/call"
	"kingcupstand/internal/prop"
)

// terms is a Policy for tests. Workspace "w" has the tiers "1" to "3", of which
// "3" waits or is refused; other workspaces have none.
type terms struct {
	wait, cuttable bool
	// lowest is the lowest tier that the contract has.
	lowest call.Rank
}

func (p terms) Terms(workspace, tier string) (Terms, bool) {
	r := call.Rank(tier[0] - '0')
	if workspace != "w" || r > p.lowest {
		return Terms{}, false
	}
	return Terms{Rank: r, Wait: p.wait && r == 3, Preemptible: p.cuttable}, true
}

const testInc = 42

func testID(n int) call.ID {
	var b [call.NonceSize]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	return call.NewTicket("t", testInc, b, time.Hour).ID()
}

var testLimits = Limits{Batch: 3, BatchTokens: 300, Queue: 5, IDs: 1000, IDLife: 2 * time.Hour, ShedHold: 500 * time.Millisecond}

var testSpeed = Speed{Prefill: time.Millisecond, Step: time.Millisecond}

// harness drives a gate and keeps what it did, to hold it against its promises.
type harness struct {
	t       *rapid.T
	gate    *Gate
	now     time.Duration
	policy  terms
	offers  map[StreamID]Offer
	running map[StreamID]bool
	closing map[StreamID]bool
	ended   map[StreamID]bool
	// dispatches and released are by id, over the gate's whole life.
	dispatches map[call.ID]int
	released   map[call.ID]bool
	departed   map[StreamID]bool
	shedRank   call.Rank
	shedAt     time.Duration
	drained    int
}

func newHarness(t *rapid.T) *harness {
	p := terms{wait: rapid.Bool().Draw(t, "wait"), cuttable: rapid.Bool().Draw(t, "cuttable"), lowest: 3}
	return &harness{
		t:          t,
		gate:       New("t", testInc, testLimits, p, testSpeed),
		policy:     p,
		offers:     make(map[StreamID]Offer),
		running:    make(map[StreamID]bool),
		closing:    make(map[StreamID]bool),
		ended:      make(map[StreamID]bool),
		dispatches: make(map[call.ID]int),
		released:   make(map[call.ID]bool),
		departed:   make(map[StreamID]bool),
	}
}

func (w *harness) rank(c StreamID) call.Rank {
	return call.Rank(w.offers[c].Tier[0] - '0')
}

// step feeds an event and checks every action against the promises.
func (w *harness) step(e Event) {
	var shed []StreamID
	for _, a := range w.gate.Step(w.now, e) {
		switch a := a.(type) {
		case Dispatch:
			w.dispatched(a.Stream)
		case Refuse:
			w.refused(a)
			if a.Released && (a.Outcome.Reason == call.ReasonOverload || a.Outcome.Reason == call.ReasonDeadlinePassed) {
				shed = append(shed, a.Stream)
			}
		case Cancel:
			if !w.running[a.Stream] {
				w.t.Fatalf("conn %d was canceled without running", a.Stream)
			}
			delete(w.running, a.Stream)
			w.closing[a.Stream] = true
		case Drained:
			w.drained++
		}
	}
	w.checkShed(shed)
	w.checkState()
}

func (w *harness) dispatched(c StreamID) {
	id := w.offers[c].ID
	w.dispatches[id]++
	if w.dispatches[id] > 1 {
		w.t.Fatalf("id of conn %d was dispatched twice", c)
	}
	if w.released[id] {
		w.t.Fatalf("id of conn %d was dispatched after it was released", c)
	}
	if w.ended[c] || w.departed[c] {
		w.t.Fatalf("conn %d was dispatched after its end", c)
	}
	if w.shedRank != 0 && w.now < w.shedAt+testLimits.ShedHold && w.rank(c).Below(w.shedRank) {
		w.t.Fatalf("tier %d was dispatched %s after tier %d was shed", w.rank(c), w.now-w.shedAt, w.shedRank)
	}
	w.running[c] = true
}

func (w *harness) refused(a Refuse) {
	if w.ended[a.Stream] || w.running[a.Stream] || w.closing[a.Stream] {
		w.t.Fatalf("conn %d was refused after its end or dispatch", a.Stream)
	}
	w.ended[a.Stream] = true
	id := w.offers[a.Stream].ID
	if a.Outcome.Ran == call.RanNo && w.dispatches[id] > 0 {
		w.t.Fatalf("conn %d was told that it did not run, but it did", a.Stream)
	}
	if a.Outcome.Ran == call.RanYes && w.dispatches[id] == 0 {
		w.t.Fatalf("conn %d was told that it ran, but it did not", a.Stream)
	}
	if a.Outcome.Ran == call.RanNo && !a.Released {
		w.t.Fatalf("conn %d was told that it did not run without a binding release", a.Stream)
	}
	if a.Released {
		w.released[id] = true
	}
}

// checkShed holds the refusals of one step against what runs after it.
func (w *harness) checkShed(shed []StreamID) {
	for _, s := range shed {
		for c := range w.running {
			if w.rank(c).Below(w.rank(s)) {
				w.t.Fatalf("conn %d of tier %d was shed while conn %d of tier %d runs", s, w.rank(s), c, w.rank(c))
			}
		}
		if r := w.rank(s); w.shedRank == 0 || w.now >= w.shedAt+testLimits.ShedHold || !r.Below(w.shedRank) {
			w.shedRank, w.shedAt = r, w.now
		}
	}
}

func (w *harness) checkState() {
	if n := len(w.running); n > testLimits.Batch {
		w.t.Fatalf("%d requests run, the batch is %d", n, testLimits.Batch)
	}
	for _, j := range w.gate.queue.all() {
		if w.now > j.deadline {
			w.t.Fatalf("conn %d is held %s after its deadline", j.offer.Stream, w.now-j.deadline)
		}
	}
	tokens, prefilling := 0, 0
	for _, j := range w.gate.slots {
		tokens += j.offer.tokens()
		if !j.answering {
			prefilling += j.offer.uncached()
		}
	}
	if w.gate.slotTokens != tokens || w.gate.prefilling != prefilling {
		w.t.Fatalf("counted %d and %d tokens, expected %d and %d", w.gate.slotTokens, w.gate.prefilling, tokens, prefilling)
	}
	if n := w.gate.queue.len(); n > 2*testLimits.Queue {
		w.t.Fatalf("%d requests are queued", n)
	}
}

// arrive offers a request, sometimes under an id that was used before.
func (w *harness) arrive(t *rapid.T) {
	c := StreamID(len(w.offers) + 1)
	n := int(c)
	if rapid.IntRange(0, 4).Draw(t, "reuse") == 0 {
		n = rapid.IntRange(1, int(c)).Draw(t, "id")
	}
	o := Offer{
		Stream:     c,
		ID:         testID(n),
		Workspace:  "w",
		Tier:       fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "tier")),
		Budget:     time.Duration(rapid.IntRange(20, 2000).Draw(t, "budget")) * time.Millisecond,
		Prompt:     rapid.IntRange(1, 150).Draw(t, "prompt"),
		Output:     rapid.IntRange(1, 50).Draw(t, "output"),
		Idempotent: rapid.Bool().Draw(t, "repeatable"),
	}
	w.offers[c] = o
	w.step(Arrive{Offer: o})
}

func (w *harness) pass(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	w.step(Tick{})
}

// pick returns one of the conns in m, or 0.
func pick(t *rapid.T, m map[StreamID]bool) StreamID {
	if len(m) == 0 {
		return 0
	}
	k := rapid.IntRange(0, len(m)-1).Draw(t, "pick")
	for c := StreamID(1); ; c++ {
		if m[c] {
			if k == 0 {
				return c
			}
			k--
		}
	}
}

// finish ends the answer of a running or closing request.
func (w *harness) finish(t *rapid.T) {
	m := w.running
	if rapid.Bool().Draw(t, "closing") {
		m = w.closing
	}
	if c := pick(t, m); c != 0 {
		w.end(c, Finish{Stream: c, Complete: rapid.Bool().Draw(t, "whole")})
	}
}

func (w *harness) end(c StreamID, f Finish) {
	delete(w.running, c)
	delete(w.closing, c)
	w.ended[c] = true
	w.step(f)
}

// first lets the first token of a running or closing request come.
func (w *harness) first(t *rapid.T) {
	m := w.running
	if rapid.Bool().Draw(t, "closing") {
		m = w.closing
	}
	if c := pick(t, m); c != 0 {
		w.step(FirstByte{Stream: c})
	}
}

func (w *harness) depart(t *rapid.T) {
	if len(w.offers) == 0 {
		return
	}
	c := StreamID(rapid.IntRange(1, len(w.offers)).Draw(t, "conn"))
	if w.ended[c] || w.departed[c] {
		return
	}
	if !w.running[c] && !w.closing[c] {
		w.ended[c] = true
	}
	w.departed[c] = true
	w.step(Disconnect{Stream: c})
}

// settle lets time pass until everything has ended, and counts what was lost.
func (w *harness) settle() {
	w.step(Drain{})
	for len(w.running)+len(w.closing) > 0 {
		for c := range w.offers {
			if w.running[c] || w.closing[c] {
				w.end(c, Finish{Stream: c, Complete: true})
			}
		}
	}
	w.now += time.Minute
	w.step(Tick{})
	for c := range w.offers {
		if !w.ended[c] {
			w.t.Fatalf("conn %d has no ending", c)
		}
	}
	if w.drained != 1 {
		w.t.Fatalf("drained was reported %d times", w.drained)
	}
}

// TestPropertyGate tries random schedules of arrivals, resubmissions, time,
// answers, lost entries, contract changes and a planned stop.
func TestPropertyGate(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		w := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": w.arrive,
			"again":  w.arrive,
			"pass":   w.pass,
			"finish": w.finish,
			"first":  w.first,
			"depart": w.depart,
			"contract": func(t *rapid.T) {
				w.policy.lowest = call.Rank(rapid.IntRange(2, 3).Draw(t, "lowest"))
				w.step(Reconfigure{Policy: w.policy})
			},
		})
		w.settle()
	})
}
