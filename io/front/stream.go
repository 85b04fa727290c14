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
	seen, since := 0, time.Now()
	for {
		n, err := a.Body.Read(b)
		if es := s.Push(b[:n]); len(es) > 0 {
			if seen == 0 {
				e.recordFirstByte()
				since = time.Now()
			}
			seen += len(es)
			e.stallTimer.Reset(q.streamStall())
			q.open(a)
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
		if seen > 1 {
			p := time.Since(since) / time.Duration(seen-1)
			q.front.loop.Post(func(_ time.Duration, s *state) { s.pool.ObserveEventGap(e.choice.ID, p) })
		}
		if !errors.Is(err, io.EOF) {
			return result{sent: true, mayHaveRun: true, err: fmt.Errorf("read stream: %w", err)}
		}
		if s.Partial() {
			return result{sent: true, mayHaveRun: true, err: errPartialEvent}
		}
		e.keep(a)
		e.outcome = pool.Good
		q.open(a)
		q.finish(http.StatusOK, "answered")
		return result{done: true}
	}
}

// open writes the status and headers, once, from the first target that has sent an event.
func (q *request) open(a *http.Response) {
	if q.stream != nil {
		return
	}
	q.stream = &stream{}
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
