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

// Bounds of an answer.
const (
	// buffered is the largest answer that is read before it is passed on, in
	// bytes; larger ones are passed on as they come.
	buffered = 1 << 20
	// firstStall and stallGoals set how long a target may be silent before its
	// answer begins: so many times the predicted time, and at least this.
	firstStall = 700 * time.Millisecond
	stallFirst = 5
	// pauseStalls is how many of the route's longest pauses a stream may be silent.
	pauseStalls = 3
	// plainStalls is how many goals a plain service may be silent.
	plainStalls = 3
	// callerStall is when callers give up a silent stream.
	callerStall = 2 * time.Second
	// stallMargin is left for another target before callers give up.
	stallMargin = 600 * time.Millisecond
)

var (
	errForeign  = errors.New("answer to another request")
	errUnsigned = errors.New("answer without receipt")
	errNotRun   = errors.New("target has not run the request")
	errTarget   = errors.New("target reported a failure")
	errPartial  = errors.New("stream ended within an event")
)

// send gives the request to one target and passes its answer on.
func (q *request) send(ctx context.Context, c pool.Choice) verdict {
	ctx, span := q.front.telem.Start(ctx, "front.send")
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e := &exchange{request: q, choice: c, begun: time.Now(), cancel: cancel, prompt: q.call.PromptTokens, outcome: pool.Broken}
	q.front.log("sending", "sending", "request-id", q.call.ID, "target", c.ID, "sends", q.sends, "running", c.Running, "slots", c.Slots,
		"predicted-ms", c.ExpectedFirstByte.Milliseconds(), "turn-ms", q.note.waited.Milliseconds(), "plan", q.plan.Revision(), "list-age-ms", q.note.listAge.Milliseconds())
	v := e.run(ctx)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) && e.outcome == pool.Broken {
		e.outcome = pool.Neutral
	}
	if v.err != nil && ctx.Err() != nil {
		v.err = context.Cause(ctx)
	}
	e.close()
	q.shunned = append(q.shunned, c.ID)
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.pool.End(now, c.ID, e.prompt, e.outcome)
		s.desk.AddHold(q.service, time.Since(e.begun))
		s.changed = true
		q.front.pump(now, s, q.service)
	})
	if v.err != nil {
		q.front.log("send", "send ended", "request-id", q.call.ID, "target", c.ID, "arrived", v.arrived, "ran", v.ran,
			"running", c.Running, "predicted-ms", c.ExpectedFirstByte.Milliseconds(), "took-ms", time.Since(e.begun).Milliseconds(), "error", v.err.Error())
	}
	return v
}

// exchange is one send and its answer.
type exchange struct {
	request *request
	choice  pool.Choice
	begun   time.Time
	cancel  context.CancelCauseFunc
	conn    *dial.Conn
	stop    func() bool
	watch   *time.Timer
	// prompt is the part of the prompt that the target is still reading.
	prompt  int
	outcome pool.Outcome
	kept    bool
	// stray is true if the connection carried an answer to another request.
	stray bool
}

func (e *exchange) close() {
	if e.watch != nil {
		e.watch.Stop()
	}
	if e.stop != nil {
		e.stop()
	}
	if e.conn != nil && !e.kept {
		e.conn.Close()
	}
}

// run opens a connection, sends the request and handles the answer's head.
func (e *exchange) run(ctx context.Context) verdict {
	q := e.request
	q.sends++
	age := dial.Lenient
	if !q.route.Repeatable() {
		age = dial.Strict
	}
	var err error
	if e.conn, err = q.front.dialer.Get(ctx, e.choice.Address, age); err != nil {
		e.outcome = pool.Unreachable
		return verdict{err: err}
	}
	conn := e.conn
	e.stop = context.AfterFunc(ctx, conn.Close)
	h := forwarded(q.http.Header)
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
		return verdict{err: err}
	}
	q.tried = append(q.tried, e.choice.ID)
	q.ranBefore = q.ran
	q.ran = true // until the target says that it has not
	if err != nil {
		return verdict{arrived: true, ran: true, err: err}
	}
	e.guard()
	a, r, err := e.receive()
	if err != nil {
		return verdict{arrived: true, ran: true, err: err}
	}
	return e.answer(a, r)
}

// strays is the most answers to earlier requests that are passed over.
const strays = 2

// receive reads the head of the answer. On a connection that was used before, a
// second answer to an earlier request may come first: it belongs to nobody, and
// the connection is not used again.
func (e *exchange) receive() (*http.Response, Reply, error) {
	q := e.request
	for n := 0; ; n++ {
		a, err := e.conn.Receive(q.http.Method)
		if err != nil {
			return nil, Reply{}, fmt.Errorf("receive: %w", err)
		}
		r := q.front.codec.DecodeReply(a.StatusCode, a.Header)
		if r.ID == "" || r.ID == q.call.ID {
			return a, r, nil
		}
		e.stray = true
		q.front.log("stray", "answer to another request", "request-id", q.call.ID, "answers", r.ID, "target", e.choice.ID, "reused", e.conn.Reused)
		if !e.conn.Reused || n >= strays {
			return nil, r, errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, buffered)); err != nil {
			return nil, r, errors.Join(errForeign, err)
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
	if q.out != nil && q.out.last != "" {
		return q.out.last
	}
	return q.call.LastEventID
}

// guard watches over a target that doesn't answer.
func (e *exchange) guard() {
	e.watch = time.AfterFunc(e.firstStall(), e.stalled)
}

// firstStall returns how long the target may take to the first byte.
func (e *exchange) firstStall() time.Duration {
	q := e.request
	if q.route.Kind != plan.Stream {
		return max(plainStalls*q.route.Goal, stallFirst*e.choice.ExpectedFirstByte)
	}
	return min(max(firstStall, stallFirst*e.choice.ExpectedFirstByte), q.stall()+q.route.Goal)
}

// stall returns how long a stream may be silent between two events.
func (q *request) stall() time.Duration {
	return max(pauseStalls*q.route.Pause, callerStall-stallMargin)
}

// stalled notes a silent target, and leaves it if the request may go elsewhere.
func (e *exchange) stalled() {
	q := e.request
	q.front.loop.Post(func(now time.Duration, s *state) { s.pool.MarkSilent(now, e.choice.ID) })
	move := q.route.Repeatable() && len(q.tried) < q.route.Attempts
	q.front.log("stalled", "target silent", "request-id", q.call.ID, "target", e.choice.ID, "predicted-ms", e.choice.ExpectedFirstByte.Milliseconds(),
		"silent-since-ms", time.Since(e.begun).Milliseconds(), "moved", move)
	if move {
		e.cancel(errStalled)
	}
}

// answer handles an answer by what its head says.
func (e *exchange) answer(a *http.Response, r Reply) verdict {
	q := e.request
	if r.NotRun {
		return e.notRun(a)
	}
	whole := a.StatusCode >= http.StatusOK && a.StatusCode < http.StatusMultipleChoices
	if whole && (!r.HasReceipt || r.ID == "") {
		return verdict{arrived: true, ran: true, err: errUnsigned}
	}
	if whole && q.route.Kind == plan.Stream {
		return e.stream(a)
	}
	return e.plain(a, whole)
}

// notRun handles an answer that promises that the request has not run.
func (e *exchange) notRun(a *http.Response) verdict {
	q := e.request
	q.ran = q.ranBefore
	e.outcome = pool.Rejected
	if a.StatusCode == http.StatusMisdirectedRequest {
		e.outcome = pool.Unreachable
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, buffered)); err == nil {
		e.keep(a)
	}
	return verdict{arrived: true, err: fmt.Errorf("status %d: %w", a.StatusCode, errNotRun)}
}

// keep leaves the connection to the next request.
func (e *exchange) keep(a *http.Response) {
	if !e.stray && e.stop() {
		e.kept = true
		e.request.front.dialer.Put(e.conn, a)
	}
}

// plain reads an answer that is no stream and passes it on.
func (e *exchange) plain(a *http.Response, whole bool) verdict {
	q := e.request
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(a.Body, buffered+1))
	if err != nil {
		return verdict{arrived: true, ran: true, err: fmt.Errorf("read answer: %w", err)}
	}
	e.watch.Stop()
	e.learnFirst()
	o := &answer{status: a.StatusCode, header: passed(a.Header), body: b.Bytes()}
	if n > buffered {
		return e.large(o, a)
	}
	e.keep(a)
	e.outcome = pool.Good
	if !whole {
		if a.StatusCode >= http.StatusInternalServerError && a.StatusCode != http.StatusGatewayTimeout {
			e.outcome = pool.Failed
			q.held = o
			return verdict{arrived: true, ran: true, err: fmt.Errorf("status %d: %w", a.StatusCode, errTarget)}
		}
		e.outcome = pool.Neutral
	}
	o.write(q)
	q.finish(o.status, "answered")
	return verdict{done: true}
}

// large passes on an answer while it is being read.
func (e *exchange) large(o *answer, a *http.Response) verdict {
	q := e.request
	o.length = a.ContentLength
	o.write(q)
	if _, err := io.Copy(q.writer, a.Body); err != nil {
		e.close()
		q.front.loop.Post(func(now time.Duration, s *state) { s.pool.End(now, e.choice.ID, e.prompt, pool.Broken) })
		q.cut(fmt.Sprintf("cut: %v", err))
	}
	e.keep(a)
	e.outcome = pool.Good
	q.finish(o.status, "answered")
	return verdict{done: true}
}

// learnFirst tells the pool when the first byte came.
func (e *exchange) learnFirst() {
	q := e.request
	d := time.Since(e.begun)
	n := e.prompt
	e.prompt = 0
	if q.note.first == 0 {
		q.note.first = time.Since(q.arrived)
	}
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.pool.ObserveFirstByte(now, e.choice.ID, n, e.choice.PrefillTokens, d)
		s.changed = true
	})
}

// answer is a target's answer that is passed on as one piece.
type answer struct {
	status int
	header http.Header
	body   []byte
	// length of the whole body if it is longer than body; -1 if unknown.
	length int64
}

func (o *answer) write(q *request) {
	h := q.writer.Header()
	for k, v := range o.header {
		h[k] = v
	}
	q.hangUp()
	q.writer.WriteHeader(o.status)
	if _, err := q.writer.Write(o.body); err != nil {
		q.note.reason = err.Error()
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns a copy of headers without those that concern one connection.
func forwarded(h http.Header) http.Header {
	o := h.Clone()
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopHeaders {
		o.Del(n)
	}
	return o
}

// passed is forwarded for answers.
func passed(h http.Header) http.Header { return forwarded(h) }
