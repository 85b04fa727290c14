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

// ErrKey is returned when there is no key for a workspace.
var ErrKey = errors.New("no key for workspace")

// Options say where a load goes.
type Options struct {
	// Entries are the base URLs of entries, used in turn.
	Entries []string
	// Keys by workspace; the key of "" is used for all others.
	Keys map[string]string
	// Model is asked for in chat completions.
	Model string
	// Verify compares answers with what a stand-in engine must have said.
	Verify bool
	Client *http.Client
	// Progress is called after each request, if set.
	Progress func(done, all int)
}

// Outcome is what became of one request.
type Outcome struct {
	Request Request
	// Status is the HTTP status, or 0 if there was none.
	Status int
	// Complete is true for a whole answer with a status below 300.
	Complete bool
	// Mismatch says how a whole answer differs from the right one.
	Mismatch string
	// Ran and Code are what the system said of an answer that is not whole.
	Ran  string
	Code string
	// FirstToken and Last are the times to the first and the last token.
	FirstToken, LastToken time.Duration
	Gaps                  []time.Duration
	// Fingerprint identifies the request in the targets' journals.
	Fingerprint uint64
	// Duplicate is the outcome of the second submission under the same id.
	Duplicate *Outcome
}

// Runner sends the requests of a plan.
type Runner struct {
	options Options
	next    atomic.Uint64
}

// New returns a Runner.
func New(o Options) *Runner {
	return &Runner{options: o}
}

// job is one planned request on its way.
type job struct {
	runner *Runner
	start  time.Time
	out    *Outcome
	done   *atomic.Int64
	all    int
}

// Run sends each request when it is due and returns what became of it.
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

// run sends one request and reports progress.
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

// target returns the entry that comes next.
func (r *Runner) target() string {
	return r.options.Entries[r.next.Add(1)%uint64(len(r.options.Entries))]
}

func (r *Runner) key(workspace string) string {
	if k, ok := r.options.Keys[workspace]; ok {
		return k
	}
	return r.options.Keys[""]
}

// post sends a request to an entry. The error is nil whenever there is a status.
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

// failure is the error body that an entry sends.
type failure struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// refused notes an answer that is an error.
func (o *Outcome) refused(p *http.Response) {
	var f failure
	_ = json.NewDecoder(p.Body).Decode(&f)
	o.Code, o.Ran = f.Error.Code, f.Error.Ran
	if o.Ran == "" {
		o.Ran = "unknown"
	}
}

// lost notes an answer that ended without a word from the entry.
func (o *Outcome) lost() {
	o.Complete = false
	if o.Code == "" {
		o.Code, o.Ran = "connection-lost", "unknown"
	}
}

func (j *job) chat(ctx context.Context) {
	q := j.out.Request
	j.out.Fingerprint = stand.Fingerprint(q.Prefix + q.Suffix)
	b, _ := json.Marshal(map[string]any{ // strings and numbers only: it can't fail
		"model":      j.runner.options.Model,
		"stream":     q.Class.Stream,
		"max_tokens": q.OutputTokens,
		"messages":   []any{msg("system", q.Prefix), msg("user", q.Suffix)},
	})
	p, err := j.post(ctx, j.runner.target(), "/v1/chat/completions", b, nil)
	if err != nil {
		j.out.lost()
		return
	}
	defer p.Body.Close()
	j.out.Status = p.StatusCode
	switch {
	case p.StatusCode != http.StatusOK:
		j.out.refused(p)
		return
	case q.Class.Stream:
		j.stream(p.Body)
	default:
		j.answer(p.Body)
	}
	j.out.LastToken = time.Since(j.start)
}

func msg(role, content string) map[string]string {
	return map[string]string{"role": role, "content": content}
}

// chunk is a piece of a chat completion, or all of it.
type chunk struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

// stream reads an answer token by token.
func (j *job) stream(b io.Reader) {
	var got strings.Builder
	last := time.Now()
	for e, err := range sse.Read(b, nil) {
		switch {
		case err != nil:
			j.out.lost()
			return
		case e.Type == "error":
			var f failure
			_ = json.Unmarshal([]byte(e.Data), &f)
			j.out.Code, j.out.Ran = f.Error.Code, f.Error.Ran
			return
		case e.Data == "[DONE]":
			j.whole(got.String())
			return
		}
		var c chunk
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
	j.out.lost()
}

// answer reads an answer that comes at once.
func (j *job) answer(b io.Reader) {
	var c chunk
	if err := json.NewDecoder(b).Decode(&c); err != nil || len(c.Choices) == 0 {
		j.out.lost()
		return
	}
	j.out.FirstToken = time.Since(j.start)
	j.whole(c.Choices[0].Message.Content)
}

// whole notes a whole answer and compares it with the right one.
func (j *job) whole(got string) {
	j.out.Complete = true
	if !j.runner.options.Verify {
		return
	}
	var want strings.Builder
	for n := range j.out.Request.OutputTokens {
		want.WriteString(stand.Token(j.out.Fingerprint, n))
	}
	if got != want.String() {
		j.out.Mismatch = fmt.Sprintf("got %d bytes of text, expected %d", len(got), want.Len())
	}
}

// service calls a plain service under an id made by the system, and for some
// calls a second time at another entry at the same moment.
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

func (j *job) newID(ctx context.Context) (string, bool) {
	b, _ := json.Marshal(map[string]string{"service": j.out.Request.Class.Service})
	p, err := j.post(ctx, j.runner.target(), "/v1/request-ids", b, nil)
	if err != nil {
		// Nothing was submitted yet, so nothing can have run.
		j.out.Code, j.out.Ran = "connection-lost", "no"
		return "", false
	}
	defer p.Body.Close()
	j.out.Status = p.StatusCode
	if p.StatusCode != http.StatusCreated {
		j.out.refused(p)
		return "", false
	}
	return p.Header.Get("Kingcupstand-Request-Id"), true
}

func (j *job) call(ctx context.Context, id string) {
	q := j.out.Request
	h := http.Header{"Kingcupstand-Request-Id": {id}}
	p, err := j.post(ctx, j.runner.target(), "/services/"+q.Class.Service+"/reports", []byte(q.Suffix), h)
	if err != nil {
		j.out.lost()
		return
	}
	defer p.Body.Close()
	j.out.Status = p.StatusCode
	if p.StatusCode != http.StatusOK {
		j.out.refused(p)
		return
	}
	var v struct{ Body string }
	if json.NewDecoder(p.Body).Decode(&v) != nil {
		j.out.lost()
		return
	}
	j.out.LastToken = time.Since(j.start)
	j.out.FirstToken = j.out.LastToken
	j.out.Complete = true
	if j.runner.options.Verify && v.Body != q.Suffix {
		j.out.Mismatch = "the service was sent another body"
	}
}
