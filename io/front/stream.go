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
	// last is the id of the last event that was forwarded.
	last string
	// events counts the events that were forwarded.
	events int
	// forwarded is when an event was last forwarded, and gap the longest time between two.
	forwarded time.Time
	gap       time.Duration
}

// forwardStream forwards the events of a target's response until it ends. Only complete
// events are forwarded, so that another target can continue after the last one.
func (e *exchange) forwardStream(a *http.Response) result {
	q := e.request
	s := event.New()
	b := make([]byte, readBuffer)
	seen := 0
	g := gapSampler{exchange: e}
	for {
		n, err := a.Body.Read(b)
		if es := s.Push(b[:n]); len(es) > 0 {
			if seen == 0 {
				e.recordFirstByte()
			}
			seen += len(es)
			g.add(len(es))
			e.stallTimer.Reset(q.streamStall())
			q.open(a, e.choice.Version)
			if werr := q.forward(es); werr != nil {
				e.outcome = pool.Neutral
				e.prompt = 0
				q.finish(0, "caller-left")
				return result{done: true}
			}
		}
		if err == nil {
			continue
		}
		e.stallTimer.Stop()
		g.flush()
		if !errors.Is(err, io.EOF) {
			return result{sent: true, mayHaveRun: true, err: fmt.Errorf("read stream: %w", err)}
		}
		if s.Partial() {
			return result{sent: true, mayHaveRun: true, err: errPartialEvent}
		}
		e.keep(a)
		e.outcome = pool.Good
		q.open(a, e.choice.Version)
		q.observeLength()
		q.finish(http.StatusOK, "answered")
		return result{done: true}
	}
}

// open writes the status and headers, once, from the first target that has sent an event, and
// records its version.
func (q *request) open(a *http.Response, version string) {
	if q.stream != nil {
		return
	}
	q.stream = &stream{version: version}
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
		if v.ID != "" {
			q.stream.last = v.ID
		}
		q.stream.events++
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return fmt.Errorf("flush: %w", err)
	}
	return nil
}

// observeLength records the length of the caller's complete response for later estimates.
func (q *request) observeLength() {
	if q.call.LastEventID != "" {
		return // only the rest of a response
	}
	n := q.stream.events
	q.front.loop.Post(func(_ time.Duration, s *state) { s.length.Observe(q.route.Name, q.call.OutputHint, n) })
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
