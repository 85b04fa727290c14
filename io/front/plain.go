package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"kingcupstand/core/memory"
	"kingcupstand/core/pool"
	"kingcupstand/io/intake"
)

// discard reads a body to its end. It fails with errBodyTooLong after maxBuffered.
func discard(b io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxBuffered+1))
	if err == nil && n > maxBuffered {
		err = errBodyTooLong
	}
	return err
}

// readPlain reads a response that is no stream, up to maxBuffered or what there is memory for. A server error other than
// 504 is kept as the fallback, as another target may succeed. Only a success may be longer.
func (e *exchange) readPlain(success bool) error {
	a := e.response
	b, n, err := intake.ReadBlocks(io.LimitReader(a.Body, maxBuffered+1), memory.Small, e.request.reserveResponse)
	whole := n <= maxBuffered && err == nil
	if err != nil && !errors.Is(err, intake.ErrNoMemory) {
		e.broken = true
		return fmt.Errorf("read response body: %w", err)
	}
	if whole && e.gone(a) {
		e.broken = true
		return errCutOff
	}
	e.buffered = n
	e.plain = &response{status: a.StatusCode, header: responseHeaders(a.Header), body: b, whole: whole, length: a.ContentLength}
	switch {
	case !e.plain.whole && success:
		return nil
	case !e.plain.whole:
		e.plain, e.broken = nil, true
		return fmt.Errorf("status %d: %w", a.StatusCode, errBodyTooLong)
	}
	e.keep(a)
	e.outcome = pool.Good
	switch {
	case success:
		e.sound = !unframed(a)
		return nil
	case a.StatusCode >= http.StatusInternalServerError && a.StatusCode != http.StatusGatewayTimeout:
		e.outcome = pool.Failed
		e.fallback = e.plain
		return fmt.Errorf("status %d: %w", a.StatusCode, errServerError)
	}
	e.outcome = pool.Neutral
	if e.continues {
		return fmt.Errorf("status %d: %w", a.StatusCode, errDeclined)
	}
	return nil
}

// forwardPlain forwards a response that is no stream. One that was not read to its end is
// forwarded while it is being read; if the target breaks off, the caller's connection is broken
// as well.
func (e *exchange) forwardPlain() result {
	q, a := e.request, e.response
	if !e.plain.whole && !e.takeover.settle() {
		return result{sent: true, mayHaveRun: true, err: errStalled}
	}
	if e.stallTimer != nil {
		e.stallTimer.Stop()
	}
	e.recordFirstByte()
	e.plain.write(q)
	if !e.plain.whole {
		if err := e.copyRest(); err != nil {
			return result{sent: true, mayHaveRun: true, err: err, abort: fmt.Sprintf("cut: %v", err)}
		}
		e.keep(a)
		e.outcome = pool.Good
	}
	q.finish(e.plain.status, "answered")
	return result{done: true}
}

// copyRest forwards the part of the response that was not read into the buffer. The caller also gets
// all of one that the target breaks off.
func (e *exchange) copyRest() error {
	w := e.request.writer
	n, err := io.Copy(w, io.LimitReader(e.response.Body, int64(maxBody-e.buffered)))
	switch {
	case err != nil:
	case n == int64(maxBody-e.buffered):
		err = errBodyTooLong
	case e.gone(e.response):
		err = errCutOff
	}
	if err != nil {
		err = errors.Join(err, http.NewResponseController(w).Flush()) // the connection is closed without
	}
	return err
}

// response is a target's response that is not streamed.
type response struct {
	status int
	header http.Header
	// body is in blocks, which need not be copied while it grows.
	body [][]byte
	// whole is false if body holds only the beginning of the body, whose size in bytes is then
	// length, or -1 if unknown.
	whole  bool
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
	for _, b := range o.body {
		if _, err := q.writer.Write(b); err != nil {
			q.summary.detail = err.Error()
			return
		}
	}
}
