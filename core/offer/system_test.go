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

// policy has three tiers; the third may wait.
type policy struct{}

func (policy) Terms(_, tier string) (gate.Terms, bool) {
	r := call.Rank(tier[0] - '0')
	return gate.Terms{Rank: r, Preemptible: true}, true
}

var limits = gate.Limits{Batch: 2, BatchTokens: 200, Queue: 3, IDs: 500, IDLife: 2 * time.Hour, ShedHold: time.Second}

// agent is a gate with what reaches it. A replaced agent may live on, paused or
// cut off, beside its successor.
type agent struct {
	name        string
	incarnation uint64
	gate        *gate.Gate
	start       time.Duration
	links       map[gate.StreamID]*link
	last        gate.StreamID
}

// link is the stream of one offer. Frames that were sent before it broke may
// still arrive on either side, or get lost.
type link struct {
	agent    *agent
	conn     gate.StreamID
	id       call.ID
	number   uint32
	offer    gate.Offer
	arrived  bool
	closed   bool // the entry closed it or died
	told     bool // the agent knows that it is closed
	frames   []offer.Frame
	sequence uint64
	running  bool
	owner    *submission
	pieces   []uint64 // sequence numbers of the answer's frames
}

// submission is one caller's request at one entry.
type submission struct {
	logical int
	entry   int
	life    *offer.Machine
	pinned  call.ID
	agent   *agent
	tier    string
	link    *link
	ending  *call.Outcome
	got     []uint64 // sequence numbers of what the caller was passed
	tried   int
	dead    bool
}

// system is a few entries and agents with lossy links between them.
type system struct {
	t           *rapid.T
	now         time.Duration
	agents      []*agent
	links       []*link
	submissions []*submission
	logical     map[call.ID]int
	nextLogical int
	nonce       uint64
	dispatches  map[int]int
	owner       map[call.ID]int
	reorder     bool
}

func newSystem(t *rapid.T) *system {
	s := &system{
		t:          t,
		logical:    make(map[call.ID]int),
		dispatches: make(map[int]int),
		owner:      make(map[call.ID]int),
		reorder:    rapid.Bool().Draw(t, "reorder"),
	}
	for i := range 3 {
		s.start(fmt.Sprintf("t%d", i))
	}
	return s
}

// start adds an agent incarnation.
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

// stepAgent feeds an agent's gate and queues the frames that its stream sends.
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
			n := s.owner[l.id]
			s.dispatches[n]++
			if s.dispatches[n] > 1 {
				s.t.Fatalf("request %d was dispatched twice, now by %s/%d", n, a.name, a.incarnation)
			}
			s.reply(l, offer.Dispatched{})
		case gate.Cancel:
			s.finish(a.links[x.Stream], false, x.Outcome.Reason)
		}
	}
}

func (s *system) reply(l *link, k offer.Content) {
	switch k.(type) {
	case offer.Head, offer.Data:
		l.pieces = append(l.pieces, l.sequence)
	}
	l.frames = append(l.frames, offer.Frame{ID: l.id, Number: l.number, Sequence: l.sequence, Content: k})
	l.sequence++
}

// finish ends the target's answer on a link.
func (s *system) finish(l *link, whole bool, r call.Reason) {
	if !l.running {
		return
	}
	l.running = false
	if whole {
		s.reply(l, offer.Head{})
		s.reply(l, offer.Data{})
		s.reply(l, offer.Data{})
	}
	s.reply(l, offer.Finished{Complete: whole, Reason: r})
	s.stepAgent(l.agent, gate.Finish{Stream: l.conn, Complete: whole})
}

// submit makes a submission: without an id, with a new one, or with one that was
// used before, at any entry.
func (s *system) submit(t *rapid.T) {
	b := &submission{entry: rapid.IntRange(0, 2).Draw(t, "entry"), tier: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "tier"))}
	switch {
	case rapid.Bool().Draw(t, "plain"):
		s.nextLogical++
		b.logical = s.nextLogical
	case rapid.Bool().Draw(t, "again") && len(s.logical) > 0:
		ids := s.pinnedIDs()
		b.pinned = ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]
		b.logical = s.logical[b.pinned]
	default:
		s.nextLogical++
		b.logical = s.nextLogical
		b.pinned = s.mint(s.anyAgent(t))
		s.logical[b.pinned] = b.logical
	}
	b.life = offer.New(b.pinned != "")
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

// maxTried is how many agents a submission asks before it is shed.
const maxTried = 4

// choose offers a submission to an agent of the entry's possibly stale choice.
func (s *system) choose(t *rapid.T, b *submission) {
	if b.tried == maxTried {
		s.act(t, b, offer.Shed{Outcome: call.NotRun(call.ReasonOverload)})
		return
	}
	b.tried++
	a := s.anyAgent(t)
	id := b.pinned
	if !b.life.Pinned() {
		id = s.mint(a)
	}
	s.owner[id] = b.logical
	n := b.life.Offer(id, !b.life.Pinned())
	if rapid.IntRange(0, 5).Draw(t, "dial") == 0 {
		s.act(t, b, offer.NotSent{})
		return
	}
	a.last++
	l := &link{agent: a, conn: a.last, id: id, number: n, owner: b}
	l.offer = gate.Offer{
		Stream: l.conn, ID: id, Workspace: "w", Tier: b.tier,
		Budget:     time.Duration(rapid.IntRange(50, 1000).Draw(t, "budget")) * time.Millisecond,
		Prompt:     rapid.IntRange(1, 100).Draw(t, "prompt"),
		Output:     1,
		Idempotent: rapid.Bool().Draw(t, "repeatable"),
	}
	a.links[l.conn] = l
	b.link = l
	s.links = append(s.links, l)
}

// act gives a submission's life an event and carries out what it says. It
// reports whether a frame was forwarded.
func (s *system) act(t *rapid.T, b *submission, e offer.Event) bool {
	switch x := b.life.Step(e).(type) {
	case offer.Forward:
		return true
	case offer.Choose:
		if _, ok := e.(offer.NotSent); !ok && len(b.got) > 1 {
			s.t.Fatalf("request %d moved on after part of its answer was passed on", b.logical)
		}
		s.close(b)
		s.choose(t, b)
	case offer.Finish:
		if b.ending != nil {
			s.t.Fatalf("request %d has two endings", b.logical)
		}
		b.ending = &x.Outcome
		if x.Outcome.Complete && !slices.Equal(b.got, b.link.pieces) {
			s.t.Fatalf("request %d was told it is whole: got frames %v of %v", b.logical, b.got, b.link.pieces)
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

// deliver moves one message on a random link.
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
		// The offer left before the entry closed the link: it arrives all the same.
		l.arrived = true
		s.stepAgent(l.agent, gate.Arrive{Offer: l.offer})
	case l.arrived && l.closed && !l.told:
		l.told = true
		s.stepAgent(l.agent, gate.Disconnect{Stream: l.conn})
	default:
		s.receive(t, l)
	}
}

// receive hands a frame to the entry: the next one, or with reordering any, and
// sometimes twice.
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
	// Frames of an earlier offer, or for a request that has ended, arrive as well.
	b := l.owner
	if b.dead {
		return
	}
	before := len(b.got)
	if _, ok := f.Content.(offer.Finished); !ok {
		b.got = append(b.got, f.Sequence)
	}
	if !s.act(t, b, f) {
		b.got = b.got[:before]
	}
}

// breakLink lets an entry see its link break.
func (s *system) breakLink(t *rapid.T) {
	if b := s.anyLinked(t); b != nil {
		b.link.frames = nil
		s.act(t, b, offer.LinkLost{Number: b.life.Number()})
	}
}

// giveUp lets a deadline pass or a caller go.
func (s *system) giveUp(t *rapid.T) {
	if b := s.anyLinked(t); b != nil {
		s.act(t, b, offer.Abort{Reason: call.ReasonDeadlinePassed})
	}
}

func (s *system) anyLinked(t *rapid.T) *submission {
	var l []*submission
	for _, b := range s.submissions {
		if b.link != nil && !b.dead {
			l = append(l, b)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[rapid.IntRange(0, len(l)-1).Draw(t, "submission")]
}

// killEntry loses all of an entry's submissions at once.
func (s *system) killEntry(t *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(t, "entry")
	for _, b := range s.submissions {
		if b.entry == n && b.ending == nil && !b.dead {
			b.dead = true
			s.close(b)
		}
	}
}

// replaceAgent starts a new incarnation. The old one may be dead, in which case
// its links break, or live on beside the new one.
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
		if b.link != nil && b.link.agent == a && !b.dead {
			s.act(t, b, offer.LinkLost{Number: b.life.Number()})
		}
	}
}

func (s *system) pass(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
	s.stepAgent(s.anyAgent(t), gate.Tick{})
}

func (s *system) answer(t *rapid.T) {
	var l []*link
	for _, k := range s.links {
		if k.running {
			l = append(l, k)
		}
	}
	if len(l) > 0 {
		s.finish(l[rapid.IntRange(0, len(l)-1).Draw(t, "running")], rapid.Bool().Draw(t, "whole"), call.ReasonAnswerCut)
	}
}

// check holds every ending so far against what was dispatched.
func (s *system) check(*rapid.T) {
	for _, b := range s.submissions {
		if b.ending == nil {
			continue
		}
		n := s.dispatches[b.logical]
		if b.ending.Ran == call.RanNo && n > 0 {
			s.t.Fatalf("request %d was told %q and not run, but ran", b.logical, b.ending.Reason)
		}
		if (b.ending.Ran == call.RanYes || b.ending.Complete) && n == 0 {
			s.t.Fatalf("request %d was told %q and ran, but did not", b.logical, b.ending.Reason)
		}
	}
}

// settle delivers everything and checks that nothing is lost.
func (s *system) settle(t *rapid.T) {
	for _, b := range s.submissions {
		if b.ending == nil && !b.dead {
			s.act(t, b, offer.Abort{Reason: call.ReasonDeadlinePassed})
		}
		if b.ending == nil && !b.dead {
			s.t.Fatalf("request %d has no ending", b.logical)
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

// TestPropertySystem tries random schedules of submissions, resubmissions at any
// entry, links that lose, repeat and reorder, lost entries, replaced agents whose
// predecessors live on, and stale choices.
func TestPropertySystem(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   s.submit,
			"deliver":  s.deliver,
			"deliver2": s.deliver,
			"deliver3": s.deliver,
			"answer":   s.answer,
			"pass":     s.pass,
			"break":    s.breakLink,
			"give-up":  s.giveUp,
			"entry":    s.killEntry,
			"agent":    s.replaceAgent,
			"":         s.check,
		})
		s.settle(t)
	})
}
