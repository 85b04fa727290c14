package entry

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/offer"
	"kingcupstand/core/route"
	"kingcupstand/io/actor"
	"kingcupstand/io/intake"
	"kingcupstand/io/link"
	"kingcupstand/io/telem"
	"kingcupstand/schema/wire"
)

// Times and sizes of a request.
const (
	// deadlineMargin is how long after the deadline an offer that was not dispatched is
	// kept open. The agent normally refuses it in that time, which proves that it has
	// not run.
	deadlineMargin = 250 * time.Millisecond
	// stallMargin is added to the agent's own stall timeout, so that the agent reports a
	// stalled target before the entry takes the agent for stalled.
	stallMargin = 2 * time.Second
	// minRetryAfter is the shortest Retry-After that callers get.
	minRetryAfter = time.Second
	// bodyChunk is the size of the frames of a large request body, in bytes.
	bodyChunk = 16 << 10
)

// Causes for which an offer's context is canceled.
var (
	errDeadline   = errors.New("deadline passed")
	errStalled    = errors.New("agent stalled")
	errOfferEnded = errors.New("offer ended")
)

// request is one request of a caller. It belongs to the goroutine that serves it.
type request struct {
	entry    *Entry
	writer   http.ResponseWriter
	contract conf.Contract
	method   string
	path     string
	header   http.Header
	// body is sent with the offer or, if it is large, once the request is dispatched.
	body *intake.Body
	// responseBytes is what the buffered response holds of the entry's memory.
	responseBytes int64
	// buffered is true if the response is to be sent only when it is complete.
	buffered   bool
	tier       string
	arrived    time.Time
	deadline   time.Time
	idempotent bool
	// routing describes the request to the router.
	routing route.Request

	// id is the request id that is reported to the caller and in the log: the caller's own,
	// or else that of the current offer.
	id call.ID
	// hasID is true if the caller sent the id; ticket is its decoded form. The request is
	// then pinned until the agent that the id names releases it: see offer.Machine.
	ticket call.Ticket
	hasID  bool

	machine *offer.Machine
	// tried are the names of the targets that the request was offered to.
	tried []string
	// refusal is the last refusal by an agent.
	refusal  call.Outcome
	response *response
	span     trace.Span
}

// run offers the request until it has its outcome, and completes the response. It returns
// a fault if no response was begun. If one was begun and can't be completed, it panics
// with http.ErrAbortHandler.
func (r *request) run(ctx context.Context) *fault {
	ctx, r.span = r.entry.telem.StartSpan(telem.Extract(ctx, r.header.Get("traceparent")), "entry.request")
	defer r.span.End()
	r.machine = offer.New(r.hasID)
	r.response = newResponse(r.writer, r.buffered, r.reserveResponse)
	defer r.releaseResponse()
	e := withRetryAfter(r.loop(ctx))
	r.record(e)
	if e.Complete {
		return r.response.finish()
	}
	f := faultFor(e, r.id)
	if r.response.started {
		r.response.abort(f)
	}
	return f
}

// withRetryAfter adds a Retry-After to outcomes after which a later submission may succeed:
// under a new id if the request is idempotent, else under the same id.
func withRetryAfter(e call.Outcome) call.Outcome {
	switch e.Reason {
	case call.ReasonAgentLost, call.ReasonTargetStalled, call.ReasonDeadlinePassed, call.ReasonAnswerCut, call.ReasonTargetUnreachable, call.ReasonPreempted:
		return e.WithRetryAfter(max(e.RetryAfter, minRetryAfter))
	default:
		return e
	}
}

// record reports the outcome to the log, the metrics and the trace.
func (r *request) record(e call.Outcome) {
	how := "answered"
	if !e.Complete {
		how = "ran-" + e.Ran.String()
	}
	s := r.entry.telem.Scope.Tagged(map[string]string{"tier": r.tier, "ending": how})
	s.Counter("requests").Inc(1)
	if e.Complete && time.Now().Before(r.deadline) {
		s.Counter("requests_on_time").Inc(1)
	}
	r.span.SetAttributes(attribute.String("ending", how), attribute.String("reason", string(e.Reason)))
	r.entry.telem.Log.V(1).Info("request ended", "request-id", r.id, "workspace", r.contract.Workspace(), "tier", r.tier,
		"ending", how, "reason", string(e.Reason), "offers", r.machine.Number(), "ignored", r.machine.Ignored())
}

// loop offers the request to one agent after the other until it has an outcome.
func (r *request) loop(ctx context.Context) call.Outcome {
	for {
		c, err := r.choose()
		if err != nil {
			return r.finish(offer.Shed{Outcome: r.shedOutcome(err)})
		}
		if e, ended := r.offer(ctx, c); ended {
			return e
		}
	}
}

// finish passes the machine an event that ends the request, and returns the outcome.
func (r *request) finish(e offer.Event) call.Outcome {
	if f, ok := r.machine.Step(e).(offer.Finish); ok {
		return f.Outcome
	}
	return call.Unknown(call.ReasonAgentLost)
}

// choose asks the router for a target that was not tried. A pinned request may use only
// the target that its id names. It returns errDeadline or an error of the router if there
// is none.
func (r *request) choose() (route.Choice, error) {
	if time.Now().After(r.deadline) {
		return route.Choice{}, errDeadline
	}
	type result struct {
		choice route.Choice
		err    error
	}
	x := actor.Ask(r.entry.loop, func(now time.Duration, s *state) result {
		if r.machine.Pinned() {
			c, err := s.router.Lookup(now, r.routing, r.ticket.Target())
			return result{c, err}
		}
		c, err := s.router.Choose(now, r.routing, r.tried)
		return result{c, err}
	})
	return x.choice, x.err
}

// shedOutcome returns the outcome of a request for which choose has returned an error. For
// a request that is still pinned it is unknown: only the agent that the id names could
// tell whether the request ran.
func (r *request) shedOutcome(err error) call.Outcome {
	retry := max(r.refusal.RetryAfter, minRetryAfter)
	if r.hasID && r.machine.Pinned() {
		return call.Unknown(call.ReasonAgentLost).WithRetryAfter(retry)
	}
	switch {
	case errors.Is(err, errDeadline):
		return call.NotRun(call.ReasonDeadlinePassed).WithRetryAfter(retry)
	case errors.Is(err, route.ErrShedding):
		return call.NotRun(call.ReasonOverload).WithRetryAfter(retry)
	case errors.Is(err, route.ErrRefused):
		return r.refusedByAll(retry)
	default:
		return call.NotRun(call.ReasonNoTarget).WithRetryAfter(retry)
	}
}

// refusedByAll returns the outcome of a request that every agent has refused. It has the
// reason of the last refusal if that is one of those below. Any other reason, or none,
// counts as a lack of capacity: the request is shed for overload, and the router refuses
// lower tiers for a while.
func (r *request) refusedByAll(retry time.Duration) call.Outcome {
	reason := r.refusal.Reason
	switch reason {
	case call.ReasonDeadlineUnreachable, call.ReasonContractChanged, call.ReasonTargetUnreachable, call.ReasonLeaving:
	default:
		reason = call.ReasonOverload
		r.entry.loop.Post(func(now time.Duration, s *state) { s.router.Shed(now, r.routing) })
	}
	return call.NotRun(reason).WithRetryAfter(retry)
}

// offer makes one offer. It returns the outcome of the request and true, or false if the
// request may be offered to another agent.
func (r *request) offer(ctx context.Context, c route.Choice) (call.Outcome, bool) {
	id, minted, err := r.offerID(c)
	if err != nil {
		return r.finish(offer.Abort{Reason: call.ReasonNoTarget}), true
	}
	ctx, span := r.entry.telem.StartSpan(ctx, "entry.offer")
	defer span.End()
	span.SetAttributes(attribute.String("target", c.Target.Name))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errOfferEnded)
	t := time.AfterFunc(time.Until(r.deadline)+deadlineMargin, func() { cancel(errDeadline) })
	defer t.Stop()

	a := &attempt{request: r, choice: c, id: id, cancel: cancel, timer: t}
	a.number = r.machine.Offer(id, minted)
	r.id = id
	if r.hasID {
		r.id = call.ID(r.header.Get(headerID))
	}
	r.tried = append(r.tried, c.Target.Name)
	return a.run(ctx)
}

// offerID returns the id for the next offer: the caller's while the request is pinned, else
// a new one for the chosen agent.
func (r *request) offerID(c route.Choice) (id call.ID, minted bool, err error) {
	if r.machine.Pinned() {
		return r.id, false, nil
	}
	id, err = mint(c)
	return id, true, err
}

// mint returns a new id that only the chosen agent's current incarnation may run.
func mint(c route.Choice) (call.ID, error) {
	var n [call.NonceSize]byte
	if _, err := cryptorand.Read(n[:]); err != nil {
		return "", fmt.Errorf("request id: %w", err)
	}
	return call.NewTicket(c.Target.Name, c.Incarnation, n, c.Uptime+call.IDLifetime).ID(), nil
}

// mintFor returns a new id for the agent that the router chooses for w.
func (e *Entry) mintFor(w route.Request) (call.ID, error) {
	type result struct {
		choice route.Choice
		err    error
	}
	x := actor.Ask(e.loop, func(now time.Duration, s *state) result {
		c, err := s.router.Choose(now, w, nil)
		return result{c, err}
	})
	if x.err != nil {
		return "", x.err
	}
	return mint(x.choice)
}

// packOffer returns the message form of an offer.
func (r *request) packOffer(ctx context.Context, a *attempt) *wire.Offer {
	return &wire.Offer{
		RequestId:    string(a.id),
		Number:       a.number,
		Workspace:    r.contract.Workspace(),
		Tier:         r.tier,
		BudgetMs:     time.Until(r.deadline).Milliseconds(),
		Model:        r.routing.Model,
		Service:      r.routing.Service,
		Method:       r.method,
		Path:         r.path,
		Headers:      link.PackHeaders(r.header, privateHeaders),
		Body:         r.inlineBody(),
		BodyFollows:  r.bodyFollows(),
		PromptTokens: uint32(r.routing.Prompt),
		CachedTokens: uint32(a.choice.Cached),
		OutputTokens: uint32(r.routing.Output),
		Prefix:       r.routing.Prefix,
		TraceParent:  telem.Inject(ctx),
		Revision:     r.entry.node.Config().Revision(),
		Repeatable:   r.idempotent,
		Streamed:     r.routing.Model != "" && !r.buffered,
	}
}

// privateHeaders are the headers that are not forwarded to agents.
var privateHeaders = map[string]bool{
	"Authorization": true, headerTier: true, headerDeadline: true, headerIdempotent: true, headerID: true,
	headerXRequestID: true,
}
