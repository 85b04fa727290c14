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
	// started is true once the status was sent to the caller.
	started bool
	status  int
	// body is the buffered part of the body.
	body []byte
}

func newResponse(w http.ResponseWriter, buffered bool) *response {
	return &response{writer: w, flusher: http.NewResponseController(w), buffered: buffered}
}

// head handles the status and headers of the target's response. Offers is the number of
// offers that were made of the request.
func (a *response) head(h *wire.Head, offers uint32) {
	o := a.writer.Header()
	for _, l := range h.Headers {
		o.Add(l.Name, l.Value)
	}
	o.Set(headerRan, call.RanYes.String())
	o.Set(headerOffers, strconv.Itoa(int(offers)))
	a.status = int(h.Status)
	if !a.buffered {
		a.start()
	}
}

// start sends the status and headers.
func (a *response) start() {
	a.started = true
	a.writer.WriteHeader(a.status)
	_ = a.flusher.Flush()
}

// data handles a part of the body.
func (a *response) data(b []byte) error {
	if a.buffered && len(a.body)+len(b) <= maxBuffered {
		a.body = append(a.body, b...)
		return nil
	}
	if !a.started {
		a.start()
		a.buffered = false
		if err := a.write(a.body); err != nil {
			return err
		}
	}
	return a.write(b)
}

// write sends a part of the body at once.
func (a *response) write(b []byte) error {
	if _, err := a.writer.Write(b); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if err := a.flusher.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// finish sends what is left of a complete response. It always returns nil.
func (a *response) finish() *fault {
	if !a.started {
		a.start()
		_ = a.write(a.body)
	}
	return nil
}

// abort ends a response whose status has been sent. An event stream gets an event that
// describes the fault. Then the connection is closed before the end of the body, so that
// the caller doesn't take the response for complete. It panics with
// http.ErrAbortHandler and does not return.
func (a *response) abort(f *fault) {
	if a.writer.Header().Get("Content-Type") == "text/event-stream" {
		m := &sse.Message{Type: sse.Type(errorEvent)}
		m.AppendData(string(f.body()))
		if b, err := m.MarshalText(); err == nil {
			_ = a.write(b)
		}
	}
	panic(http.ErrAbortHandler)
}
