package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"kingcupstand/internal/stand"
)

// ErrKey means that there is no API key for a workspace.
var ErrKey = errors.New("no key for workspace")

// Options are the options of a Runner.
type Options struct {
	// Entries are the base URLs of the entries, which are used in rotation.
	Entries []string
	// Keys are the API keys by workspace. The key of "" is used for all others.
	Keys map[string]string
	// Model is the model of chat completions.
	Model string
	// Verify compares complete responses with the ones expected of stand-in targets.
	Verify bool
	// Client sends the requests. It must be set.
	Client *http.Client
	// Progress, if set, is called after each request, concurrently, with the numbers of
	// finished requests and of all requests.
	Progress func(done, all int)
}

// Outcome is the outcome of one request as its caller saw it.
type Outcome struct {
	Request Request
	// Status is the HTTP status, or 0 if there was none.
	Status int
	// Complete is true for a complete response with a status below 300.
	Complete bool
	// Mismatch says how a complete response differs from the expected one. It is "" if it
	// doesn't, or if Options.Verify is off.
	Mismatch string
	// Ran is "yes", "no" or "unknown": whether the request ran, according to the system.
	// Code is the error code. Both are set only if the response is not complete.
	Ran  string
	Code string
	// FirstToken and LastToken are the times from sending the request to receiving the
	// first and the last token.
	FirstToken, LastToken time.Duration
	// Gaps are the times between consecutive tokens of a stream.
	Gaps []time.Duration
	// Fingerprint is the fingerprint of the request in the targets' journals.
	Fingerprint uint64
	// Duplicate is the outcome of the second submission under the same id, or nil.
	Duplicate *Outcome
}

// Runner sends the requests of a plan. It is safe for concurrent use.
type Runner struct {
	options Options
	next    atomic.Uint64
}

// New returns a Runner.
func New(o Options) *Runner {
	return &Runner{options: o}
}

// job is one request in flight.
type job struct {
	runner *Runner
	start  time.Time
	out    *Outcome
	done   *atomic.Int64
	all    int
}

// Run sends each request of the plan at its time. When all have ended it returns their
// outcomes, in the order of the plan. When ctx ends, the remaining requests fail at once.
func (r *Runner) Run(ctx context.Context, plan []Request) []Outcome {
	out := make([]Outcome, len(plan))
	var done atomic.Int64
	start := time.Now()
	var g sync.WaitGroup
	for i, q := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(q.At))):
		}
		out[i].Request = q
		j := &job{runner: r, out: &out[i], done: &done, all: len(plan)}
		g.Go(func() { j.run(ctx) })
	}
	g.Wait()
	return out
}

// run sends one request, waits for its response and reports progress.
func (j *job) run(ctx context.Context) {
	j.start = time.Now()
	if j.out.Request.Class.Service != "" {
		j.service(ctx)
	} else {
		j.chat(ctx)
	}
	n := int(j.done.Add(1))
	if p := j.runner.options.Progress; p != nil {
		p(n, j.all)
	}
}

// nextEntry returns the base URL of the next entry in rotation.
func (r *Runner) nextEntry() string {
	return r.options.Entries[r.next.Add(1)%uint64(len(r.options.Entries))]
}

// key returns the API key of a workspace.
func (r *Runner) key(workspace string) string {
	if k, ok := r.options.Keys[workspace]; ok {
		return k
	}
	return r.options.Keys[""]
}

// post sends a request to the entry at base. It returns an error only if there is no
// response.
func (j *job) post(ctx context.Context, base, path string, body []byte, h http.Header) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	q.GetBody = nil
	for n, v := range h {
		q.Header[n] = v
	}
	q.Header.Set("Authorization", "Bearer "+j.runner.key(j.out.Request.Workspace))
	q.Header.Set("Kingcupstand-Tier", j.out.Request.Class.Tier)
	p, err := j.runner.options.Client.Do(q)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return p, nil
}

// errorBody is the body of an entry's error response.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// recordError records an error response.
func (o *Outcome) recordError(p *http.Response) {
	var f errorBody
	_ = json.NewDecoder(p.Body).Decode(&f)
	o.Code, o.Ran = f.Error.Code, f.Error.Ran
	if o.Ran == "" {
		o.Ran = "unknown"
	}
}

// recordLost records that a response ended early, without an error message of the entry.
func (o *Outcome) recordLost() {
	o.Complete = false
	if o.Code == "" {
		o.Code, o.Ran = "connection-lost", "unknown"
	}
}

// chat sends a chat completion.
func (j *job) chat(ctx context.Context) {
	q := j.out.Request
	j.out.Fingerprint = stand.Fingerprint(q.Prefix + q.Suffix)
	b, _ := json.Marshal(map[string]any{ // it can't fail on these types
		"model":      j.runner.options.Model,
		"stream":     q.Class.Stream,
		"max_tokens": q.OutputTokens,
		"messages":   []any{message("system", q.Prefix), message("user", q.Suffix)},
	})
	p, err := j.post(ctx, j.runner.nextEntry(), "/v1/chat/completions", b, nil)
	if err != nil {
		j.out.recordLost()
		return
	}
	defer p.Body.Close()
	j.out.Status = p.StatusCode
	switch {
	case p.StatusCode != http.StatusOK:
		j.out.recordError(p)
		return
	case q.Class.Stream:
		j.readStream(p.Body)
	default:
		j.readBody(p.Body)
	}
	j.out.LastToken = time.Since(j.start)
}

func message(role, content string) map[string]string {
	return map[string]string{"role": role, "content": content}
}

// completion is a chat completion, or one chunk of a streamed one.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

// readStream reads a streamed response. Each event is taken as one token.
func (j *job) readStream(b io.Reader) {
	var got strings.Builder
	last := time.Now()
	for e, err := range sse.Read(b, nil) {
		switch {
		case err != nil:
			j.out.recordLost()
			return
		case e.Type == "error":
			var f errorBody
			_ = json.Unmarshal([]byte(e.Data), &f)
			j.out.Code, j.out.Ran = f.Error.Code, f.Error.Ran
			return
		case e.Data == "[DONE]":
			j.recordComplete(got.String())
			return
		}
		var c completion
		if json.Unmarshal([]byte(e.Data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		got.WriteString(c.Choices[0].Delta.Content)
		now := time.Now()
		if j.out.FirstToken == 0 {
			j.out.FirstToken = now.Sub(j.start)
		} else {
			j.out.Gaps = append(j.out.Gaps, now.Sub(last))
		}
		last = now
	}
	j.out.recordLost()
}

// readBody reads a response that is not streamed.
func (j *job) readBody(b io.Reader) {
	var c completion
	if err := json.NewDecoder(b).Decode(&c); err != nil || len(c.Choices) == 0 {
		j.out.recordLost()
		return
	}
	j.out.FirstToken = time.Since(j.start)
	j.recordComplete(c.Choices[0].Message.Content)
}

// recordComplete records a complete response and compares it with the expected one.
func (j *job) recordComplete(got string) {
	j.out.Complete = true
	if !j.runner.options.Verify {
		return
	}
	var want strings.Builder
	for n := range j.out.Request.OutputTokens {
		want.WriteString(stand.Token(j.out.Fingerprint, n))
	}
	if got != want.String() {
		j.out.Mismatch = fmt.Sprintf("got a different text of %d bytes, want %d", len(got), want.Len())
	}
}

// service calls a plain service under a request id that it gets from an entry. If the
// request is to be duplicated, it is submitted to the next two entries at once.
func (j *job) service(ctx context.Context) {
	q := j.out.Request
	j.out.Fingerprint = stand.Fingerprint(q.Suffix)
	id, ok := j.newID(ctx)
	if !ok {
		return
	}
	if !q.Duplicate {
		j.call(ctx, id)
		return
	}
	t := &job{runner: j.runner, start: j.start, out: &Outcome{Request: q, Fingerprint: j.out.Fingerprint}}
	var g sync.WaitGroup
	g.Go(func() { t.call(ctx, id) })
	j.call(ctx, id)
	g.Wait()
	j.out.Duplicate = t.out
}

// newID requests an id from an entry. If it fails it records the error and returns false.
func (j *job) newID(ctx context.Context) (string, bool) {
	b, _ := json.Marshal(map[string]string{"service": j.out.Request.Class.Service})
	p, err := j.post(ctx, j.runner.nextEntry(), "/v1/request-ids", b, nil)
	if err != nil {
		// The request itself was not submitted yet, so it can't have run.
		j.out.Code, j.out.Ran = "connection-lost", "no"
		return "", false
	}
	defer p.Body.Close()
	j.out.Status = p.StatusCode
	if p.StatusCode != http.StatusCreated {
		j.out.recordError(p)
		return "", false
	}
	return p.Header.Get("Kingcupstand-Request-Id"), true
}

// call submits the call of a plain service under a request id.
func (j *job) call(ctx context.Context, id string) {
	q := j.out.Request
	h := http.Header{"Kingcupstand-Request-Id": {id}}
	p, err := j.post(ctx, j.runner.nextEntry(), "/services/"+q.Class.Service+"/reports", []byte(q.Suffix), h)
	if err != nil {
		j.out.recordLost()
		return
	}
	defer p.Body.Close()
	j.out.Status = p.StatusCode
	if p.StatusCode != http.StatusOK {
		j.out.recordError(p)
		return
	}
	var v struct{ Body string }
	if json.NewDecoder(p.Body).Decode(&v) != nil {
		j.out.recordLost()
		return
	}
	j.out.LastToken = time.Since(j.start)
	j.out.FirstToken = j.out.LastToken
	j.out.Complete = true
	if j.runner.options.Verify && v.Body != q.Suffix {
		j.out.Mismatch = "the service received a different body"
	}
}
