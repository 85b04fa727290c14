package entry

import (
	"context"
	"errors"
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
	// timer cancels the offer: deadlineMargin after the deadline if the request was not
	// dispatched by then, and after the dispatch when the agent stalls.
	timer *time.Timer
	wire  wire.DRPCAgent_OfferClient
}

// run makes the offer and forwards the response. It returns the outcome of the request and
// true, or false if the request may be offered to another agent.
func (a *attempt) run(ctx context.Context) (call.Outcome, bool) {
	defer func() { a.timer.Stop() }()
	r := a.request
	w, err := r.entry.link.Offer(ctx, a.choice.Target.Peer)
	if err != nil {
		return a.notSent(ctx, err)
	}
	a.wire = w
	a.post(func(now time.Duration, s *state) { s.router.Sent(now, a.choice.Target.Name, r.routing) })
	if err := w.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_Offer{Offer: r.packOffer(ctx, a)}}); err != nil {
		return r.finish(a.endEvent(ctx)), true
	}
	for {
		f, err := w.Recv()
		if err != nil {
			return r.finish(a.endEvent(ctx)), true
		}
		if e, over, ended := a.handleFrame(f); over {
			return e, ended
		}
	}
}

// post runs a function on the entry's control loop, asynchronously.
func (a *attempt) post(f func(time.Duration, *state)) {
	a.request.entry.loop.Post(f)
}

// notSent handles an error before any byte of the offer was sent. It returns what run
// returns.
func (a *attempt) notSent(ctx context.Context, err error) (call.Outcome, bool) {
	if ctx.Err() != nil {
		return a.request.finish(a.endEvent(ctx)), true
	}
	a.request.entry.telem.Log.Info("offer not sent", "request-id", a.id, "target", a.choice.Target.Name, "error", err.Error())
	a.suspect()
	switch x := a.request.machine.Step(offer.NotSent{}).(type) {
	case offer.Finish:
		return x.Outcome, true
	default:
		return call.Outcome{}, false
	}
}

// suspect makes the router avoid the target for a while, because its link failed or its
// agent stalled.
func (a *attempt) suspect() {
	a.post(func(now time.Duration, s *state) { s.router.Suspect(now, a.choice.Target.Name) })
}

// endEvent returns the event for an offer stream that ended without a final frame. It
// depends on what ended the stream: the deadline, a stall, the caller or the link.
func (a *attempt) endEvent(ctx context.Context) offer.Event {
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

// handleFrame handles one frame. Over is true if the offer has ended, and ended if the
// request has as well, with outcome e.
func (a *attempt) handleFrame(f *wire.AgentFrame) (e call.Outcome, over, ended bool) {
	if f.Load != nil {
		a.request.entry.report(a.choice.Target.Name, f.Load)
	}
	switch x := a.request.machine.Step(unpackFrame(f)).(type) {
	case offer.Choose:
		a.recordRefusal(x.Refusal)
		return call.Outcome{}, true, false
	case offer.Finish:
		return x.Outcome, true, true
	case offer.Forward:
		if err := a.forward(f); err != nil {
			return a.request.finish(offer.Abort{Reason: call.ReasonCallerGone}), true, true
		}
	case offer.Wait:
		a.progress(f)
	}
	return call.Outcome{}, false, false
}

// recordRefusal reports an agent's refusal to the router and keeps it as the last one of
// the request.
func (a *attempt) recordRefusal(e call.Outcome) {
	a.request.refusal = e
	a.post(func(now time.Duration, s *state) {
		s.router.Refused(now, a.choice.Target.Name, a.request.routing, e)
	})
}

// progress handles a frame that is not forwarded. Once the request is dispatched, it
// replaces the deadline by the stall timeout and starts to send a long body.
func (a *attempt) progress(f *wire.AgentFrame) {
	if f.GetDispatched() == nil {
		return
	}
	if a.timer.Stop() {
		a.timer = time.AfterFunc(a.stallTimeout(), func() { a.cancel(errStalled) })
	}
	if a.request.bodyFollows() {
		go a.runBody()
	}
}

// stallTimeout returns how long the agent may send nothing after the dispatch.
func (a *attempt) stallTimeout() time.Duration {
	return time.Duration(a.request.entry.settings.StallMs)*time.Millisecond + stallMargin
}

// forward passes a part of the response to the caller and restarts the stall timer.
func (a *attempt) forward(f *wire.AgentFrame) error {
	a.timer.Reset(a.stallTimeout())
	r := a.request
	if h := f.GetHead(); h != nil {
		r.writer.Header().Set(headerID, string(r.id))
		r.response.head(h, r.machine.Number())
		return nil
	}
	return r.response.data(f.GetData())
}

// unpackFrame returns the form of a frame that offer.Machine uses.
func unpackFrame(f *wire.AgentFrame) offer.Frame {
	return offer.Frame{
		ID:       call.ID(f.RequestId),
		Number:   f.Number,
		Sequence: f.Sequence,
		Content:  unpackContent(f),
	}
}

// unpackContent returns the content of a frame, or nil if its kind is unknown.
func unpackContent(f *wire.AgentFrame) offer.Content {
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
