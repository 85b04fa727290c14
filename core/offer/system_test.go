package offer_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/call"
	"kingcupstand/core/gate"
	"kingcupstand/core/offer"
	"kingcupstand/internal/prop"
)

// policy accepts any tier; the digit of its name is its rank.
type policy struct{}

func (policy) Terms(_, tier string) (gate.Terms, bool) {
	r := call.Rank(tier[0] - '0')
	return gate.Terms{Rank: r, Preemptible: true}, true
}

var limits = gate.Limits{Batch: 2, BatchTokens: 200, Queue: 3, IDs: 500, IDLifetime: 2 * time.Hour, ShedHold: time.Second}

// agent is an agent with its gate and links. A replaced agent may keep running,
// paused or partitioned, beside its successor.
type agent struct {
	name        string
	incarnation uint64
	gate        *gate.Gate
	start       time.Duration
	links       map[gate.StreamID]*link
	last        gate.StreamID
}

// link is the stream of one offer. Frames that were sent before it broke may still
// arrive on either side, or get lost.
type link struct {
	agent    *agent
	stream   gate.StreamID
	id       call.ID
	number   uint32
	offer    gate.Offer
	arrived  bool
	closed   bool // the entry closed it or crashed
	notified bool // the agent was notified that it is closed
	frames   []offer.Frame
	sequence uint64
	running  bool
	owner    *submission
	response []uint64 // sequence numbers of the Head and Data frames
}

// submission is one submission of a caller's request to one entry.
type submission struct {
	logical   int
	entry     int
	machine   *offer.Machine
	pinned    call.ID
	agent     *agent
	tier      string
	link      *link
	outcome   *call.Outcome
	forwarded []uint64 // sequence numbers of the frames that were forwarded to the caller
	attempts  int
	crashed   bool
}

// system simulates a few entries and agents with lossy links between them.
type system struct {
	t           *rapid.T
	now         time.Duration
	agents      []*agent
	links       []*link
	submissions []*submission
	// logical maps the ids that callers brought to the number of the logical
	// request: all submissions under the same id are one logical request.
	logical     map[call.ID]int
	nextLogical int
	nonce       uint64
	// dispatches counts the dispatches of each logical request, and offered maps
	// every id that was offered to its logical request.
	dispatches map[int]int
	offered    map[call.ID]int
	reorder    bool
}

func newSystem(t *rapid.T) *system {
	s := &system{
		t:          t,
		logical:    make(map[call.ID]int),
		dispatches: make(map[int]int),
		offered:    make(map[call.ID]int),
		reorder:    rapid.Bool().Draw(t, "reorder"),
	}
	for i := range 3 {
		s.start(fmt.Sprintf("t%d", i))
	}
	return s
}

// start adds a new agent incarnation.
func (s *system) start(name string) {
	s.nonce++
	a := &agent{name: name, incarnation: s.nonce, start: s.now, links: make(map[gate.StreamID]*link)}
	a.gate = gate.New(name, a.incarnation, limits, policy{}, gate.Speed{Prefill: time.Millisecond, Step: time.Millisecond})
	s.agents = append(s.agents, a)
}

func (s *system) mint(a *agent) call.ID {
	s.nonce++
	var n [call.NonceSize]byte
	binary.BigEndian.PutUint64(n[:], s.nonce)
	return call.NewTicket(a.name, a.incarnation, n, s.now-a.start+time.Hour).ID()
}

// stepAgent passes an event to an agent's gate and queues the frames that the agent
// sends.
func (s *system) stepAgent(a *agent, e gate.Event) {
	for _, x := range a.gate.Step(s.now-a.start, e) {
		switch x := x.(type) {
		case gate.Queued:
			s.reply(a.links[x.Stream], offer.Queued{})
		case gate.Refuse:
			s.reply(a.links[x.Stream], offer.Refused{Outcome: x.Outcome, Released: x.Released})
		case gate.Dispatch:
			l := a.links[x.Stream]
			l.running = true
			n := s.offered[l.id]
			s.dispatches[n]++
			if s.dispatches[n] > 1 {
				s.t.Fatalf("request %d was dispatched twice, the second time by %s/%d", n, a.name, a.incarnation)
			}
			s.reply(l, offer.Dispatched{})
		case gate.Cancel:
			s.finish(a.links[x.Stream], false, x.Outcome.Reason)
		}
	}
}

// reply queues a frame from the agent to the entry.
func (s *system) reply(l *link, k offer.Content) {
	switch k.(type) {
	case offer.Head, offer.Data:
		l.response = append(l.response, l.sequence)
	}
	l.frames = append(l.frames, offer.Frame{ID: l.id, Number: l.number, Sequence: l.sequence, Content: k})
	l.sequence++
}

// finish ends the target's response on a link.
func (s *system) finish(l *link, complete bool, r call.Reason) {
	if !l.running {
		return
	}
	l.running = false
	if complete {
		s.reply(l, offer.Head{})
		s.reply(l, offer.Data{})
		s.reply(l, offer.Data{})
	}
	s.reply(l, offer.Finished{Complete: complete, Reason: r})
	s.stepAgent(l.agent, gate.Finish{Stream: l.stream, Complete: complete})
}

// submit submits a request to any entry: without an id, with a new one or with one
// that was used before.
func (s *system) submit(t *rapid.T) {
	b := &submission{entry: rapid.IntRange(0, 2).Draw(t, "entry"), tier: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "tier"))}
	switch {
	case rapid.Bool().Draw(t, "plain"):
		s.nextLogical++
		b.logical = s.nextLogical
	case rapid.Bool().Draw(t, "resubmit") && len(s.logical) > 0:
		ids := s.pinnedIDs()
		b.pinned = ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]
		b.logical = s.logical[b.pinned]
	default:
		s.nextLogical++
		b.logical = s.nextLogical
		b.pinned = s.mint(s.anyAgent(t))
		s.logical[b.pinned] = b.logical
	}
	b.machine = offer.New(b.pinned != "")
	s.submissions = append(s.submissions, b)
	s.choose(t, b)
}

func (s *system) pinnedIDs() []call.ID {
	var ids []call.ID
	for id := range s.logical {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b call.ID) int { return s.logical[a] - s.logical[b] })
	return ids
}

func (s *system) anyAgent(t *rapid.T) *agent {
	return s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")]
}

// maxAttempts is how many agents a submission is offered to before it is shed.
const maxAttempts = 4

// choose offers a submission to a random agent, as an entry with stale reports
// might.
func (s *system) choose(t *rapid.T, b *submission) {
	if b.attempts == maxAttempts {
		s.act(t, b, offer.Shed{Outcome: call.NotRun(call.ReasonOverload)})
		return
	}
	b.attempts++
	a := s.anyAgent(t)
	id := b.pinned
	if !b.machine.Pinned() {
		id = s.mint(a)
	}
	s.offered[id] = b.logical
	n := b.machine.Offer(id, !b.machine.Pinned())
	if rapid.IntRange(0, 5).Draw(t, "dial") == 0 {
		s.act(t, b, offer.NotSent{})
		return
	}
	a.last++
	l := &link{agent: a, stream: a.last, id: id, number: n, owner: b}
	l.offer = gate.Offer{
		Stream: l.stream, ID: id, Workspace: "w", Tier: b.tier,
		Budget:     time.Duration(rapid.IntRange(50, 1000).Draw(t, "budget")) * time.Millisecond,
		Prompt:     rapid.IntRange(1, 100).Draw(t, "prompt"),
		Output:     1,
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	a.links[l.stream] = l
	b.link = l
	s.links = append(s.links, l)
}

// act passes an event to the state machine of a submission and carries out the
// action. It reports whether a frame was forwarded.
func (s *system) act(t *rapid.T, b *submission, e offer.Event) bool {
	switch x := b.machine.Step(e).(type) {
	case offer.Forward:
		return true
	case offer.Choose:
		if _, ok := e.(offer.NotSent); !ok && len(b.forwarded) > 1 {
			s.t.Fatalf("request %d may be offered again after part of its response was forwarded", b.logical)
		}
		s.close(b)
		s.choose(t, b)
	case offer.Finish:
		if b.outcome != nil {
			s.t.Fatalf("request %d has two outcomes", b.logical)
		}
		b.outcome = &x.Outcome
		if x.Outcome.Complete && !slices.Equal(b.forwarded, b.link.response) {
			s.t.Fatalf("request %d is reported complete: got frames %v, want %v", b.logical, b.forwarded, b.link.response)
		}
		s.close(b)
	}
	return false
}

func (s *system) close(b *submission) {
	if b.link != nil {
		b.link.closed = true
		b.link = nil
	}
}

// deliver delivers one message on a random link.
func (s *system) deliver(t *rapid.T) {
	if len(s.links) == 0 {
		return
	}
	l := s.links[rapid.IntRange(0, len(s.links)-1).Draw(t, "link")]
	switch {
	case !l.arrived && !l.closed:
		l.arrived = true
		s.stepAgent(l.agent, gate.Arrive{Offer: l.offer})
	case !l.arrived && rapid.Bool().Draw(t, "late"):
		// The offer was sent before the entry closed the link, so it may still
		// arrive.
		l.arrived = true
		s.stepAgent(l.agent, gate.Arrive{Offer: l.offer})
	case l.arrived && l.closed && !l.notified:
		l.notified = true
		s.stepAgent(l.agent, gate.Disconnect{Stream: l.stream})
	default:
		s.receive(t, l)
	}
}

// receive delivers a frame to the entry: the next one, or any with reordering,
// sometimes without removing it so that it is delivered again.
func (s *system) receive(t *rapid.T, l *link) {
	if len(l.frames) == 0 {
		return
	}
	i := 0
	if s.reorder {
		i = rapid.IntRange(0, len(l.frames)-1).Draw(t, "frame")
	}
	f := l.frames[i]
	if !s.reorder || rapid.Bool().Draw(t, "once") {
		l.frames = slices.Delete(l.frames, i, i+1)
	}
	// Frames of an earlier offer, or for a request that has its outcome, are
	// delivered as well.
	b := l.owner
	if b.crashed {
		return
	}
	before := len(b.forwarded)
	if _, ok := f.Content.(offer.Finished); !ok {
		b.forwarded = append(b.forwarded, f.Sequence)
	}
	if !s.act(t, b, f) {
		b.forwarded = b.forwarded[:before]
	}
}

// breakLink breaks the link of a random submission, with its frames lost.
func (s *system) breakLink(t *rapid.T) {
	if b := s.anyOffered(t); b != nil {
		b.link.frames = nil
		s.act(t, b, offer.LinkLost{Number: b.machine.Number()})
	}
}

// abort ends a random submission, as if its deadline had passed.
func (s *system) abort(t *rapid.T) {
	if b := s.anyOffered(t); b != nil {
		s.act(t, b, offer.Abort{Reason: call.ReasonDeadlinePassed})
	}
}

func (s *system) anyOffered(t *rapid.T) *submission {
	var l []*submission
	for _, b := range s.submissions {
		if b.link != nil && !b.crashed {
			l = append(l, b)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[rapid.IntRange(0, len(l)-1).Draw(t, "submission")]
}

// crashEntry loses all submissions of an entry at once.
func (s *system) crashEntry(t *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(t, "entry")
	for _, b := range s.submissions {
		if b.entry == n && b.outcome == nil && !b.crashed {
			b.crashed = true
			s.close(b)
		}
	}
}

// replaceAgent starts a new incarnation of an agent. The old one either dies, which
// breaks its links, or keeps running beside the new one.
func (s *system) replaceAgent(t *rapid.T) {
	i := rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")
	a := s.agents[i]
	s.start(a.name)
	if rapid.Bool().Draw(t, "lives-on") {
		return
	}
	s.agents = slices.Delete(s.agents, i, i+1)
	s.links = slices.DeleteFunc(s.links, func(l *link) bool { return l.agent == a })
	for _, b := range s.submissions {
		if b.link != nil && b.link.agent == a && !b.crashed {
			s.act(t, b, offer.LinkLost{Number: b.machine.Number()})
		}
	}
}

func (s *system) advance(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
	s.stepAgent(s.anyAgent(t), gate.Tick{})
}

func (s *system) respond(t *rapid.T) {
	var l []*link
	for _, k := range s.links {
		if k.running {
			l = append(l, k)
		}
	}
	if len(l) > 0 {
		s.finish(l[rapid.IntRange(0, len(l)-1).Draw(t, "running")], rapid.Bool().Draw(t, "complete"), call.ReasonAnswerCut)
	}
}

// check compares every outcome so far with what was dispatched.
func (s *system) check(*rapid.T) {
	for _, b := range s.submissions {
		if b.outcome == nil {
			continue
		}
		n := s.dispatches[b.logical]
		if b.outcome.Ran == call.RanNo && n > 0 {
			s.t.Fatalf("request %d: the outcome is %q and not run, but it ran", b.logical, b.outcome.Reason)
		}
		if (b.outcome.Ran == call.RanYes || b.outcome.Complete) && n == 0 {
			s.t.Fatalf("request %d: the outcome is %q and ran, but it did not run", b.logical, b.outcome.Reason)
		}
	}
}

// settle ends all submissions, delivers all offers and checks that every submission
// has an outcome.
func (s *system) settle(t *rapid.T) {
	for _, b := range s.submissions {
		if b.outcome == nil && !b.crashed {
			s.act(t, b, offer.Abort{Reason: call.ReasonDeadlinePassed})
		}
		if b.outcome == nil && !b.crashed {
			s.t.Fatalf("request %d has no outcome", b.logical)
		}
	}
	for _, l := range s.links {
		if !l.arrived {
			l.arrived = true
			s.stepAgent(l.agent, gate.Arrive{Offer: l.offer})
		}
	}
	s.check(t)
}

// TestPropertyAtMostOneDispatch checks that no request is dispatched twice and that
// every submission has one outcome that is true. The random schedules contain
// resubmissions at any entry, links that lose, repeat and reorder frames, crashed
// entries, replaced agents whose predecessors keep running, and stale routing.
func TestPropertyAtMostOneDispatch(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   s.submit,
			"deliver":  s.deliver,
			"deliver2": s.deliver,
			"deliver3": s.deliver,
			"answer":   s.respond,
			"pass":     s.advance,
			"break":    s.breakLink,
			"give-up":  s.abort,
			"entry":    s.crashEntry,
			"agent":    s.replaceAgent,
			"":         s.check,
		})
		s.settle(t)
	})
}
