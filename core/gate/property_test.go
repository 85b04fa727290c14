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

// terms is a Policy for tests. Workspace "w" has the tiers "1" to "3", of which "3"
// waits if wait is set; other workspaces have none.
type terms struct {
	wait, preemptible bool
	// lowest is the lowest tier of the contract.
	lowest call.Rank
}

func (p terms) Terms(workspace, tier string) (Terms, bool) {
	r := call.Rank(tier[0] - '0')
	if workspace != "w" || r > p.lowest {
		return Terms{}, false
	}
	return Terms{Rank: r, Wait: p.wait && r == 3, Preemptible: p.preemptible}, true
}

const testInc = 42

func testID(n int) call.ID {
	var b [call.NonceSize]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	return call.NewTicket("t", testInc, b, time.Hour).ID()
}

var testLimits = Limits{Batch: 3, BatchTokens: 300, Queue: 5, IDs: 1000, IDLifetime: 2 * time.Hour, ShedHold: 500 * time.Millisecond}

var testSpeed = Speed{Prefill: time.Millisecond, Step: time.Millisecond}

// harness drives a gate and records its actions to check them against the
// invariants.
type harness struct {
	t         *rapid.T
	gate      *Gate
	now       time.Duration
	policy    terms
	offers    map[StreamID]Offer
	running   map[StreamID]bool
	canceling map[StreamID]bool
	ended     map[StreamID]bool
	// dispatches and released are by id, over the lifetime of the gate.
	dispatches   map[call.ID]int
	released     map[call.ID]bool
	disconnected map[StreamID]bool
	shedRank     call.Rank
	shedAt       time.Duration
	drained      int
}

func newHarness(t *rapid.T) *harness {
	p := terms{wait: rapid.Bool().Draw(t, "wait"), preemptible: rapid.Bool().Draw(t, "preemptible"), lowest: 3}
	return &harness{
		t:            t,
		gate:         New("t", testInc, testLimits, p, testSpeed),
		policy:       p,
		offers:       make(map[StreamID]Offer),
		running:      make(map[StreamID]bool),
		canceling:    make(map[StreamID]bool),
		ended:        make(map[StreamID]bool),
		dispatches:   make(map[call.ID]int),
		released:     make(map[call.ID]bool),
		disconnected: make(map[StreamID]bool),
	}
}

func (h *harness) rank(c StreamID) call.Rank {
	return call.Rank(h.offers[c].Tier[0] - '0')
}

// step handles an event and checks every action against the invariants.
func (h *harness) step(e Event) {
	var shed []StreamID
	for _, a := range h.gate.Step(h.now, e) {
		switch a := a.(type) {
		case Dispatch:
			h.dispatched(a.Stream)
		case Refuse:
			h.refused(a)
			if a.Released && (a.Outcome.Reason == call.ReasonOverload || a.Outcome.Reason == call.ReasonDeadlinePassed) {
				shed = append(shed, a.Stream)
			}
		case Cancel:
			if !h.running[a.Stream] {
				h.t.Fatalf("stream %d was canceled without running", a.Stream)
			}
			delete(h.running, a.Stream)
			h.canceling[a.Stream] = true
		case Drained:
			h.drained++
		}
	}
	h.checkShed(shed)
	h.checkState()
}

func (h *harness) dispatched(c StreamID) {
	id := h.offers[c].ID
	h.dispatches[id]++
	if h.dispatches[id] > 1 {
		h.t.Fatalf("the id of stream %d was dispatched twice", c)
	}
	if h.released[id] {
		h.t.Fatalf("the id of stream %d was dispatched after it was released", c)
	}
	if h.ended[c] || h.disconnected[c] {
		h.t.Fatalf("stream %d was dispatched after its end", c)
	}
	if h.shedRank != 0 && h.now < h.shedAt+testLimits.ShedHold && h.rank(c).Below(h.shedRank) {
		h.t.Fatalf("tier %d was dispatched %s after tier %d was shed", h.rank(c), h.now-h.shedAt, h.shedRank)
	}
	h.running[c] = true
}

func (h *harness) refused(a Refuse) {
	if h.ended[a.Stream] || h.running[a.Stream] || h.canceling[a.Stream] {
		h.t.Fatalf("stream %d was refused after its end or dispatch", a.Stream)
	}
	h.ended[a.Stream] = true
	id := h.offers[a.Stream].ID
	if a.Outcome.Ran == call.RanNo && h.dispatches[id] > 0 {
		h.t.Fatalf("stream %d: the outcome is that the request did not run, but it ran", a.Stream)
	}
	if a.Outcome.Ran == call.RanYes && h.dispatches[id] == 0 {
		h.t.Fatalf("stream %d: the outcome is that the request ran, but it did not run", a.Stream)
	}
	if a.Outcome.Ran == call.RanNo && !a.Released {
		h.t.Fatalf("stream %d: the outcome is that the request did not run, but its id was not released", a.Stream)
	}
	if a.Released {
		h.released[id] = true
	}
}

// checkShed checks that no running request has a lower tier than one that was shed
// in this step.
func (h *harness) checkShed(shed []StreamID) {
	for _, s := range shed {
		for c := range h.running {
			if h.rank(c).Below(h.rank(s)) {
				h.t.Fatalf("stream %d of tier %d was shed while stream %d of tier %d is running", s, h.rank(s), c, h.rank(c))
			}
		}
		if r := h.rank(s); h.shedRank == 0 || h.now >= h.shedAt+testLimits.ShedHold || !r.Below(h.shedRank) {
			h.shedRank, h.shedAt = r, h.now
		}
	}
}

func (h *harness) checkState() {
	if n := len(h.running); n > testLimits.Batch {
		h.t.Fatalf("got %d requests running, want at most %d", n, testLimits.Batch)
	}
	for _, j := range h.gate.queue.all() {
		if h.now > j.deadline {
			h.t.Fatalf("stream %d is queued %s after its deadline", j.offer.Stream, h.now-j.deadline)
		}
	}
	tokens, prefilling := 0, 0
	for _, j := range h.gate.slots {
		tokens += j.offer.tokens()
		if !j.prefilled {
			prefilling += j.offer.uncached()
		}
	}
	if h.gate.slotTokens != tokens || h.gate.prefillTokens != prefilling {
		h.t.Fatalf("got %d slot tokens and %d prefill tokens, want %d and %d", h.gate.slotTokens, h.gate.prefillTokens, tokens, prefilling)
	}
	if n := h.gate.queue.len(); n > 2*testLimits.Queue {
		h.t.Fatalf("got %d queued requests, want at most twice the limit", n)
	}
}

// arrive offers a request, sometimes under an id that was used before.
func (h *harness) arrive(t *rapid.T) {
	c := StreamID(len(h.offers) + 1)
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
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	h.offers[c] = o
	h.step(Arrive{Offer: o})
}

func (h *harness) advance(t *rapid.T) {
	h.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	h.step(Tick{})
}

// pick returns one of the streams in m, or 0.
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

// finish ends the response to a running or canceled request.
func (h *harness) finish(t *rapid.T) {
	m := h.running
	if rapid.Bool().Draw(t, "canceling") {
		m = h.canceling
	}
	if c := pick(t, m); c != 0 {
		h.end(c, Finish{Stream: c, Complete: rapid.Bool().Draw(t, "complete")})
	}
}

func (h *harness) end(c StreamID, f Finish) {
	delete(h.running, c)
	delete(h.canceling, c)
	h.ended[c] = true
	h.step(f)
}

// firstByte delivers the first byte of the response to a running or canceled
// request.
func (h *harness) firstByte(t *rapid.T) {
	m := h.running
	if rapid.Bool().Draw(t, "canceling") {
		m = h.canceling
	}
	if c := pick(t, m); c != 0 {
		h.step(FirstByte{Stream: c})
	}
}

func (h *harness) disconnect(t *rapid.T) {
	if len(h.offers) == 0 {
		return
	}
	c := StreamID(rapid.IntRange(1, len(h.offers)).Draw(t, "stream"))
	if h.ended[c] || h.disconnected[c] {
		return
	}
	if !h.running[c] && !h.canceling[c] {
		h.ended[c] = true
	}
	h.disconnected[c] = true
	h.step(Disconnect{Stream: c})
}

// settle drains the gate, finishes all requests and checks that each has an
// outcome.
func (h *harness) settle() {
	h.step(Drain{})
	for len(h.running)+len(h.canceling) > 0 {
		for c := range h.offers {
			if h.running[c] || h.canceling[c] {
				h.end(c, Finish{Stream: c, Complete: true})
			}
		}
	}
	h.now += time.Minute
	h.step(Tick{})
	for c := range h.offers {
		if !h.ended[c] {
			h.t.Fatalf("stream %d has no outcome", c)
		}
	}
	if h.drained != 1 {
		h.t.Fatalf("got Drained %d times, want 1", h.drained)
	}
}

// TestPropertyGateInvariants checks the invariants over random schedules of arrivals,
// resubmissions, time steps, responses, disconnects, contract changes and a final
// drain.
func TestPropertyGateInvariants(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": h.arrive,
			"again":  h.arrive,
			"pass":   h.advance,
			"finish": h.finish,
			"first":  h.firstByte,
			"depart": h.disconnect,
			"contract": func(t *rapid.T) {
				h.policy.lowest = call.Rank(rapid.IntRange(2, 3).Draw(t, "lowest"))
				h.step(Reconfigure{Policy: h.policy})
			},
		})
		h.settle()
	})
}
