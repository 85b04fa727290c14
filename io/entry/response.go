package entry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"kingcupstand/core/call"
	"kingcupstand/schema/wire"
)

// maxBuffered is the most bytes of a response body that are buffered. A longer response
// is forwarded as it arrives.
const maxBuffered = 8 << 20

// errorEvent is the type of the server-sent event that reports an aborted stream.
const errorEvent = "error"

// response writes a target's response to the caller. A buffered response is sent only when
// it is complete, so that a truncated one can still be replaced by an error status.
type response struct {
	writer   http.ResponseWriter
	flusher  *http.ResponseController
	buffered bool
	// reserve takes memory for so many bytes to buffer. It reports false if there is none.
	reserve func(n int) bool
	// started is true once the status was sent to the caller.
	started bool
	status  int
	// body is the buffered part of the body.
	body []byte
}

func newResponse(w http.ResponseWriter, buffered bool, reserve func(int) bool) *response {
	return &response{writer: w, flusher: http.NewResponseController(w), buffered: buffered, reserve: reserve}
}

// head handles the status and headers of the target's response. Offers is the number of
// offers that were made of the request.
func (r *response) head(h *wire.Head, offers uint32) {
	o := r.writer.Header()
	for _, l := range h.Headers {
		o.Add(l.Name, l.Value)
	}
	o.Set(headerRan, call.RanYes.String())
	o.Set(headerOffers, strconv.Itoa(int(offers)))
	r.status = int(h.Status)
	if !r.buffered {
		r.start()
	}
}

// start sends the status and headers.
func (r *response) start() {
	r.started = true
	r.writer.WriteHeader(r.status)
	_ = r.flusher.Flush()
}

// data buffers or sends a part of the body. What was buffered is sent once it would exceed
// maxBuffered or the memory.
func (r *response) data(b []byte) error {
	if r.buffered && len(r.body)+len(b) <= maxBuffered && r.reserve(len(b)) {
		r.body = append(r.body, b...)
		return nil
	}
	if !r.started {
		r.start()
		r.buffered = false
		if err := r.write(r.body); err != nil {
			return err
		}
	}
	return r.write(b)
}

// write sends a part of the body at once.
func (r *response) write(b []byte) error {
	if _, err := r.writer.Write(b); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if err := r.flusher.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// finish sends what is left of a complete response. It always returns nil.
func (r *response) finish() *fault {
	if !r.started {
		r.start()
		_ = r.write(r.body)
	}
	return nil
}

// abort ends a response whose status has been sent. An event stream gets an event that
// describes the fault. Then the connection is closed before the end of the body, so that
// the caller doesn't take the response for complete. It panics with
// http.ErrAbortHandler and does not return.
func (r *response) abort(f *fault) {
	if r.writer.Header().Get("Content-Type") == "text/event-stream" {
		m := &sse.Message{Type: sse.Type(errorEvent)}
		m.AppendData(string(f.body()))
		if b, err := m.MarshalText(); err == nil {
			_ = r.write(b)
		}
	}
	panic(http.ErrAbortHandler)
}
