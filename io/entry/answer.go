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

// maxBuffered is the most of an answer that is held back until it is whole, in
// bytes. Longer answers are passed on as they come.
const maxBuffered = 8 << 20

// errorEvent names the event that tells a stream's caller that it was cut.
const errorEvent = "error"

// answer writes a target's answer to the caller. A buffered answer is held back
// until it is whole, so that a cut one can still be told by its status.
type answer struct {
	writer   http.ResponseWriter
	flusher  *http.ResponseController
	buffered bool
	begun    bool
	status   int
	kept     []byte
}

func newAnswer(w http.ResponseWriter, buffered bool) *answer {
	return &answer{writer: w, flusher: http.NewResponseController(w), buffered: buffered}
}

// head takes the answer's status and headers.
func (a *answer) head(h *wire.Head, offers uint32) {
	o := a.writer.Header()
	for _, l := range h.Headers {
		o.Add(l.Name, l.Value)
	}
	o.Set(headerRan, call.RanYes.String())
	o.Set(headerOffers, strconv.Itoa(int(offers)))
	a.status = int(h.Status)
	if !a.buffered {
		a.begin()
	}
}

func (a *answer) begin() {
	a.begun = true
	a.writer.WriteHeader(a.status)
	_ = a.flusher.Flush()
}

// data takes a piece of the body.
func (a *answer) data(b []byte) error {
	if a.buffered && len(a.kept)+len(b) <= maxBuffered {
		a.kept = append(a.kept, b...)
		return nil
	}
	if !a.begun {
		a.begin()
		a.buffered = false
		if err := a.write(a.kept); err != nil {
			return err
		}
	}
	return a.write(b)
}

func (a *answer) write(b []byte) error {
	if _, err := a.writer.Write(b); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	if err := a.flusher.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// finish completes a whole answer.
func (a *answer) finish() *fault {
	if !a.begun {
		a.begin()
		_ = a.write(a.kept)
	}
	return nil
}

// abort ends an answer whose status has been sent: a stream gets an event that
// says what happened, and the connection is closed before the body's end, so that
// the short answer can't be taken for a whole one.
func (a *answer) abort(f *fault) {
	if a.writer.Header().Get("Content-Type") == "text/event-stream" {
		m := &sse.Message{Type: sse.Type(errorEvent)}
		m.AppendData(string(f.body()))
		if b, err := m.MarshalText(); err == nil {
			_ = a.write(b)
		}
	}
	panic(http.ErrAbortHandler)
}
