package target

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"kingcupstand/core/event"
)

// doneData is the data of the event that closes a chat-completions stream.
const doneData = "[DONE]"

// maxEventBytes is the size of the largest server-sent event.
const maxEventBytes = 1 << 20

// Usage is the token counts that the target reported. CachedTokens is the part of
// PromptTokens that was found in its prefix cache. If a target does not report the output
// of a stream, OutputTokens is the number of events.
type Usage struct {
	PromptTokens, CachedTokens, OutputTokens int
}

// response reads one response and passes it to the sink.
type response struct {
	client     *Client
	stallTimer *time.Timer
	sink       Sink
	usage      Usage
	events     int
}

// read passes the response to the sink and reports whether it is complete.
func (r *response) read(p *http.Response) bool {
	r.resetStall()
	if err := r.sink.Head(p.StatusCode, stripHeaders(p.Header)); err != nil {
		return false
	}
	if isStream(p.Header) && p.StatusCode == http.StatusOK {
		return r.stream(p.Body)
	}
	return r.body(p)
}

// resetStall restarts the stall timer, as the target has sent something.
func (r *response) resetStall() {
	r.stallTimer.Reset(r.client.stall)
}

// stream passes a stream on, one complete event at a time. The stream is complete only
// if its closing event was read. Anything that the target sends after it is ignored.
func (r *response) stream(b io.Reader) bool {
	for e, err := range sse.Read(&events{reader: b, splitter: event.NewSize(maxEventBytes)}, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return false
		}
		r.resetStall()
		if err := r.event(e); err != nil {
			return false
		}
		if e.Data == doneData {
			r.estimateOutput()
			return true
		}
	}
	return false
}

// events reads a stream up to a block that is no event: the parser ignores lines that are no fields,
// so that the events of another response after its head would count as those of this one.
type events struct {
	reader   io.Reader
	splitter *event.Splitter
	buffer   [readBytes]byte
	// rest is what is to be returned before err.
	rest []byte
	err  error
}

// Read implements io.Reader. It fails with event.ErrMalformed.
func (e *events) Read(b []byte) (int, error) {
	for len(e.rest) == 0 {
		if e.err != nil {
			return 0, e.err
		}
		n, err := e.reader.Read(e.buffer[:])
		es, perr := e.splitter.Push(e.buffer[:n])
		if e.err = perr; perr == nil {
			e.err = err
		}
		for _, v := range es {
			if v.Kind == event.Malformed {
				e.err = event.ErrMalformed
				break
			}
			e.rest = append(e.rest, v.Raw...)
		}
		if errors.Is(e.err, io.EOF) {
			e.rest = append(e.rest, e.splitter.Rest()...) // the parser judges an event without its end
		}
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// event passes one event on, with its type and data only, and counts it.
func (r *response) event(e sse.Event) error {
	r.events++
	if strings.Contains(e.Data, `"usage"`) {
		r.parseUsage([]byte(e.Data))
	}
	m := &sse.Message{}
	if e.Type != "" {
		t, err := sse.NewType(e.Type)
		if err != nil {
			return err
		}
		m.Type = t
	}
	m.AppendData(e.Data)
	t, err := m.MarshalText()
	if err != nil {
		return err
	}
	return r.sink.Data(t)
}

// estimateOutput sets the output to one token per event if the target did not count it.
func (r *response) estimateOutput() {
	if r.usage.OutputTokens == 0 {
		r.usage.OutputTokens = r.events
	}
}

// body passes on a body that is not a stream as it arrives. If it is JSON of at most
// maxParsedBytes, token counts are read from it.
func (r *response) body(p *http.Response) bool {
	var buffered []byte
	t, _, _ := mime.ParseMediaType(p.Header.Get("Content-Type"))
	isJSON := t == "application/json"
	b := make([]byte, readBytes)
	for {
		n, err := p.Body.Read(b)
		if n > 0 {
			r.resetStall()
			if isJSON && len(buffered)+n <= maxParsedBytes {
				buffered = append(buffered, b[:n]...)
			}
			if e := r.sink.Data(b[:n]); e != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			r.parseUsage(buffered)
			return true
		}
		if err != nil {
			return false
		}
	}
}

// parseUsage reads the usage member of a chat completion, or of an event of one, if it
// has one.
func (r *response) parseUsage(b []byte) {
	var v struct {
		Usage *struct {
			PromptTokens        int `json:"prompt_tokens"`
			CompletionTokens    int `json:"completion_tokens"`
			PromptTokensDetails struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(b, &v) != nil || v.Usage == nil {
		return
	}
	r.usage = Usage{
		PromptTokens: v.Usage.PromptTokens,
		CachedTokens: v.Usage.PromptTokensDetails.CachedTokens,
		OutputTokens: v.Usage.CompletionTokens,
	}
}
