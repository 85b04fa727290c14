package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/io/dial"
)

// Bounds of a response.
const (
	// maxBuffered is the size in bytes up to which a response is read completely before it
	// is forwarded. Larger ones are forwarded while they are read.
	maxBuffered = 1 << 20
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
)

var (
	errWrongRequest = errors.New("response to another request")
	errNoReceipt    = errors.New("response without receipt")
	errNotRun       = errors.New("target did not run the request")
	errServerError  = errors.New("target returned a server error")
	errPartialEvent = errors.New("stream ended in the middle of an event")
)

// dispatch sends the request to one target and forwards the response.
func (q *request) dispatch(ctx context.Context, c pool.Choice) result {
	ctx, span := q.front.telem.StartSpan(ctx, "front.send")
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e := &exchange{request: q, choice: c, started: time.Now(), cancel: cancel, prompt: q.call.PromptTokens, outcome: pool.Broken}
	q.front.log("sending", "sending", "request-id", q.call.ID, "target", c.ID, "version", c.Version, "resumes", q.call.FirstAttempt, "last-event", q.lastEvent(), "sends", q.dispatches, "running", c.Running, "slots", c.Slots,
		"predicted-ms", c.ExpectedFirstByte.Milliseconds(), "turn-ms", q.summary.waited.Milliseconds(), "plan", q.plan.Revision(), "list-age-ms", q.summary.listAge.Milliseconds())
	v := e.run(ctx)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) && e.outcome == pool.Broken {
		e.outcome = pool.Neutral
	}
	if v.err != nil && ctx.Err() != nil {
		v.err = context.Cause(ctx)
	}
	e.close()
	q.excluded = append(q.excluded, c.ID)
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.pool.End(now, c.ID, e.prompt, e.outcome)
		s.sched.AddHold(q.service, time.Since(e.started))
		s.changed = true
		q.front.dispatchQueued(now, s, q.service)
	})
	if v.err != nil {
		q.front.log("send", "send ended", "request-id", q.call.ID, "target", c.ID, "arrived", v.sent, "ran", v.mayHaveRun,
			"running", c.Running, "predicted-ms", c.ExpectedFirstByte.Milliseconds(), "took-ms", time.Since(e.started).Milliseconds(), "error", v.err.Error())
	}
	return v
}

// exchange is one dispatch of a request to a target and the response to it.
type exchange struct {
	request *request
	choice  pool.Choice
	started time.Time
	// cancel cancels the dispatch's context, which closes the connection.
	cancel context.CancelCauseFunc
	conn   *dial.Conn
	// detach stops the closing of conn at the end of the context. It reports false if the
	// connection is already being closed.
	detach func() bool
	// stallTimer calls stalled if the target sends nothing for too long.
	stallTimer *time.Timer
	// prompt is the number of prompt tokens that the target has yet to process; 0 after the
	// first byte.
	prompt int
	// outcome is reported to the pool, which derives the target's health from it.
	outcome pool.Outcome
	// kept is true if the connection went back to the dialer.
	kept bool
	// unexpected is true if the connection carried a response to another request.
	unexpected bool
}

// close releases the timer and, unless it was kept, the connection.
func (e *exchange) close() {
	if e.stallTimer != nil {
		e.stallTimer.Stop()
	}
	if e.detach != nil {
		e.detach()
	}
	if e.conn != nil && !e.kept {
		e.conn.Close()
	}
}

// run gets a connection, sends the request and handles the response.
func (e *exchange) run(ctx context.Context) result {
	q := e.request
	q.dispatches++
	limit := dial.Lenient
	if !q.route.Repeatable() {
		limit = dial.Strict
	}
	var err error
	if e.conn, err = q.front.dialer.Get(ctx, e.choice.Address, limit); err != nil {
		e.outcome = pool.Unreachable
		return result{err: err}
	}
	conn := e.conn
	e.detach = context.AfterFunc(ctx, conn.Close)
	h := endToEnd(q.http.Header)
	q.front.codec.EncodeDispatch(h, Dispatch{
		Target:      e.choice.ID,
		Timeout:     time.Until(q.deadline),
		Workspace:   q.workspaceName(),
		LastEventID: q.lastEvent(),
	})
	sent, err := conn.Send(dial.Request{
		Method: q.http.Method, URI: q.http.RequestURI, Host: q.http.Host, Header: h, Body: q.body,
	})
	if !sent {
		e.outcome = pool.Unreachable
		return result{err: err}
	}
	q.tried = append(q.tried, e.choice.ID)
	q.mayHaveRunBefore = q.mayHaveRun
	q.mayHaveRun = true // until the target guarantees that it has not
	if err != nil {
		return result{sent: true, mayHaveRun: true, err: err}
	}
	e.startStallTimer()
	a, r, err := e.receive()
	if err != nil {
		return result{sent: true, mayHaveRun: true, err: err}
	}
	return e.handle(a, r)
}

// maxUnexpected is how many responses to earlier requests are skipped.
const maxUnexpected = 2

// receive reads the status and headers of the response. On a reused connection, a
// duplicate response to an earlier request may come first. It is skipped, and the
// connection is not used again.
func (e *exchange) receive() (*http.Response, Reply, error) {
	q := e.request
	for n := 0; ; n++ {
		a, err := e.conn.Receive(q.http.Method)
		if err != nil {
			return nil, Reply{}, fmt.Errorf("receive: %w", err)
		}
		r := q.front.codec.DecodeReply(a.StatusCode, a.Header)
		if r.ID == "" || r.ID == q.call.ID {
			e.observeLimit(a.StatusCode, r)
			return a, r, nil
		}
		e.unexpected = true
		q.front.log("stray", "answer to another request", "request-id", q.call.ID, "answers", r.ID, "target", e.choice.ID, "reused", e.conn.Reused)
		if !e.conn.Reused || n >= maxUnexpected {
			return nil, r, errWrongRequest
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered)); err != nil {
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

func (q *request) lastEvent() string {
	if q.stream != nil && q.stream.last != "" {
		return q.stream.last
	}
	return q.call.LastEventID
}

// startStallTimer starts the timer that runs until the first event of a stream, or until
// another response has been buffered.
func (e *exchange) startStallTimer() {
	e.stallTimer = time.AfterFunc(e.firstByteStall(), e.stalled)
}

// firstByteStall returns how long the target may take to the first event of a stream, or
// to the end of another response. For a stream it is at most the limit between two events
// plus the route's goal.
func (e *exchange) firstByteStall() time.Duration {
	q := e.request
	if q.route.Kind != plan.Stream {
		return max(plainStallFactor*q.route.Goal, firstByteStallFactor*e.choice.ExpectedFirstByte)
	}
	return min(max(minFirstByteStall, firstByteStallFactor*e.choice.ExpectedFirstByte), q.streamStall()+q.route.Goal)
}

// streamStall returns how long a stream may go without an event after an earlier one.
func (q *request) streamStall() time.Duration {
	return max(streamStallFactor*q.route.Gap, callerStallTimeout-failoverMargin)
}

// stalled reports a stalled target to the pool, and cancels the dispatch if the request
// may be dispatched to another target.
func (e *exchange) stalled() {
	q := e.request
	q.front.loop.Post(func(now time.Duration, s *state) { s.pool.MarkStalled(now, e.choice.ID) })
	retry := q.route.Repeatable() && len(q.tried) < q.route.Attempts
	q.front.log("stalled", "target silent", "request-id", q.call.ID, "target", e.choice.ID, "predicted-ms", e.choice.ExpectedFirstByte.Milliseconds(),
		"silent-since-ms", time.Since(e.started).Milliseconds(), "moved", retry)
	if retry {
		e.cancel(errStalled)
	}
}

// handle handles a response by its status and headers. A successful response needs the
// target's receipt and the request's id; without them it is not accepted as the target's
// response.
func (e *exchange) handle(a *http.Response, r Reply) result {
	q := e.request
	if r.NotRun {
		return e.handleNotRun(a)
	}
	success := a.StatusCode >= http.StatusOK && a.StatusCode < http.StatusMultipleChoices
	if success && (!r.HasReceipt || r.ID == "") {
		return result{sent: true, mayHaveRun: true, err: errNoReceipt}
	}
	if success && q.route.Kind == plan.Stream {
		return e.forwardStream(a)
	}
	return e.forwardPlain(a, success)
}

// handleNotRun handles a response which guarantees that the request has not run. A
// misdirected request (421) reached another process than the target, so the target
// counts as unreachable.
func (e *exchange) handleNotRun(a *http.Response) result {
	q := e.request
	q.mayHaveRun = q.mayHaveRunBefore
	e.outcome = pool.Rejected
	if a.StatusCode == http.StatusMisdirectedRequest {
		e.outcome = pool.Unreachable
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered)); err == nil {
		e.keep(a)
	}
	return result{sent: true, err: fmt.Errorf("status %d: %w", a.StatusCode, errNotRun)}
}

// keep returns the connection to the dialer.
func (e *exchange) keep(a *http.Response) {
	if !e.unexpected && e.detach() {
		e.kept = true
		e.request.front.dialer.Put(e.conn, a)
	}
}

// forwardPlain forwards a response that is no stream. A server error other than 504 is
// kept as the fallback, as another target may succeed.
func (e *exchange) forwardPlain(a *http.Response, success bool) result {
	q := e.request
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(a.Body, maxBuffered+1))
	if err != nil {
		return result{sent: true, mayHaveRun: true, err: fmt.Errorf("read response body: %w", err)}
	}
	e.stallTimer.Stop()
	e.recordFirstByte()
	o := &response{status: a.StatusCode, header: responseHeaders(a.Header), body: b.Bytes()}
	if n > maxBuffered {
		return e.forwardLarge(o, a)
	}
	e.keep(a)
	e.outcome = pool.Good
	if !success {
		if a.StatusCode >= http.StatusInternalServerError && a.StatusCode != http.StatusGatewayTimeout {
			e.outcome = pool.Failed
			q.fallback = o
			return result{sent: true, mayHaveRun: true, err: fmt.Errorf("status %d: %w", a.StatusCode, errServerError)}
		}
		e.outcome = pool.Neutral
	}
	o.write(q)
	q.finish(o.status, "answered")
	return result{done: true}
}

// forwardLarge forwards a response while it is being read. If the target breaks off, the
// caller's connection is broken as well; abort panics, so the end of the dispatch is
// reported to the pool here.
func (e *exchange) forwardLarge(o *response, a *http.Response) result {
	q := e.request
	o.length = a.ContentLength
	o.write(q)
	if _, err := io.Copy(q.writer, a.Body); err != nil {
		e.close()
		q.front.loop.Post(func(now time.Duration, s *state) { s.pool.End(now, e.choice.ID, e.prompt, pool.Broken) })
		q.abort(fmt.Sprintf("cut: %v", err))
	}
	e.keep(a)
	e.outcome = pool.Good
	q.finish(o.status, "answered")
	return result{done: true}
}

// recordFirstByte reports to the pool how long the first event of a stream took, or the
// reading of another response into the buffer.
func (e *exchange) recordFirstByte() {
	q := e.request
	d := time.Since(e.started)
	n := e.prompt
	e.prompt = 0
	if q.summary.firstByte == 0 {
		q.summary.firstByte = time.Since(q.arrived)
	}
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.pool.ObserveFirstByte(now, e.choice.ID, n, e.choice.PrefillTokens, d)
		s.changed = true
	})
}

// response is a target's response that is not streamed.
type response struct {
	status int
	header http.Header
	body   []byte
	// length is the size in bytes of the complete body if body holds only its beginning; -1
	// if unknown.
	length int64
}

// write writes the headers and body to the caller.
func (o *response) write(q *request) {
	h := q.writer.Header()
	for k, v := range o.header {
		h[k] = v
	}
	q.closeIfStopping()
	q.writer.WriteHeader(o.status)
	if _, err := q.writer.Write(o.body); err != nil {
		q.summary.detail = err.Error()
	}
}

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of h without the hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	o := h.Clone()
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopByHopHeaders {
		o.Del(n)
	}
	return o
}

// responseHeaders returns the end-to-end headers of a response.
func responseHeaders(h http.Header) http.Header { return endToEnd(h) }
