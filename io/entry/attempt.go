package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/offer"
	"kingcupstand/core/route"
	"kingcupstand/io/link"
	"kingcupstand/schema/wire"
)

// attempt is one offer of a request to one agent.
type attempt struct {
	request *request
	choice  route.Choice
	id      call.ID
	number  uint32
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	wire    wire.DRPCAgent_OfferClient
}

// run makes the offer and passes the answer on. It reports false if the request
// may be offered to another agent.
func (a *attempt) run(ctx context.Context) (call.Outcome, bool) {
	defer func() { a.timer.Stop() }()
	r := a.request
	w, err := r.entry.link.Offer(ctx, a.choice.Target.Peer)
	if err != nil {
		return a.notSent(ctx)
	}
	a.wire = w
	a.post(func(now time.Duration, s *state) { s.router.Sent(now, a.choice.Target.Name, r.want) })
	if err := w.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_Offer{Offer: r.message(ctx, a)}}); err != nil {
		return r.last(a.lost(ctx)), true
	}
	for {
		f, err := w.Recv()
		if err != nil {
			return r.last(a.lost(ctx)), true
		}
		if e, over, ended := a.frame(f); over {
			return e, ended
		}
	}
}

// post hands a function to the entry's control goroutine.
func (a *attempt) post(f func(time.Duration, *state)) {
	a.request.entry.loop.Post(f)
}

// notSent handles an offer of which no byte left.
func (a *attempt) notSent(ctx context.Context) (call.Outcome, bool) {
	if ctx.Err() != nil {
		return a.request.last(a.lost(ctx)), true
	}
	a.suspect()
	switch x := a.request.life.Step(offer.NotSent{}).(type) {
	case offer.Finish:
		return x.Outcome, true
	default:
		return call.Outcome{}, false
	}
}

func (a *attempt) suspect() {
	a.post(func(now time.Duration, s *state) { s.router.Suspect(now, a.choice.Target.Name) })
}

// lost returns the event for an offer whose stream ended: it says who ended it.
func (a *attempt) lost(ctx context.Context) offer.Event {
	switch c := context.Cause(ctx); {
	case errors.Is(c, errDeadline):
		return offer.Abort{Reason: call.ReasonDeadlinePassed}
	case errors.Is(c, errStalled):
		a.suspect()
		return offer.Abort{Reason: call.ReasonTargetStalled}
	case c != nil:
		return offer.Abort{Reason: call.ReasonCallerGone}
	default:
		a.suspect()
		return offer.LinkLost{Number: a.number}
	}
}

// frame handles one frame. It reports whether the offer is over, and if so,
// whether the request has ended.
func (a *attempt) frame(f *wire.AgentFrame) (e call.Outcome, over, ended bool) {
	if f.Load != nil {
		a.request.entry.report(a.choice.Target.Name, f.Load)
	}
	switch x := a.request.life.Step(unpackFrame(f)).(type) {
	case offer.Choose:
		a.refused(x.Refusal)
		return call.Outcome{}, true, false
	case offer.Finish:
		return x.Outcome, true, true
	case offer.Forward:
		if err := a.forward(f); err != nil {
			return a.request.last(offer.Abort{Reason: call.ReasonCallerGone}), true, true
		}
	case offer.Wait:
		a.progress(f)
	}
	return call.Outcome{}, false, false
}

// refused tells the router what the agent said.
func (a *attempt) refused(e call.Outcome) {
	a.request.refusal = e
	a.post(func(now time.Duration, s *state) {
		s.router.Refused(now, a.choice.Target.Name, a.request.want, e)
	})
}

// progress replaces the deadline's watch by the watch over a silent agent once
// the request is dispatched, and sends a streamed body.
func (a *attempt) progress(f *wire.AgentFrame) {
	if f.GetDispatched() == nil {
		return
	}
	if a.timer.Stop() {
		a.timer = time.AfterFunc(a.stall(), func() { a.cancel(errStalled) })
	}
	if a.request.stream != nil {
		go a.runBody()
	}
}

func (a *attempt) stall() time.Duration {
	return time.Duration(a.request.entry.settings.StallMs)*time.Millisecond + stallMargin
}

// runBody sends the request's body. If it ends early, so does the offer.
func (a *attempt) runBody() {
	b := make([]byte, bodyChunk)
	for {
		n, err := a.request.stream.Read(b)
		if n > 0 {
			if a.wire.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_Body{Body: b[:n]}}) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = a.wire.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_BodyEnd{BodyEnd: true}})
			return
		}
		if err != nil {
			a.cancel(err)
			return
		}
	}
}

// forward passes a piece of the answer to the caller.
func (a *attempt) forward(f *wire.AgentFrame) error {
	a.timer.Reset(a.stall())
	r := a.request
	if h := f.GetHead(); h != nil {
		r.writer.Header().Set(headerID, string(r.id))
		r.answer.head(h, r.life.Number())
		return nil
	}
	return r.answer.data(f.GetData())
}

// unpackFrame returns the part of a frame that a Life judges.
func unpackFrame(f *wire.AgentFrame) offer.Frame {
	return offer.Frame{
		ID:       call.ID(f.RequestId),
		Number:   f.Number,
		Sequence: f.Sequence,
		Content:  unpackKind(f),
	}
}

func unpackKind(f *wire.AgentFrame) offer.Content {
	switch k := f.Kind.(type) {
	case *wire.AgentFrame_Refused:
		return offer.Refused{Outcome: link.UnpackRefusal(k.Refused), Released: k.Refused.Released}
	case *wire.AgentFrame_Queued:
		return offer.Queued{}
	case *wire.AgentFrame_Dispatched:
		return offer.Dispatched{}
	case *wire.AgentFrame_Head:
		return offer.Head{}
	case *wire.AgentFrame_Data:
		return offer.Data{}
	case *wire.AgentFrame_End:
		return offer.Finished{
			Complete:   k.End.Whole,
			Reason:     call.Reason(k.End.Reason),
			RetryAfter: time.Duration(k.End.RetryAfterMs) * time.Millisecond,
		}
	default:
		return nil
	}
}
