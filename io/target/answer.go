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
)

// done is the data of the event that ends a chat-completions stream.
const done = "[DONE]"

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 1 << 20

// Usage is what a target counted, in tokens.
type Usage struct {
	PromptTokens, CachedTokens, OutputTokens int
}

// answer reads one answer and passes it on.
type answer struct {
	client *Client
	watch  *time.Timer
	sink   Sink
	usage  Usage
	events int
}

// read passes the answer to the sink and reports whether it was whole.
func (a *answer) read(p *http.Response) bool {
	a.alive()
	if err := a.sink.Head(p.StatusCode, strip(p.Header)); err != nil {
		return false
	}
	if isStream(p.Header) && p.StatusCode == http.StatusOK {
		return a.stream(p.Body)
	}
	return a.plain(p)
}

// alive puts off the moment when the target counts as stalled.
func (a *answer) alive() {
	a.watch.Reset(a.client.stall)
}

// stream passes whole events on. Only the closing event makes the stream whole;
// what a target sends after it is not read.
func (a *answer) stream(b io.Reader) bool {
	for e, err := range sse.Read(b, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return false
		}
		a.alive()
		if err := a.event(e); err != nil {
			return false
		}
		if e.Data == done {
			a.fill()
			return true
		}
	}
	return false
}

func (a *answer) event(e sse.Event) error {
	a.events++
	if strings.Contains(e.Data, `"usage"`) {
		a.count([]byte(e.Data))
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
	return a.sink.Data(t)
}

// fill estimates the output of targets that do not count it: one token an event.
func (a *answer) fill() {
	if a.usage.OutputTokens == 0 {
		a.usage.OutputTokens = a.events
	}
}

// plain passes a body on as it comes and reads token counts from JSON.
func (a *answer) plain(p *http.Response) bool {
	var kept []byte
	t, _, _ := mime.ParseMediaType(p.Header.Get("Content-Type"))
	isJSON := t == "application/json"
	b := make([]byte, chunk)
	for {
		n, err := p.Body.Read(b)
		if n > 0 {
			a.alive()
			if isJSON && len(kept)+n <= parsed {
				kept = append(kept, b[:n]...)
			}
			if e := a.sink.Data(b[:n]); e != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			a.count(kept)
			return true
		}
		if err != nil {
			return false
		}
	}
}

// count reads the usage part of a chat-completions answer, if there is one.
func (a *answer) count(b []byte) {
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
	a.usage = Usage{
		PromptTokens: v.Usage.PromptTokens,
		CachedTokens: v.Usage.PromptTokensDetails.CachedTokens,
		OutputTokens: v.Usage.CompletionTokens,
	}
}
