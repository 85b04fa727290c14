package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"kingcupstand/core/call"
	"kingcupstand/core/gate"
	"kingcupstand/io/link"
	"kingcupstand/io/target"
	"kingcupstand/io/telem"
	"kingcupstand/schema/wire"
)

// errNoOffer is returned to an entry whose stream does not begin with an offer.
var errNoOffer = errors.New("stream does not begin with an offer")

// errCanceled is the context's cause when the gate cancels a dispatched request.
var errCanceled = errors.New("canceled by the gate")

// stream serves one offer of an entry.
type stream struct {
	agent   *Agent
	wire    wire.DRPCAgent_OfferStream
	offer   *wire.Offer
	id      gate.StreamID
	actions <-chan gate.Action
	span    trace.Span

	// mu serializes sends. It guards sequence, the sequence number of the next frame.
	mu       sync.Mutex
	sequence uint64
	// canceled is the outcome of a request that the gate canceled, or nil.
	canceled atomic.Pointer[call.Outcome]
	// firstByte is true once the first byte of the response body was reported to the gate.
	firstByte atomic.Bool
}

// Offer implements wire.DRPCAgentServer. It serves one offer until its final frame is
// sent. If the entry disconnects first, it returns once the offer is out of the queue
// or, if it was dispatched, the target's response has ended.
func (a *Agent) Offer(w wire.DRPCAgent_OfferStream) error {
	f, err := w.Recv()
	if err != nil {
		return fmt.Errorf("receive offer: %w", err)
	}
	o := f.GetOffer()
	if o == nil {
		return errNoOffer
	}
	a.streams.Add(1)
	defer a.streams.Add(-1)
	ctx, span := a.telem.StartSpan(telem.Extract(w.Context(), o.TraceParent), "agent.offer")
	defer span.End()
	span.SetAttributes(attribute.String("request-id", o.RequestId), attribute.String("tier", o.Tier))
	s := &stream{agent: a, wire: w, offer: o, span: span}
	s.id, s.actions = a.register(unpack(o))
	return s.run(ctx)
}

// unpack returns the gate's form of an offer.
func unpack(o *wire.Offer) gate.Offer {
	return gate.Offer{
		ID:         call.ID(o.RequestId),
		Workspace:  o.Workspace,
		Tier:       o.Tier,
		Budget:     time.Duration(o.BudgetMs) * time.Millisecond,
		Prompt:     int(o.PromptTokens),
		Cached:     int(o.CachedTokens),
		Output:     int(o.OutputTokens),
		Idempotent: o.Repeatable,
		Streamed:   o.Streamed,
	}
}

// run carries out the gate's actions until the offer is refused, its response has ended
// or the entry disconnects from the queued offer.
func (s *stream) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			// The entry disconnected. If the gate has dispatched the request in the
			// meantime, the Dispatch action is in the channel and must be carried out.
			s.disconnect(ctx)
			return nil
		case x := <-s.actions:
			switch x := x.(type) {
			case gate.Queued:
				_ = s.send(&wire.AgentFrame{Kind: &wire.AgentFrame_Queued{Queued: &wire.Queued{}}})
			case gate.Refuse:
				s.agent.unregister(s.id, gate.Tick{})
				return s.refuse(x.Outcome, x.Released)
			case gate.Dispatch:
				return s.dispatch(ctx)
			}
		}
	}
}

// disconnect handles the loss of the entry while the offer is queued. If the gate has
// dispatched the request in the meantime, the dispatch is carried out all the same.
func (s *stream) disconnect(ctx context.Context) {
	s.agent.disconnect(s.id)
	for {
		select {
		case x := <-s.actions:
			if _, ok := x.(gate.Dispatch); ok {
				_ = s.dispatch(ctx)
				return
			}
		default:
			s.agent.unregister(s.id, gate.Tick{})
			return
		}
	}
}

// refuse sends a refusal. It is the only frame after which the entry may offer the request
// to another agent.
func (s *stream) refuse(e call.Outcome, released bool) error {
	s.span.SetAttributes(attribute.String("refused", string(e.Reason)))
	return s.send(&wire.AgentFrame{
		Kind: &wire.AgentFrame_Refused{Refused: link.PackRefusal(e, released)},
		Load: s.agent.load(),
	})
}

// dispatch sends the request to the target and forwards the response to the entry.
func (s *stream) dispatch(ctx context.Context) error {
	ctx, span := s.agent.telem.StartSpan(ctx, "agent.dispatch")
	defer span.End()
	if !s.offer.Repeatable {
		// The request may have side effects: it is run to its end even if its entry
		// disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go s.runCancel(cancel, done)
	r := s.agent.client.Run(ctx, s.request(ctx), s)
	s.agent.unregister(s.id, gate.Finish{
		Stream:   s.id,
		Complete: r.Complete,
		Unsent:   !r.Sent,
		Prompt:   r.Usage.PromptTokens,
		Cached:   r.Usage.CachedTokens,
		Output:   r.Usage.OutputTokens,
	})
	if !r.Sent {
		return s.refuse(call.NotRun(r.Reason), true)
	}
	return s.end(r)
}

// runCancel cancels a dispatched request when the gate asks for it, and reports to the
// gate when the entry disconnects. It returns when done is closed.
func (s *stream) runCancel(cancel context.CancelCauseFunc, done <-chan struct{}) {
	disconnected := s.wire.Context().Done()
	for {
		select {
		case <-done:
			return
		case <-disconnected:
			disconnected = nil
			s.agent.post(gate.Disconnect{Stream: s.id})
		case x := <-s.actions:
			if c, ok := x.(gate.Cancel); ok {
				s.canceled.Store(&c.Outcome)
				cancel(errCanceled)
			}
		}
	}
}

// request returns the HTTP request for the target.
func (s *stream) request(ctx context.Context) target.Request {
	h := make(http.Header)
	for _, l := range s.offer.Headers {
		h.Add(l.Name, l.Value)
	}
	h.Set("X-Request-Id", s.offer.RequestId)
	if p := telem.Inject(ctx); p != "" {
		h.Set("traceparent", p)
	}
	q := target.Request{Method: s.offer.Method, Path: s.offer.Path, Header: h}
	switch {
	case s.offer.BodyFollows:
		q.Body = &bodyReader{wire: s.wire}
	case len(s.offer.Body) > 0:
		q.Body = &bodyReader{unread: s.offer.Body, ended: true}
	}
	return q
}

// end logs the result of a response and sends its final frame.
func (s *stream) end(r target.Result) error {
	e := &wire.End{
		Whole:        r.Complete,
		Reason:       string(r.Reason),
		PromptTokens: uint32(r.Usage.PromptTokens),
		CachedTokens: uint32(r.Usage.CachedTokens),
		OutputTokens: uint32(r.Usage.OutputTokens),
	}
	if c := s.canceled.Load(); c != nil && !r.Complete {
		e.Reason = string(c.Reason)
		e.RetryAfterMs = c.RetryAfter.Milliseconds()
	}
	s.agent.telem.Log.V(1).Info("request ended", "request-id", s.offer.RequestId, "workspace", s.offer.Workspace,
		"rank", s.agent.tierRank(s.offer.Workspace, s.offer.Tier), "whole", r.Complete, "reason", e.Reason)
	return s.send(&wire.AgentFrame{Kind: &wire.AgentFrame_End{End: e}, Load: s.agent.load()})
}

// Connected implements target.Sink.
func (s *stream) Connected() {
	_ = s.send(&wire.AgentFrame{Kind: &wire.AgentFrame_Dispatched{Dispatched: &wire.Dispatched{}}})
}

// Head implements target.Sink.
func (s *stream) Head(status int, h http.Header) error {
	return s.forward(&wire.AgentFrame{Kind: &wire.AgentFrame_Head{Head: &wire.Head{
		Status:  int32(status),
		Headers: link.PackHeaders(h, nil),
	}}})
}

// Data implements target.Sink.
func (s *stream) Data(b []byte) error {
	if s.firstByte.CompareAndSwap(false, true) {
		s.agent.post(gate.FirstByte{Stream: s.id})
	}
	return s.forward(&wire.AgentFrame{Kind: &wire.AgentFrame_Data{Data: b}})
}

// forward sends a part of the response to the entry. If the request is not idempotent,
// failures are ignored, so that the target's response is read to its end.
func (s *stream) forward(f *wire.AgentFrame) error {
	err := s.send(f)
	if err != nil && !s.offer.Repeatable {
		return nil
	}
	return err
}

// send numbers a frame and sends it to the entry. It may be called concurrently.
func (s *stream) send(f *wire.AgentFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.RequestId = s.offer.RequestId
	f.Number = s.offer.Number
	f.Sequence = s.sequence
	s.sequence++
	if err := s.wire.Send(f); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// errBodyTruncated is returned to net/http if the entry disconnects before the end of the
// request body.
var errBodyTruncated = errors.New("request body ended early")

// bodyReader reads a request body that came with the offer, or that follows it in frames
// of its own.
type bodyReader struct {
	wire   wire.DRPCAgent_OfferStream
	unread []byte
	ended  bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		f, err := b.wire.Recv()
		if err != nil {
			return 0, errBodyTruncated
		}
		b.unread = f.GetBody()
		b.ended = f.GetBodyEnd()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}
