package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"kingcupstand/core/event"
	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/io/dial"
)

// Bounds of a response.
const (
	// maxBuffered is the size in bytes up to which a response is read completely before it
	// is forwarded. Larger ones are forwarded while they are read.
	maxBuffered = 1 << 20
	// maxBody is the largest size in bytes of a response that is no stream. A larger one is
	// broken off, as it may never end.
	maxBody = 64 << 20
	// A target is stalled if the first event of a stream takes longer than both
	// firstByteStallFactor times the predicted time and minFirstByteStall.
	minFirstByteStall    = 700 * time.Millisecond
	firstByteStallFactor = 5
	// streamStallFactor is how many times the route's longest gap between events a stream
	// may go without an event.
	streamStallFactor = 3
	// plainStallFactor is how many times the route's goal a response that is no stream may
	// take, unless firstByteStallFactor times the predicted time is longer.
	plainStallFactor = 3
	// callerStallTimeout is how long callers wait for the next event of a stream before they
	// give up.
	callerStallTimeout = 2 * time.Second
	// failoverMargin is kept for a dispatch to another target before callers give up.
	failoverMargin = 600 * time.Millisecond
	// minConnect is the time after which a target that has not accepted a connection is to blame, also
	// if the request was canceled meanwhile. It is many times the round trip between data centres.
	minConnect = 50 * time.Millisecond
)

var (
	errWrongRequest = errors.New("response to another request")
	errNoReceipt    = errors.New("response without receipt")
	errNotRun       = errors.New("target did not run the request")
	errServerError  = errors.New("target returned a server error")
	errPartialEvent = errors.New("stream ended in the middle of an event")
	errNoEvents     = errors.New("stream ended before its first event")
	errCutOff       = errors.New("target ended with the connection that its response was to end with")
	// errNoRest is errNoEvents of a whole response of a target that was asked to go on with a stream.
	errNoRest       = fmt.Errorf("%w", errNoEvents)
	errDeclined     = errors.New("target declined to go on with the response")
	errSilenceEnded = errors.New("silent target has gone on")
	errBodyTooLong  = errors.New("response body is too long")
)

// newExchange returns an exchange of the request with a target that has a slot for it. A stream goes
// on at the place at. Sends is the number of earlier dispatches.
func (q *request) newExchange(ctx context.Context, c pool.Choice, at event.Sequence, sends int) *exchange {
	e := &exchange{
		request: q, choice: c, from: at, at: at.Join(), sends: sends, parent: ctx, started: time.Now(),
		prompt: q.call.PromptTokens, outcome: pool.Broken, events: event.New(),
	}
	e.takeover.at = at
	e.ctx, e.span = q.front.telem.StartSpan(ctx, "front.send")
	e.ctx, e.cancel = context.WithCancelCause(e.ctx)
	q.front.log("sending", "sending", "request-id", q.call.ID, "target", c.ID, "version", c.Version, "resumes", q.call.FirstAttempt, "last-event", at.Last(), "sends", sends, "running", c.Running, "slots", c.Slots,
		"predicted-ms", c.ExpectedFirstByte.Milliseconds(), "turn-ms", q.summary.waited.Milliseconds(), "plan", q.plan.Revision(), "list-age-ms", q.summary.listAge.Milliseconds())
	return e
}

// dispatch sends the request to the target of e, unless that was done, and forwards the
// response. If the target falls silent, the request may be moved to another one, whose exchange
// is then the next.
func (q *request) dispatch(e *exchange) result {
	v := result{}
	e.attemptsLeft, e.dispatchesLeft = q.route.Attempts-len(q.tried), maxDispatches-q.dispatches
	if !e.opened {
		e.attemptsLeft, e.dispatchesLeft = e.attemptsLeft-1, e.dispatchesLeft-1
		e.criteria = q.takeoverCriteria(e.choice)
		e.continues = q.stream != nil
		v = e.open()
		q.recordDispatch(e, v)
	}
	if e.opened {
		if !q.route.Repeatable() {
			q.dropBody()
		}
		v = e.forward()
	}
	e.takeover.end(v.err != nil && e.parent.Err() == nil)
	v = e.end(v)
	return q.adopt(&e.takeover, v)
}

// recordDispatch records that an exchange was begun.
func (q *request) recordDispatch(e *exchange, v result) {
	q.dispatches++
	q.excluded = append(q.excluded, e.choice.ID)
	if v.sent {
		q.tried = append(q.tried, e.choice.ID)
	}
	if v.mayHaveRun {
		q.mayHaveRun, q.version = true, e.choice.Version
	}
	q.mayHaveMore = q.mayHaveMore || v.mayHaveRun && !errors.Is(v.err, errNoRest)
	if e.fallback != nil {
		q.fallback = e.fallback
	}
	if q.mayHaveMore && q.fallback != nil && q.fallback.status < http.StatusMultipleChoices {
		q.fallback = nil
	}
}

// exchange is one dispatch of a request to a target and the response to it.
type exchange struct {
	request *request
	choice  pool.Choice
	// from is the place in the stream at which the response is to begin, and at the place after the
	// last event that was read. begun is true once there was one that is no comment, and firstID is
	// the id of the first event, whether it follows or not.
	from, at event.Sequence
	begun    bool
	firstID  string
	// sends is the number of earlier dispatches of the request. attemptsLeft and dispatchesLeft
	// are how many more targets may get it, and may be tried.
	sends                        int
	attemptsLeft, dispatchesLeft int
	started                      time.Time
	// parent is the context of the request, and ctx that of the exchange. Its end closes the
	// connection.
	parent, ctx context.Context
	cancel      context.CancelCauseFunc
	span        trace.Span
	conn        *dial.Conn
	// detach stops the closing of conn at the end of the context. It reports false if the
	// connection is already being closed.
	detach func() bool
	// stallTimer calls runTakeover if the target sends nothing for too long.
	stallTimer *time.Timer
	takeover   takeover
	// criteria are those for a target that takes the request over.
	criteria pool.Criteria
	// second is true if the exchange began beside one with a silent target, to take the request
	// over.
	second bool
	// continues is true if the caller has the beginning of a response, so that only a success may
	// be forwarded.
	continues bool
	// opened is true once there is a response to forward: a stream with its first events, or
	// plain.
	opened   bool
	response *http.Response
	plain    *response
	// buffered is the size in bytes of what was read of a plain response before it is forwarded.
	buffered int
	// events splits the stream. first holds the events read before it is forwarded, and firstErr
	// the error that came with them.
	events   *event.Splitter
	buffer   []byte
	first    []event.Event
	firstErr error
	// fallback is a server error of the target, or that it has no more events of a stream.
	fallback *response
	// prompt is the number of prompt tokens that the target has yet to process; 0 after the
	// first byte.
	prompt int
	// received counts the events that the target has sent, and broken is true if it has broken
	// off the connection.
	received int
	broken   bool
	// sound is true if the response shows that the target can answer the request.
	sound bool
	// outcome is reported to the pool, which derives the target's health from it.
	outcome pool.Outcome
	// kept is true if the connection went back to the dialer.
	kept bool
	// sameProcess is true if the response proves that the target is the process that was chosen.
	sameProcess bool
	// warm is true if the response also proves that the target doesn't warm up.
	warm bool
	// unexpected is true if the connection carried a response to another request, or one without
	// an id: a further one couldn't be attributed.
	unexpected bool
}

// end releases the exchange and reports its outcome. It returns the result v, with the cause for
// which the exchange was canceled as its error.
func (e *exchange) end(v result) result {
	q, c := e.request, e.choice
	if e.ctx.Err() != nil && !errors.Is(context.Cause(e.ctx), errStalled) && e.outcome == pool.Broken {
		e.outcome = pool.Neutral
	}
	if v.err != nil && e.ctx.Err() != nil {
		v.err = context.Cause(e.ctx)
	}
	if e.stallTimer != nil {
		e.stallTimer.Stop()
	}
	if e.detach != nil {
		e.detach()
	}
	if e.conn != nil && !e.kept {
		e.conn.Close()
	}
	crash, sound, same := e.suspectsCrash(), e.sound, e.sameProcess
	e.cancel(nil)
	e.span.End()
	q.front.loop.Post(func(now time.Duration, s *state) {
		if same {
			s.pool.ObserveProcess(c)
		}
		s.pool.End(now, c.ID, e.prompt, e.outcome)
		if sound {
			q.front.recordSound(now, s, q)
		}
		if crash {
			q.front.checkCrash(s, c, q)
		}
		s.sched.AddHold(q.service, time.Since(e.started))
		s.changed = true
		q.front.dispatchQueued(now, s, q.service)
	})
	if v.err != nil {
		q.front.log("send", "send ended", "request-id", q.call.ID, "target", c.ID, "arrived", v.sent, "ran", v.mayHaveRun,
			"running", c.Running, "predicted-ms", c.ExpectedFirstByte.Milliseconds(), "took-ms", time.Since(e.started).Milliseconds(), "events", e.received, "parts", q.call.Parts, "request", q.identity.String(), "error", v.err.Error())
	}
	return v
}

// open gets a connection, sends the request and reads the beginning of the response. If there
// is a response to forward, it sets opened.
func (e *exchange) open() result {
	if v := e.send(); v.err != nil {
		return v
	}
	if !e.second {
		e.startStallTimer()
	}
	a, r, err := e.receive()
	if err != nil {
		e.broken = !errors.Is(err, errWrongRequest)
		return result{sent: true, mayHaveRun: true, err: err}
	}
	e.response = a
	v := e.handle(a, r)
	e.opened = v.err == nil
	return v
}

// send gets a connection and sends the request.
func (e *exchange) send() result {
	q := e.request
	limit := dial.Lenient
	if !q.route.Repeatable() {
		limit = dial.Strict
	}
	var err error
	if e.conn, err = q.front.dialer.Get(e.ctx, e.choice.Address, limit); err != nil {
		q.front.observeRefusal(e.choice, err)
		e.outcome = pool.Unreachable
		if e.ctx.Err() != nil && time.Since(e.started) < minConnect {
			e.outcome = pool.Neutral // canceled before the target could accept
		}
		return result{err: err}
	}
	e.detach = context.AfterFunc(e.ctx, e.conn.Close)
	if q.front.withheld(e.choice.ID) {
		e.outcome = pool.Neutral
		return result{err: errWithheld}
	}
	// The context may end late at a front that is short of processor time.
	if e.ctx.Err() != nil || !time.Now().Before(q.deadline) {
		e.outcome = pool.Neutral
		return result{err: errTimeout}
	}
	h := endToEnd(q.http.Header)
	q.front.codec.EncodeDispatch(h, Dispatch{
		ID:          q.call.ID,
		Target:      e.choice.ID,
		Timeout:     time.Until(q.deadline),
		Workspace:   q.workspaceName(),
		LastEventID: e.from.Last(),
	})
	sent, err := e.conn.Send(dial.Request{
		Method: q.http.Method, URI: q.http.RequestURI, Host: q.http.Host, Header: h, Body: q.body.Blocks(),
	})
	if !sent {
		e.outcome = pool.Unreachable
	}
	return result{sent: sent, mayHaveRun: sent, err: err}
}

// maxUnexpected is how many responses to earlier requests are skipped.
const maxUnexpected = 2

// receive reads the status and headers of the response. On a connection that has carried an
// earlier request, a duplicate response to that may come first. It is skipped, and the connection
// is not used again. A response without an id belongs to this request only if the connection has
// carried no other.
func (e *exchange) receive() (*http.Response, Reply, error) {
	q := e.request
	for n := 0; ; n++ {
		a, err := e.conn.Receive(q.http.Method)
		if err != nil {
			return nil, Reply{}, fmt.Errorf("receive: %w", err)
		}
		r := q.front.codec.DecodeReply(a.StatusCode, a.Header)
		if r.ID == q.call.ID || r.ID == "" && !e.conn.Carried {
			e.sameProcess, e.unexpected = r.SameProcess, e.unexpected || r.ID == ""
			e.warm = r.SameProcess && r.Warming <= 0 && r.WarmingErr == nil
			e.observeLimit(a.StatusCode, r)
			e.observeNotices(a.StatusCode, r)
			return a, r, nil
		}
		e.unexpected = true
		q.front.log("stray", "answer to another request", "request-id", q.call.ID, "answers", r.ID, "target", e.choice.ID, "reused", e.conn.Carried, "status", a.StatusCode, "not-run", r.NotRun)
		q.front.meter.countUnexpected(r)
		// The end of a body without length is that of the connection.
		if !e.conn.Carried || n >= maxUnexpected || unframed(a) && a.Body != http.NoBody {
			return nil, r, errWrongRequest
		}
		if err := discard(a.Body); err != nil {
			return nil, r, errors.Join(errWrongRequest, err)
		}
	}
}

func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// place returns the place in the stream at which the next response is to begin.
func (q *request) place() event.Sequence {
	if q.stream != nil {
		return q.stream.at
	}
	return event.After(q.call.LastEventID, q.step)
}

// refusals are the statuses by which callers know that a request has not run. 421 is always a
// target's guarantee.
var refusals = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true,
}

// handle reads the beginning of a response by its status and headers. A successful response
// needs the target's receipt and the request's id; without them it is not accepted as the
// target's response. So does one that callers would take for a refusal which has run nothing.
func (e *exchange) handle(a *http.Response, r Reply) result {
	if r.NotRun {
		return e.handleNotRun(a)
	}
	if r.ID == "" && !r.HasReceipt { // of a server that is no target
		return result{sent: true, mayHaveRun: true, err: errNoReceipt}
	}
	success := a.StatusCode >= http.StatusOK && a.StatusCode < http.StatusMultipleChoices
	proved := r.HasReceipt && r.ID != ""
	if refusals[a.StatusCode] && !proved {
		e.outcome = pool.Failed
		return result{sent: true, mayHaveRun: true, err: errNoReceipt}
	}
	if success && !proved {
		return result{sent: true, mayHaveRun: true, err: errNoReceipt}
	}
	if success && e.request.route.Kind == plan.Stream {
		err := e.readFirst()
		e.logRest(err)
		return result{sent: true, mayHaveRun: true, err: err}
	}
	return result{sent: true, mayHaveRun: true, err: e.readPlain(success)}
}

// keep returns the connection to the dialer.
func (e *exchange) keep(a *http.Response) {
	if !e.unexpected && e.detach() {
		e.kept = true
		e.request.front.dialer.Put(e.conn, a)
	}
}

// forward forwards the response to the caller.
func (e *exchange) forward() result {
	if e.plain != nil {
		return e.forwardPlain()
	}
	return e.forwardStream()
}

// recordFirstByte reports to the pool how long the first event of a stream took, or the
// reading of another response into the buffer.
func (e *exchange) recordFirstByte() {
	q := e.request
	d := time.Since(e.started)
	n, same, warm := e.prompt, e.sameProcess, e.warm
	e.prompt = 0
	if q.summary.firstByte == 0 {
		q.summary.firstByte = time.Since(q.arrived)
	}
	q.front.loop.Post(func(now time.Duration, s *state) {
		if same {
			s.pool.ObserveProcess(e.choice)
		}
		if warm {
			s.pool.ObserveWarm(now, now-time.Since(e.started), e.choice)
		}
		s.pool.ObserveFirstByte(now, e.choice.ID, n, e.choice.PrefillTokens, d)
		s.changed = true
	})
}

// unframed reports whether the end of the body is the end of the connection, so that a response
// that was broken off may look complete.
func unframed(a *http.Response) bool { return a.ContentLength < 0 && len(a.TransferEncoding) == 0 }
