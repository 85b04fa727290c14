package front

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"kingcupstand/core/origin"
	"kingcupstand/core/plan"
	"kingcupstand/core/poison"
	"kingcupstand/core/pool"
	"kingcupstand/io/actor"
	"kingcupstand/io/intake"
)

// Times and bounds of a request.
const (
	// replyMargin is how long before the caller's timeout the final response is given.
	replyMargin = 20 * time.Millisecond
	// noPlanRetry is the Retry-After of a front that has no plan yet.
	noPlanRetry = 300 * time.Millisecond
	// stoppingRetry is the Retry-After of a front that shuts down; the caller's next
	// connection reaches another front.
	stoppingRetry = 50 * time.Millisecond
	// streamCutoff is how long after the start of a shutdown new streams are accepted, at most and
	// as a fraction of the time until requests in flight are aborted, and other requests whatever
	// their time limit. Load balancers have noticed by then, and a long stream would not end within
	// the grace period.
	streamCutoff         = 2500 * time.Millisecond
	streamCutoffFraction = 3
	// minTimeLeft is the time until requests in flight are aborted below which a front that
	// shuts down refuses new requests that are not streams, whatever their time limit.
	minTimeLeft = 400 * time.Millisecond
	// defaultBodyBytes is the limit of request bodies if the plan sets none.
	defaultBodyBytes = 4 << 20
	// maxDispatches is the largest number of dispatches of one request, including those
	// that failed to connect: many targets may have crashed that are still listed.
	maxDispatches = 16
	// failedRetry is the Retry-After of a request that no target has run, if the queue gives
	// none. Targets that could not be reached are tried again after about that time.
	failedRetry = 500 * time.Millisecond
)

// Causes for which a request's context is canceled.
var (
	errTimeout = errors.New("request timed out")
	errStopped = errors.New("front is shutting down")
	errStalled = errors.New("target stalled")
)

// errNotRepeatable ends a request that may have run if a new plan has come into force meanwhile.
var errNotRepeatable = errors.New("route may not be repeated any more")

// request is one request of a caller. It belongs to the goroutine that serves it.
type request struct {
	front  *Front
	writer http.ResponseWriter
	http   *http.Request
	// arrived is when the request reached the front.
	arrived time.Time
	call    Call
	parts   []poison.Part
	// identity is the hash of the whole request, which it shares with its copies.
	identity poison.Part
	// probing is true if the request is isolated and is tried again, at one target.
	probing   bool
	plan      *plan.Plan
	route     *plan.Route
	workspace *plan.Workspace
	service   string
	// tierRank is the rank of the workspace if it has one, else that of the route.
	tierRank int
	// late is true if the request is expected to miss the route's goal.
	late bool
	// body is nil until it was read, and empty once the request can't be sent again. bodyError is why it could
	// not be read. responseBytes is what the response holds of the front's memory.
	body          *intake.Body
	bodyError     error
	responseBytes atomic.Int64
	// deadline is when the final response is due.
	deadline time.Time
	// cost is what the request charges to the workspace: 1, or its tokens.
	cost float64
	// priorTime is the estimate of how long the caller had already tried before this
	// request, and expectedFirstByte the predicted time from a dispatch to the first byte of
	// the response.
	priorTime         time.Duration
	expectedFirstByte time.Duration
	// expectedEvents is the expected number of events of a streamed response, and
	// expectedHold the time for which the request is expected to occupy its slot; both are
	// 0 if they are unknown.
	expectedEvents float64
	expectedHold   time.Duration

	// tried are the targets that the request was sent to, and excluded those that it may
	// not be dispatched to again.
	tried    []string
	excluded []string
	// dispatches counts all dispatches, including those that failed to connect.
	dispatches int
	// mayHaveRun is true if a target may have run the request.
	mayHaveRun bool
	// version is the version of the target that may have run the request last; "" if none has.
	version string
	// fallback is a target's server error, or its answer without events, which is forwarded if no other target
	// answers the request.
	fallback *response
	// mayHaveMore is true if a target that was asked may have had the rest of the stream.
	mayHaveMore bool
	// origin is what began the stream that the caller resumes; nil for a new stream.
	origin *origin.Origin
	// basis is from what the origin is known, if the caller resumes a stream.
	basis basis
	// step is the largest difference between the ids of two events of the route's streams; 0 if it
	// is unknown.
	step uint64
	// stream is the streamed response that the caller is receiving; nil before its start.
	stream *stream
	// released notes that the stream is no longer in progress; nil if callers can't resume it.
	released func(time.Duration, *state)
	// whole is true if the caller has got the whole response.
	whole bool
	// next is the exchange that has taken the request over from a silent target; nil if none has.
	next    *exchange
	summary summary
	span    trace.Span
}

// summary holds values for the log lines of a request: the time in the queue, the predicted
// time from the dispatch to the first byte, the actual time from the arrival to it, the
// error, the requests ahead and the expected wait of a refusal, the requests running at the
// target, the age of the target list, the number of live fronts, and the error of the last
// dispatch that failed.
type summary struct {
	waited    time.Duration
	predicted time.Duration
	firstByte time.Duration
	detail    string
	ahead     int
	expected  time.Duration
	running   int
	listAge   time.Duration
	peers     int
	lastError error
	// overShare is true if the request was queued while its workspace was over its share.
	overShare bool
}

// serve handles one HTTP request of a caller.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{front: f, writer: w, http: r, arrived: time.Now()}
	f.inflight.Add(1)
	defer f.inflight.Add(-1)
	defer q.releaseMemory()
	ctx, span := f.telem.StartSpan(r.Context(), "front.request")
	q.span = span
	defer span.End()
	q.run(ctx)
}

// run processes the request up to its response.
func (q *request) run(ctx context.Context) {
	if s, reason, retryAfter := q.admit(ctx); s != 0 {
		q.refuseUnread(s, reason, retryAfter)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errTimeout)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(q.front.aborted, func() { stop(errStopped) })()
	defer q.releaseOrigin()
	q.loop(ctx)
}

// admit decodes the request, checks whether it may be queued and charges its cost. It
// returns the status, reason and Retry-After of a refusal, or status 0.
func (q *request) admit(ctx context.Context) (status int, reason string, retryAfter time.Duration) {
	var err error
	if q.call, err = q.front.codec.DecodeCall(q.http.Header); err != nil {
		q.summary.detail = err.Error()
		return http.StatusBadRequest, "malformed-headers", 0
	}
	q.plan = q.front.plan.Load()
	if q.plan.Revision() == 0 {
		return http.StatusServiceUnavailable, "no-plan", noPlanRetry
	}
	if s, r := q.resolve(); s != 0 {
		return s, r, 0
	}
	if s, r, after := q.readBody(); s != 0 {
		return s, r, after
	}
	q.identity = poison.RequestOf(q.http.Method, q.http.Host, q.http.RequestURI, q.workspaceName(), q.body.Blocks()...)
	q.parts = q.call.parts()
	q.front.waitInformed(ctx) // callers may be sent to a front that isn't ready
	if left, err := q.isolated(false); err != nil {
		s, reason := q.failureStatus(err)
		return s, reason, left
	}
	q.deadline = q.arrived.Add(q.timeout())
	if q.closing() {
		return http.StatusServiceUnavailable, "stopping", stoppingRetry
	}
	if s, r, after := q.findOrigin(ctx); s != 0 {
		return s, r, after
	}
	return q.charge()
}

// resolve looks up the route, workspace, rank and service in the request's plan. It
// returns the status and reason of a refusal, or status 0. A refused request keeps the terms
// that it has.
func (q *request) resolve() (status int, reason string) {
	if !strings.HasPrefix(q.http.RequestURI, "/") {
		return http.StatusBadRequest, "malformed-target"
	}
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	r, ok := q.plan.Route(q.http.Host, path)
	if !ok {
		return http.StatusNotFound, "no-route"
	}
	w, ok := q.plan.Workspace(q.call.Key)
	if !ok && q.plan.RequiresKey() && !r.Public {
		return http.StatusUnauthorized, "unknown-key"
	}
	service := r.Service(fraction(q.call.ID))
	if q.origin != nil {
		if !r.HasService(q.origin.Service) {
			return http.StatusServiceUnavailable, "service-changed"
		}
		service = q.origin.Service
	}
	q.route, q.workspace, q.tierRank, q.service = r, w, r.Rank, service
	if w != nil && w.HasRank {
		q.tierRank = w.Rank
	}
	return 0, ""
}

// fraction maps a request id evenly to [0, 1), for the weights of a route's services.
func fraction(id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

// timeout returns the longest time from arrival to the final response.
func (q *request) timeout() time.Duration {
	d := q.route.Timeout
	if w := q.call.Timeout - replyMargin; q.call.Timeout > 0 && (d == 0 || w < d) {
		d = max(w, 0)
	}
	if d == 0 {
		d = time.Hour // neither the route nor the caller sets a bound
	}
	return d
}

// closing reports whether the front may exit before it could answer the request. Once load balancers have
// noticed the shutdown, a request that is no stream is accepted only if its time limit is over by then.
func (q *request) closing() bool {
	at, started := q.front.abortAt.Load(), q.front.stopStarted.Load()
	if at == nil {
		return false
	}
	late := time.Since(*started) > min(streamCutoff, at.Sub(*started)/streamCutoffFraction)
	if q.route.Kind == plan.Stream {
		return late
	}
	return late && q.deadline.After(*at) || time.Until(*at) < minTimeLeft
}

// charge takes the request's cost from the workspace's allowance. In the same step on
// the control loop it counts the request for the retry budget and estimates the times
// that its maximum wait depends on.
func (q *request) charge() (status int, reason string, retryAfter time.Duration) {
	n := ""
	if q.workspace != nil {
		n = q.workspace.Name
		q.cost = 1
		if q.workspace.CountsTokens {
			q.cost = float64(q.workspace.DefaultTokens)
			if q.call.HasTokens {
				q.cost = float64(q.call.PromptTokens + q.call.OutputTokens)
			}
		}
	}
	ok := actor.Ask(q.front.loop, func(now time.Duration, s *state) (ok bool) {
		s.budget.CountRequest(now, q.service)
		s.changed = true
		q.summary.peers, _ = s.peers.Count(now)
		q.priorTime = s.spent.Estimate(now, q.route.Name, q.call.Timeout, q.resumes())
		q.expectedFirstByte = s.pool.ExpectedFirstByte(q.service, q.call.PromptTokens)
		if q.route.Kind == plan.Stream {
			q.step = s.steps.Step(q.route.Name)
			q.expectedEvents = s.length.Expect(q.route.Name, q.call.OutputHint)
		}
		if q.expectedEvents > 0 {
			q.expectedHold = s.pool.ExpectedHold(q.service, q.call.PromptTokens, q.expectedEvents)
		}
		if retryAfter, ok = s.quota.Take(now, n, q.cost); !ok {
			a := s.quota.State(now, n)
			q.front.telem.Scope.Tagged(map[string]string{"workspace": n}).Gauge("allowance_left").Update(a.Level)
			q.summary.detail = fmt.Sprintf("remaining %.0f, requested %.0f, rate %.0f, burst %.0f, share of the rate %.2f", a.Level, q.cost, a.Rate, a.Burst, a.Share)
		}
		return ok
	})
	if !ok {
		return http.StatusTooManyRequests, "over-allowance", retryAfter
	}
	return 0, "", 0
}

// refund returns the request's cost to the allowance if the request has not run.
func (q *request) refund() {
	if q.workspace == nil || q.mayHaveRun {
		return
	}
	q.front.loop.Post(func(now time.Duration, s *state) { s.quota.Refund(now, q.workspace.Name, q.cost) })
}

// loop queues and dispatches the request until it is answered or may not be retried.
func (q *request) loop(ctx context.Context) {
	for {
		e := q.next
		q.next = nil
		if e == nil {
			e = q.assign(ctx)
		}
		if e == nil {
			return
		}
		v := q.dispatch(e)
		switch {
		case v.done:
			return
		case v.abort != "":
			q.abort(v.abort)
		}
		q.summary.lastError = v.err
		if !q.retry(ctx, v) {
			q.fail(ctx, v.err, q.pauseLeft(ctx))
			return
		}
	}
}

// assign waits for a slot at a target. It answers the request and returns nil if there is none
// in time, or if a new plan refuses the request.
func (q *request) assign(ctx context.Context) *exchange {
	for {
		w := q.maxWait()
		g := q.acquire(ctx, q.criteria(), w)
		q.summary.waited += g.waited
		if g.err != nil {
			q.summary.ahead, q.summary.expected = g.refusal.Ahead, g.refusal.ExpectedWait
			q.fail(ctx, g.err, g.refusal.RetryAfter)
			return nil
		}
		service := q.service
		if s, reason := q.recheck(); s != 0 {
			q.release(g.choice, service)
			q.refund()
			var after time.Duration
			if s == http.StatusServiceUnavailable {
				after = versionRetry
			}
			q.refuse(s, reason, after)
			return nil
		}
		if q.mayHaveRun && !q.route.Repeatable() {
			q.release(g.choice, service)
			q.fail(ctx, errNotRepeatable, 0)
			return nil
		}
		if q.service != service {
			q.release(g.choice, service)
			continue
		}
		if left, err := q.isolated(true); err != nil {
			q.release(g.choice, service)
			q.fail(ctx, err, left)
			return nil
		}
		q.summary.predicted, q.summary.running, q.summary.listAge = g.choice.ExpectedFirstByte, g.choice.Running, g.listAge
		return q.newExchange(ctx, g.choice, q.place(), q.dispatches)
	}
}

// release returns a slot at a target of a service that was granted but is not used.
func (q *request) release(c pool.Choice, service string) {
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.pool.End(now, c.ID, q.call.PromptTokens, pool.Neutral)
		q.front.dispatchQueued(now, s, service)
	})
}

// recheck resolves the request again if the plan has changed while it waited. It returns the
// status and reason of a refusal, or status 0. A request that was sent to a target before keeps
// its terms if the new plan refuses it, as it may have run.
func (q *request) recheck() (status int, reason string) {
	p := q.front.plan.Load()
	if p == q.plan || q.stream != nil {
		return 0, ""
	}
	q.plan = p
	if s, r := q.resolve(); len(q.tried) == 0 {
		return s, r
	}
	return 0, ""
}

// result is the outcome of one dispatch.
type result struct {
	// done is true if the caller has its response or has disconnected.
	done bool
	// abort is why the caller's connection is to be broken, as the response that has begun can't
	// be continued; "" if it isn't.
	abort string
	// sent is true if any byte of the request may have reached the target.
	sent bool
	// mayHaveRun is true if the target may have run the request.
	mayHaveRun bool
	err        error
}

// retry reports whether the request may be dispatched again, and if so, takes it from
// the retry budget. Nothing is taken if the last dispatch sent nothing. A request that may
// have run is dispatched again only if its route is repeatable.
func (q *request) retry(ctx context.Context, v result) bool {
	if q.next != nil {
		return true // taken from the budget before
	}
	if ctx.Err() != nil || errors.Is(v.err, errTimeout) || q.dispatches >= maxDispatches {
		return false
	}
	if _, err := q.isolated(false); err != nil {
		return false
	}
	if v.mayHaveRun && (q.probing || !q.route.Repeatable()) {
		return false
	}
	if q.stream != nil && !q.stream.at.Joinable() {
		return false // whether events come twice or are missing could not be checked
	}
	if !v.sent {
		return true
	}
	if len(q.tried) >= q.route.Attempts {
		return false
	}
	return q.takeRetry(v.err, q.tried)
}

// takeRetry takes a retry after the error of an exchange from the retry budget. Tried are the
// targets that the request was sent to.
func (q *request) takeRetry(err error, tried []string) bool {
	ok := actor.Ask(q.front.loop, func(now time.Duration, s *state) bool {
		return s.budget.Take(now, q.service)
	})
	q.front.meter.countRetry(err, ok)
	q.front.log("repeat", "repeat", "request-id", q.call.ID, "allowed", ok, "error", err.Error(), "tried", tried)
	return ok
}
