package front

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"syscall"
	"time"

	"kingcupstand/core/event"
	"kingcupstand/core/pool"
)

// readBuffer is the size of the read buffer of a stream, in bytes.
const readBuffer = 4 << 10

// stream is a streamed response to the caller. It may be continued by another target
// after a failure; the caller sees one response.
type stream struct {
	// version is the version of the target that began it.
	version string
	// at is the place after the last event that was forwarded.
	at event.Sequence
	// events counts the events that were forwarded.
	events int
	// forwarded is when an event was last forwarded, and gap the longest time between two.
	forwarded time.Time
	gap       time.Duration
}

// read returns the next complete events of the target's response that follow one another. It
// returns some or an error, which is io.EOF at the end of the stream, or both.
func (e *exchange) read() ([]event.Event, error) {
	if e.buffer == nil {
		e.buffer = make([]byte, readBuffer)
	}
	for {
		n, err := e.response.Body.Read(e.buffer)
		es, perr := e.events.Push(e.buffer[:n])
		if perr != nil {
			err = perr // an error of the connection comes again, or the event never ends
		}
		if es, perr = e.follow(es); perr != nil {
			err = perr
		}
		if len(es) > 0 || err != nil {
			e.received += len(es)
			e.noteBegun()
			return es, err
		}
	}
}

// follow returns those of the events that follow the ones read before, and an error if others came
// after them.
func (e *exchange) follow(es []event.Event) ([]event.Event, error) {
	for i, v := range es {
		at, err := e.at.Next(v)
		if err != nil {
			return es[:i], err
		}
		e.at = at
	}
	return es, nil
}

// checkRest checks by its head whether a successful response to a request that resumes a stream can
// be the rest of it.
func (e *exchange) checkRest(a *http.Response) error {
	if e.from.Last() == "" {
		return nil
	}
	t := a.Header.Get("Content-Type")
	if m, _, err := mime.ParseMediaType(t); a.StatusCode != http.StatusOK || t != "" && (err != nil || m != "text/event-stream") {
		e.outcome = pool.Failed
		return fmt.Errorf("%w: status %d, type %q", errNoStream, a.StatusCode, t)
	}
	return nil
}

// readFirst reads the first events of a stream. It returns an error if the stream ends without
// any, unless it is complete.
func (e *exchange) readFirst() error {
	for {
		es, err := e.read()
		switch {
		case e.begun():
			e.first, e.firstErr = es, err
			return nil
		case err != nil:
			e.firstErr = err
			return e.streamError(err)
		}
	}
}

// begun reports whether the target has sent an event. If the caller has the beginning of the
// response, comments don't count.
func (e *exchange) begun() bool {
	if e.continues {
		return e.at.Last() != e.from.Last()
	}
	return e.received > 0
}

// logRest logs how a target's response to a request that resumes a stream begins. Err is why it
// isn't used.
func (e *exchange) logRest(err error) {
	if e.from.Last() == "" {
		return
	}
	first := ""
	if len(e.first) > 0 {
		first = e.first[0].ID
	}
	a := e.response
	e.request.front.log("rest", "rest of a stream", "request-id", e.request.call.ID, "target", e.choice.ID, "version", e.choice.Version, "after", e.from.Last(),
		"first", first, "status", a.StatusCode, "type", a.Header.Get("Content-Type"), "framed", !unframed(a), "error", errorText(err))
}

// streamError returns the error of a stream whose last read returned err, or nil if it is
// complete.
func (e *exchange) streamError(err error) error {
	e.broken = true
	switch {
	case errors.Is(err, event.ErrOrder), errors.Is(err, event.ErrMalformed):
		e.broken = false
		e.outcome = pool.Failed
		return fmt.Errorf("read stream: %w", err)
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("read stream: %w", err)
	case e.events.Partial():
		return errPartialEvent
	case !e.begun() && unframed(e.response):
		return errNoEvents
	}
	e.broken = false
	if e.continues && !e.begun() {
		return errNoEvents // it doesn't show that the stream had ended before
	}
	return nil
}

// mayBeCut reports whether a stream without length and chunks may have been cut at the end of its
// connection, which the system also closes in order for a process that has ended: its target
// can't be reached any more, or the request has been moved to another one, which has the rest. It is
// false if no other target could tell.
func (e *exchange) mayBeCut() bool {
	q := e.request
	if !unframed(e.response) || !q.route.Repeatable() || !e.at.Joinable() {
		return false
	}
	if !e.takeover.settle() {
		return true
	}
	// An attempt may time out because the front is short of processor time.
	for range crashChecks {
		err := q.front.dialer.Reach(e.parent, e.choice.Address)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err != nil
		}
	}
	return true
}

// forwardStream forwards the events of a target's response until it ends. Only complete
// events are forwarded, so that another target can continue after the last one.
func (e *exchange) forwardStream() result {
	q := e.request
	if e.stallTimer == nil {
		e.startStallTimer()
	}
	g := gapSampler{exchange: e}
	es, err := e.first, e.firstErr
	if len(es) > 0 {
		e.recordFirstByte()
	}
	for {
		e.stallTimer.Stop()
		if len(es) > 0 {
			if !e.takeover.progress() {
				return result{sent: true, mayHaveRun: true, err: errStalled}
			}
			g.add(len(es))
			q.open(e.response, e.choice.Version)
			if werr := q.forward(es); werr != nil {
				e.outcome = pool.Neutral
				e.prompt = 0
				return result{sent: true, mayHaveRun: true, abort: "caller-left"}
			}
			q.stream.at = e.at
			e.takeover.forwarded(e.at)
		}
		if err != nil {
			break
		}
		e.stallTimer.Reset(q.streamStall())
		es, err = e.read()
	}
	g.flush()
	if err := e.streamError(err); err != nil {
		return result{sent: true, mayHaveRun: true, err: err}
	}
	if e.mayBeCut() {
		return result{sent: true, mayHaveRun: true, err: errTargetEnded}
	}
	e.keep(e.response)
	e.outcome = pool.Good
	// A stream without length may have been broken off between two events.
	e.sound = e.sound || !unframed(e.response)
	q.open(e.response, e.choice.Version)
	q.observeLength()
	q.whole = true
	q.finish(http.StatusOK, "answered")
	return result{done: true}
}

// open writes the status and headers, once, from the first target that has sent an event, and
// records its version.
func (q *request) open(a *http.Response, version string) {
	if q.stream != nil {
		return
	}
	q.stream = &stream{version: version, at: q.place()}
	q.recordOrigin(version)
	h := q.writer.Header()
	for k, v := range responseHeaders(a.Header) {
		h[k] = v
	}
	q.closeIfStopping()
	q.writer.WriteHeader(a.StatusCode)
}

// forward writes events to the caller and flushes them.
func (q *request) forward(es []event.Event) error {
	now := time.Now()
	if !q.stream.forwarded.IsZero() {
		q.stream.gap = max(q.stream.gap, now.Sub(q.stream.forwarded))
	}
	q.stream.forwarded = now
	for _, v := range es {
		if _, err := q.writer.Write(v.Raw); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		q.stream.events++
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return fmt.Errorf("flush: %w", err)
	}
	return nil
}

// observeLength records the length of the caller's complete response and how its ids rise.
func (q *request) observeLength() {
	if q.call.LastEventID != "" {
		return // only the rest of a response
	}
	n, at := q.stream.events, q.stream.at
	q.front.loop.Post(func(_ time.Duration, s *state) {
		s.length.Observe(q.route.Name, q.call.OutputHint, n)
		s.steps.Observe(q.route.Name, at)
	})
}

// gapSampler reports the mean gap between the events of a stream to the pool, once for
// each pool.GapSample events and at the end of the stream.
type gapSampler struct {
	exchange *exchange
	// last is when the latest event arrived; zero before the first. The sample began with
	// the event at the time since, and has that many gaps.
	last, since time.Time
	gaps        int
}

// add adds n events that have just arrived together.
func (g *gapSampler) add(n int) {
	now := time.Now()
	if g.last.IsZero() {
		g.since = now
		n--
	}
	g.last = now
	if g.gaps += n; g.gaps >= pool.GapSample {
		g.flush()
	}
}

// flush reports the sample and begins the next one.
func (g *gapSampler) flush() {
	if g.gaps == 0 {
		return
	}
	id, d := g.exchange.choice.ID, g.last.Sub(g.since)/time.Duration(g.gaps)
	g.exchange.request.front.loop.Post(func(_ time.Duration, s *state) { s.pool.ObserveEventGap(id, d) })
	g.since, g.gaps = g.last, 0
}
