package entry

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/offer"
	"kingcupstand/core/route"
	"kingcupstand/io/actor"
	"kingcupstand/io/link"
	"kingcupstand/io/telem"
	"kingcupstand/schema/wire"
)

// Times of a request.
const (
	// deadlineMargin is how long after its deadline a request that was not
	// dispatched is still left to the agent, which can say that it did not run.
	deadlineMargin = 250 * time.Millisecond
	// stallMargin is added to the agent's own watch over a silent target.
	stallMargin = 2 * time.Second
	minRetry    = time.Second
	bodyChunk   = 16 << 10
)

// Causes of a canceled offer.
var (
	errDeadline = errors.New("deadline passed")
	errStalled  = errors.New("agent fell silent")
	errOver     = errors.New("offer is over")
)

// request is one caller's request on its way.
type request struct {
	entry      *Entry
	writer     http.ResponseWriter
	contract   conf.Contract
	method     string
	path       string
	header     http.Header
	body       []byte
	stream     io.Reader
	buffered   bool
	tier       string
	arrived    time.Time
	deadline   time.Time
	repeatable bool
	want       route.Request

	id     call.ID
	ticket call.Ticket
	pinned bool

	life    *offer.Machine
	tried   []string
	refusal call.Outcome
	answer  *answer
	span    trace.Span
}

// run sees the request through to its single ending.
func (r *request) run(ctx context.Context) *fault {
	ctx, r.span = r.entry.telem.StartSpan(telem.Extract(ctx, r.header.Get("traceparent")), "entry.request")
	defer r.span.End()
	r.life = offer.New(r.pinned)
	r.answer = newAnswer(r.writer, r.buffered)
	e := withRetry(r.loop(ctx))
	r.count(e)
	if e.Complete {
		return r.answer.finish()
	}
	f := ended(e, r.id)
	if r.answer.begun {
		r.answer.abort(f)
	}
	return f
}

// withRetry tells the caller when to come back where a later submission can get a
// better answer: under a new id if the call may be repeated, else under the same.
func withRetry(e call.Outcome) call.Outcome {
	switch e.Reason {
	case call.ReasonAgentLost, call.ReasonTargetStalled, call.ReasonDeadlinePassed, call.ReasonAnswerCut, call.ReasonTargetUnreachable, call.ReasonPreempted:
		return e.WithRetryAfter(max(e.RetryAfter, minRetry))
	default:
		return e
	}
}

// count reports the ending to logs, metrics and the trace.
func (r *request) count(e call.Outcome) {
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
		"ending", how, "reason", string(e.Reason), "offers", r.life.Number(), "ignored", r.life.Ignored())
}

// loop offers the request to one agent after the other while that is allowed.
func (r *request) loop(ctx context.Context) call.Outcome {
	for {
		c, err := r.choose()
		if err != nil {
			return r.last(offer.Shed{Outcome: r.shed(err)})
		}
		if e, ended := r.offer(ctx, c); ended {
			return e
		}
	}
}

// last gives the life an event that ends it.
func (r *request) last(e offer.Event) call.Outcome {
	if f, ok := r.life.Step(e).(offer.Finish); ok {
		return f.Outcome
	}
	return call.Unknown(call.ReasonAgentLost)
}

// choose asks the router for a target. A pinned request has only one.
func (r *request) choose() (route.Choice, error) {
	if time.Now().After(r.deadline) {
		return route.Choice{}, errDeadline
	}
	type result struct {
		choice route.Choice
		err    error
	}
	x := actor.Ask(r.entry.loop, func(now time.Duration, s *state) result {
		if r.life.Pinned() {
			c, err := s.router.Lookup(now, r.want, r.ticket.Target())
			return result{c, err}
		}
		c, err := s.router.Choose(now, r.want, r.tried)
		return result{c, err}
	})
	return x.choice, x.err
}

// shed returns the ending of a request that no agent takes.
func (r *request) shed(err error) call.Outcome {
	retry := max(r.refusal.RetryAfter, minRetry)
	if r.pinned && r.life.Pinned() {
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

// refusedByAll returns the ending of a request that every agent has refused. If
// the reason was want of capacity, lower tiers are held back from now on.
func (r *request) refusedByAll(retry time.Duration) call.Outcome {
	reason := r.refusal.Reason
	switch reason {
	case call.ReasonDeadlineUnreachable, call.ReasonContractChanged, call.ReasonTargetUnreachable, call.ReasonLeaving:
	default:
		reason = call.ReasonOverload
		r.entry.loop.Post(func(now time.Duration, s *state) { s.router.Shed(now, r.want) })
	}
	return call.NotRun(reason).WithRetryAfter(retry)
}

// offer makes one offer. It reports false if the request may be offered to
// another agent.
func (r *request) offer(ctx context.Context, c route.Choice) (call.Outcome, bool) {
	id, minted, err := r.identify(c)
	if err != nil {
		return r.last(offer.Abort{Reason: call.ReasonNoTarget}), true
	}
	ctx, span := r.entry.telem.StartSpan(ctx, "entry.offer")
	defer span.End()
	span.SetAttributes(attribute.String("target", c.Target.Name))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errOver)
	t := time.AfterFunc(time.Until(r.deadline)+deadlineMargin, func() { cancel(errDeadline) })
	defer t.Stop()

	a := &attempt{request: r, choice: c, id: id, cancel: cancel, timer: t}
	a.number = r.life.Offer(id, minted)
	r.id = id
	if r.pinned {
		r.id = call.ID(r.header.Get(headerID))
	}
	r.tried = append(r.tried, c.Target.Name)
	return a.run(ctx)
}

// identify returns the id to offer under: the caller's while the request is
// pinned, else a new one for the chosen agent.
func (r *request) identify(c route.Choice) (id call.ID, minted bool, err error) {
	if r.life.Pinned() {
		return r.id, false, nil
	}
	id, err = mint(c)
	return id, true, err
}

// mint returns a new id that only the chosen agent's incarnation may run.
func mint(c route.Choice) (call.ID, error) {
	var n [call.NonceSize]byte
	if _, err := cryptorand.Read(n[:]); err != nil {
		return "", fmt.Errorf("request id: %w", err)
	}
	return call.NewTicket(c.Target.Name, c.Incarnation, n, c.Uptime+call.IDLifetime).ID(), nil
}

// mintFor returns a new id for the agent that would be chosen now.
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

// message returns the offer as an agent gets it.
func (r *request) message(ctx context.Context, a *attempt) *wire.Offer {
	return &wire.Offer{
		RequestId:    string(a.id),
		Number:       a.number,
		Workspace:    r.contract.Workspace(),
		Tier:         r.tier,
		BudgetMs:     time.Until(r.deadline).Milliseconds(),
		Model:        r.want.Model,
		Service:      r.want.Service,
		Method:       r.method,
		Path:         r.path,
		Headers:      link.PackHeaders(r.header, private),
		Body:         r.body,
		BodyFollows:  r.stream != nil,
		PromptTokens: uint32(r.want.Prompt),
		CachedTokens: uint32(a.choice.Cached),
		OutputTokens: uint32(r.want.Output),
		Prefix:       r.want.Prefix,
		TraceParent:  telem.Inject(ctx),
		Revision:     r.entry.node.Config().Revision(),
		Repeatable:   r.repeatable,
		Streamed:     r.want.Model != "" && !r.buffered,
	}
}

// private are the headers that do not leave the entry.
var private = map[string]bool{
	"Authorization": true, headerTier: true, headerDeadline: true, headerIdempotent: true, headerID: true,
	headerOwnID: true,
}
