package front

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace"

	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/sched"
	"kingcupstand/io/ctrl"
)

// Times of a request.
const (
	// answerMargin before a caller stops waiting, the final answer is given.
	answerMargin = 20 * time.Millisecond
	// defaultGoal is used for routes that name none.
	defaultGoal = time.Second
	// noPlanPause is when a caller is asked back by a front that has no plan yet.
	noPlanPause = 300 * time.Millisecond
	// stopPause is when a caller that came to a stopping front is asked back; it
	// will reach another one.
	stopPause = 50 * time.Millisecond
	// streamStop after its stop began, a front takes no new streams: balancers have
	// noticed by then, and a long stream would not end within the grace period.
	streamStop = 2500 * time.Millisecond
	// plainStop is the time that a stopping front wants for other new requests.
	plainStop = 400 * time.Millisecond
	// defaultBody bounds bodies while the plan sets no limit, in bytes.
	defaultBody = 4 << 20
	// sends is the most connections that are tried for one request, whether they
	// can be opened or not.
	sends = 4
)

// Causes of a canceled request.
var (
	errTimeout = errors.New("time is up")
	errStopped = errors.New("the process stops")
	errStalled = errors.New("target is silent")
)

// request is one caller's attempt on its way.
type request struct {
	front     *Front
	writer    http.ResponseWriter
	http      *http.Request
	arrived   time.Time
	call      Call
	plan      *plan.Plan
	route     *plan.Route
	workspace *plan.Workspace
	service   string
	rank      int
	late      bool
	body      []byte
	deadline  time.Time
	cost      float64
	// spent is how long the caller had tried before this attempt, and expect the
	// time to an answer's first byte once it is sent.
	spent  time.Duration
	expect time.Duration

	// tried are the targets that got the request, and shunned those that may not
	// get it any more.
	tried   []string
	shunned []string
	sends   int
	// ran is true if a target may have run the request, and ranBefore if one may
	// have before the last send.
	ran       bool
	ranBefore bool
	// held is a target's failure that is passed on if no other answer comes.
	held *answer
	// out is the answer that the caller has begun to get.
	out  *stream
	note note
	span trace.Span
}

// note is what the line about the request's end tells.
type note struct {
	waited    time.Duration
	predicted time.Duration
	first     time.Duration
	reason    string
	ahead     int
	expected  time.Duration
	running   int
	listAge   time.Duration
	peers     int
}

// serve answers one request of a caller.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{front: f, writer: w, http: r, arrived: time.Now()}
	f.inflight.Add(1)
	defer f.inflight.Add(-1)
	ctx, span := f.telem.Start(r.Context(), "front.request")
	q.span = span
	defer span.End()
	q.run(ctx)
}

// run sees the request through to its single ending.
func (q *request) run(ctx context.Context) {
	if s, reason, retry := q.admit(); s != 0 {
		q.refuse(s, reason, retry)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errTimeout)
	defer cancel()
	if at := q.front.stopAt.Load(); at != nil {
		ctx, cancel = context.WithDeadlineCause(ctx, *at, errStopped)
		defer cancel()
	}
	q.loop(ctx)
}

// admit decodes and judges the request. It returns the status of a refusal, or 0.
func (q *request) admit() (status int, reason string, retry time.Duration) {
	var err error
	if q.call, err = q.front.codec.DecodeCall(q.http.Header); err != nil {
		q.note.reason = err.Error()
		return http.StatusBadRequest, "malformed-headers", 0
	}
	q.plan = q.front.plan.Load()
	if q.plan.Revision() == 0 {
		return http.StatusServiceUnavailable, "no-plan", noPlanPause
	}
	if s, r := q.judge(); s != 0 {
		return s, r, 0
	}
	if s, r := q.read(); s != 0 {
		return s, r, 0
	}
	q.deadline = q.arrived.Add(q.patience())
	if q.closing() {
		return http.StatusServiceUnavailable, "stopping", stopPause
	}
	return q.take()
}

// judge finds the route and the workspace in the plan that the request goes by.
func (q *request) judge() (status int, reason string) {
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
	q.route, q.workspace, q.rank = r, w, r.Rank
	if w != nil && w.HasRank {
		q.rank = w.Rank
	}
	q.service = r.Service(point(q.call.ID))
	return 0, ""
}

// point spreads request ids over 0 to 1.
func point(id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

// read takes the body.
func (q *request) read() (status int, reason string) {
	n := q.plan.Limits().BodyBytes
	if n <= 0 {
		n = defaultBody
	}
	if q.http.ContentLength > n {
		return http.StatusRequestEntityTooLarge, "body-too-large"
	}
	if q.http.Body == http.NoBody {
		return 0, ""
	}
	b, err := io.ReadAll(io.LimitReader(q.http.Body, n+1))
	if err != nil {
		q.note.reason = err.Error()
		return http.StatusBadRequest, "body-cut"
	}
	if int64(len(b)) > n {
		return http.StatusRequestEntityTooLarge, "body-too-large"
	}
	q.body = b
	return 0, ""
}

// patience returns how long the caller may be kept waiting in all.
func (q *request) patience() time.Duration {
	d := q.route.Timeout
	if w := q.call.Timeout - answerMargin; q.call.Timeout > 0 && (d == 0 || w < d) {
		d = max(w, 0)
	}
	if d == 0 {
		d = time.Hour // neither the route nor the caller sets a bound
	}
	return d
}

// closing reports whether the front may end before the request does.
func (q *request) closing() bool {
	at, began := q.front.stopAt.Load(), q.front.stopBegan.Load()
	if at == nil {
		return false
	}
	if q.route.Kind == plan.Stream {
		return time.Since(*began) > streamStop
	}
	return time.Until(*at) < plainStop
}

// take uses the workspace's allowance, and learns how long the caller has tried.
func (q *request) take() (status int, reason string, retry time.Duration) {
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
	ok := ctrl.Ask(q.front.loop, func(now time.Duration, s *state) (ok bool) {
		s.budget.CountRequest(now, q.service)
		s.changed = true
		q.note.peers, _ = s.peers.Count(now)
		q.spent = s.past.Estimate(now, q.route.Name, q.call.Timeout)
		q.expect = s.pool.ExpectedFirstByte(q.service, q.call.PromptTokens)
		if retry, ok = s.quota.Take(now, n, q.cost); !ok {
			a := s.quota.State(now, n)
			q.front.telem.Scope.Tagged(map[string]string{"workspace": n}).Gauge("allowance_left").Update(a.Level)
			q.note.reason = fmt.Sprintf("left %.0f, asked %.0f, rate %.0f, burst %.0f, part %.2f", a.Level, q.cost, a.Rate, a.Burst, a.Share)
		}
		return ok
	})
	if !ok {
		return http.StatusTooManyRequests, "over-allowance", retry
	}
	return 0, "", 0
}

// untake gives back the allowance of a request that has not run.
func (q *request) untake() {
	if q.workspace == nil || q.ran {
		return
	}
	q.front.loop.Post(func(_ time.Duration, s *state) { s.quota.Refund(q.workspace.Name, q.cost) })
}

// loop sends the request to one target after the other while that is allowed.
func (q *request) loop(ctx context.Context) {
	for {
		w := q.wait()
		t := q.turn(ctx, pool.Criteria{
			Service:      q.service,
			PromptTokens: q.call.PromptTokens,
			Exclude:      q.shunned,
			NoRetry:      !q.route.Repeatable(),
		}, w)
		q.note.waited += t.waited
		if t.err != nil {
			q.note.ahead, q.note.expected = t.refusal.Ahead, t.refusal.ExpectedWait
			q.end(ctx, t.err, t.refusal.RetryAfter)
			return
		}
		if ok, s, reason := q.recheck(); !ok {
			q.release(t.choice)
			if s != 0 && len(q.tried) == 0 {
				q.untake()
				q.refuse(s, reason, 0)
				return
			}
			continue
		}
		q.note.predicted, q.note.running, q.note.listAge = t.choice.ExpectedFirstByte, t.choice.Running, t.listAge
		v := q.send(ctx, t.choice)
		if v.done {
			return
		}
		if !q.again(ctx, v) {
			q.end(ctx, v.err, v.retry)
			return
		}
	}
}

// wait returns how long the request may wait for its turn.
func (q *request) wait() time.Duration {
	if q.out != nil {
		// A stream that broke off waits no longer than the caller will.
		return q.stall()
	}
	g := q.route.Goal
	if g == 0 {
		g = defaultGoal
	}
	var w time.Duration
	w, q.late = sched.MaxWait(g, q.spent+time.Since(q.arrived)+q.expect, time.Until(q.deadline))
	return w
}

// release gives back a turn that is not used.
func (q *request) release(c pool.Choice) {
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.pool.End(now, c.ID, q.call.PromptTokens, pool.Neutral)
		q.front.pump(now, s, q.service)
	})
}

// recheck judges a request that waited by the plan that is in force now. It
// reports false if its turn can't be used.
func (q *request) recheck() (ok bool, status int, reason string) {
	p := q.front.plan.Load()
	if p == q.plan || q.out != nil {
		return true, 0, ""
	}
	q.plan = p
	service := q.service
	if s, r := q.judge(); s != 0 {
		return false, s, r
	}
	return service == q.service, 0, ""
}

// verdict is what came of one send.
type verdict struct {
	// done is true if the caller has its answer, or is gone.
	done bool
	// arrived is true if the target may have seen the request.
	arrived bool
	// ran is true if the target may have run it.
	ran   bool
	err   error
	retry time.Duration
}

// again reports whether the request may be sent to another target.
func (q *request) again(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil || q.sends >= sends {
		return false
	}
	if v.ran && !q.route.Repeatable() {
		return false
	}
	if !v.arrived {
		return true
	}
	if len(q.tried) >= q.route.Attempts {
		return false
	}
	ok := ctrl.Ask(q.front.loop, func(now time.Duration, s *state) bool {
		return s.budget.Take(now, q.service)
	})
	q.front.meter.repeat(v.err, ok)
	q.front.log("repeat", "repeat", "request-id", q.call.ID, "allowed", ok, "error", v.err.Error(), "tried", q.tried)
	return ok
}

// end answers a request that no target has answered.
func (q *request) end(ctx context.Context, err error, retry time.Duration) {
	if q.out != nil {
		q.cut(fmt.Sprintf("cut: %v", err))
		return
	}
	if q.http.Context().Err() != nil {
		q.finish(0, "caller-left")
		return
	}
	if q.held != nil {
		q.held.write(q)
		q.finish(q.held.status, "target-failed")
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	s, reason := q.status(err)
	if s == http.StatusServiceUnavailable {
		q.untake()
	}
	q.refuse(s, reason, retry)
}

// status returns how a failure is told to the caller. 503 promises that the
// request has not run, so it needs every send to be known as not run.
func (q *request) status(err error) (int, string) {
	reason := "failed"
	switch {
	case errors.Is(err, errTimeout):
		reason = "timeout"
	case errors.Is(err, errPatience), errors.Is(err, errBacklog):
		reason = "no-capacity"
	case errors.Is(err, errStopped):
		reason = "stopping"
	}
	if err != nil && q.note.reason == "" {
		q.note.reason = err.Error()
	}
	switch {
	case !q.ran:
		return http.StatusServiceUnavailable, reason
	case errors.Is(err, errTimeout):
		return http.StatusGatewayTimeout, reason
	default:
		return http.StatusBadGateway, reason
	}
}

// refuse gives the front's own answer.
func (q *request) refuse(status int, reason string, retry time.Duration) {
	h := q.writer.Header()
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	q.hangUp()
	q.writer.WriteHeader(status)
	fmt.Fprintln(q.writer, reason)
	q.finish(status, reason)
}

// hangUp asks the caller for a new connection if the front is stopping.
func (q *request) hangUp() {
	if q.front.stopping.Load() {
		q.writer.Header().Set("Connection", "close")
	}
}

// cut ends an answer that has begun, so that it doesn't look whole.
func (q *request) cut(reason string) {
	q.finish(0, reason)
	panic(http.ErrAbortHandler)
}
