package offer_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"kingcupstand/core/call"
	"kingcupstand/core/offer"
)

// contents are the contents of frames by their name in testdata/life.txt.
var contents = map[string]offer.Content{
	"queued":     offer.Queued{},
	"dispatched": offer.Dispatched{},
	"head":       offer.Head{},
	"data":       offer.Data{},
	"whole":      offer.Finished{Complete: true},
	"refused":    offer.Refused{Outcome: call.NotRun(call.ReasonOverload), Released: true},
	"foreign":    offer.Refused{Outcome: call.Unknown(call.ReasonWrongIncarnation)},
}

// script runs one case of testdata/life.txt.
type script struct {
	machine *offer.Machine
	number  uint32
}

// id returns the request id of the offer with the given number.
func id(number uint32) call.ID { return call.ID(fmt.Sprint("id-", number)) }

// event parses one line. It handles an offer itself and returns any other event.
func (s *script) event(line string) (offer.Event, bool) {
	f := strings.Fields(line)
	switch f[0] {
	case "offer":
		if s.machine == nil {
			s.machine = offer.New(f[1] == "pinned")
		}
		s.number = s.machine.Offer(id(s.number+1), f[1] == "minted")
		return nil, false
	case "frame":
		var number uint32
		var sequence uint64
		_, _ = fmt.Sscan(f[1]+" "+f[2], &number, &sequence)
		return offer.Frame{ID: id(number), Number: number, Sequence: sequence, Content: contents[f[3]]}, true
	case "lost":
		var number uint32
		_, _ = fmt.Sscan(f[1], &number)
		return offer.LinkLost{Number: number}, true
	case "not-sent":
		return offer.NotSent{}, true
	case "shed":
		return offer.Shed{Outcome: call.NotRun(call.ReasonOverload)}, true
	default:
		return offer.Abort{Reason: call.ReasonDeadlinePassed}, true
	}
}

// describe returns an action in the notation of testdata/life.txt.
func describe(a offer.Action) string {
	f, ok := a.(offer.Finish)
	if !ok {
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "offer."))
	}
	how := string(f.Outcome.Reason)
	if f.Outcome.Complete {
		how = "whole"
	}
	return fmt.Sprintf("finish %s ran=%s", how, f.Outcome.Ran)
}

// TestMachineTransitions runs the cases of testdata/life.txt and checks the action
// that each event returns.
func TestMachineTransitions(t *testing.T) {
	b, err := os.ReadFile("testdata/life.txt")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{}
	name := ""
	for i, line := range strings.Split(string(b), "\n") {
		switch {
		case line == "" || line[0] == '#':
			continue
		case strings.HasPrefix(line, "case "):
			name = line
			s = &script{}
			continue
		}
		in, want, _ := strings.Cut(line, "->")
		e, ok := s.event(in)
		if !ok {
			continue
		}
		if s.machine == nil {
			s.machine = offer.New(false)
		}
		if got := describe(s.machine.Step(e)); got != strings.TrimSpace(want) {
			t.Errorf("life.txt:%d: %s: %s: got %q, want %q", i+1, name, strings.TrimSpace(in), got, strings.TrimSpace(want))
		}
	}
}
