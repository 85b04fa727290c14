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

// chunk is the size of one read of a stream, in bytes.
const chunk = 4 << 10

// stream is the answer that a caller is getting event by event. It may go on at
// another target; the caller sees one answer.
type stream struct {
	// last is the id of the last whole event that was passed on.
	last   string
	events int
	// passed is when an event was last passed on, and gap the longest pause.
	passed time.Time
	gap    time.Duration
}

// stream passes on a target's events until its answer ends.
func (e *exchange) stream(a *http.Response) verdict {
	q := e.request
	s := event.New()
	b := make([]byte, chunk)
	seen, since := 0, time.Now()
	for {
		n, err := a.Body.Read(b)
		if es := s.Push(b[:n]); len(es) > 0 {
			if seen == 0 {
				e.learnFirst()
				since = time.Now()
			}
			seen += len(es)
			e.watch.Reset(q.stall())
			q.open(a)
			if werr := q.pass(es); werr != nil {
				e.outcome = pool.Neutral
				e.prompt = 0
				q.finish(0, "caller-left")
				return verdict{done: true}
			}
		}
		if err == nil {
			continue
		}
		e.watch.Stop()
		if seen > 1 {
			p := time.Since(since) / time.Duration(seen-1)
			q.front.loop.Post(func(_ time.Duration, s *state) { s.pool.ObserveEventGap(e.choice.ID, p) })
		}
		if !errors.Is(err, io.EOF) {
			return verdict{arrived: true, ran: true, err: fmt.Errorf("read stream: %w", err)}
		}
		if s.Partial() {
			return verdict{arrived: true, ran: true, err: errPartial}
		}
		e.keep(a)
		e.outcome = pool.Good
		q.open(a)
		q.finish(http.StatusOK, "answered")
		return verdict{done: true}
	}
}

// open writes the head of the answer once, from the first target that has an event.
func (q *request) open(a *http.Response) {
	if q.out != nil {
		return
	}
	q.out = &stream{}
	h := q.writer.Header()
	for k, v := range passed(a.Header) {
		h[k] = v
	}
	q.hangUp()
	q.writer.WriteHeader(a.StatusCode)
}

// pass writes whole events and sends them on their way.
func (q *request) pass(es []event.Event) error {
	now := time.Now()
	if !q.out.passed.IsZero() {
		q.out.gap = max(q.out.gap, now.Sub(q.out.passed))
	}
	q.out.passed = now
	for _, v := range es {
		if _, err := q.writer.Write(v.Raw); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		if v.ID != "" {
			q.out.last = v.ID
		}
		q.out.events++
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return fmt.Errorf("flush: %w", err)
	}
	return nil
}
