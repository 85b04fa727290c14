package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
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
		if e.firstID == "" {
			e.firstID = v.ID
		}
		at, err := e.at.Next(v)
		if err != nil {
			return es[:i], err
		}
		e.at = at
		e.begun = e.begun || v.Kind == event.Message
	}
	return es, nil
}

// readFirst reads the response up to its first events. Comments before them are forwarded with them,
// unless the caller has the beginning of the response from another target. It returns an error if the
// stream ends without any, unless it is complete.
func (e *exchange) readFirst() error {
	for size := 0; ; {
		es, err := e.read()
		for _, v := range es {
			size += len(v.Raw)
		}
		if e.continues && len(es) > 0 {
			es[0] = es[0].WithoutMark()
		}
		if !e.continues || e.begun {
			e.first = append(e.first, es...)
		}
		e.firstErr = err
		switch {
		case e.begun:
			return nil
		case err != nil:
			return e.streamError(err)
		case size > event.MaxSize:
			return event.ErrTooLong
		}
	}
}

// logRest logs how a target's response to a request that resumes a stream begins. Err is why it
// isn't used.
func (e *exchange) logRest(err error) {
	if e.from.Last() == "" {
		return
	}
	a := e.response
	e.request.front.log("rest", "rest of a stream", "request-id", e.request.call.ID, "target", e.choice.ID, "version", e.choice.Version, "after", e.from.Last(),
		"first", e.firstID, "status", a.StatusCode, "type", a.Header.Get("Content-Type"), "framed", !unframed(a), "error", errorText(err))
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
	case !e.begun && unframed(e.response):
		return errNoEvents
	case e.cutOff(e.response):
		return errCutOff
	}
	e.broken = false
	if !e.begun && (e.continues || e.second || e.from.Last() != "") {
		// Another target may have the rest. If none does, a caller that resumes its stream decides
		// whether this is its end.
		e.outcome = pool.Neutral
		if !e.continues && !e.second {
			e.fallback = e.emptyRest()
		}
		return errNoRest
	}
	return nil
}

// emptyRest returns a whole response without events.
func (e *exchange) emptyRest() *response {
	r := &response{status: e.response.StatusCode, header: responseHeaders(e.response.Header), whole: true}
	for _, v := range e.first {
		r.body = append(r.body, v.Raw)
	}
	return r
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
	if unframed(e.response) && !e.takeover.settle() {
		return result{sent: true, mayHaveRun: true, err: errCutOff} // another target has the rest, if there is one
	}
	if e.begun && !e.stays() && e.gone(e.response) {
		e.outcome = pool.Neutral
		return result{sent: true, mayHaveRun: true, err: errCutOff}
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
	n, step := q.stream.events, q.stream.at.Step()
	q.front.loop.Post(func(_ time.Duration, s *state) {
		s.length.Observe(q.route.Name, q.call.OutputHint, n)
		s.steps.Observe(q.route.Name, step)
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
