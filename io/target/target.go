// Package target sends requests to the model engine or plain service beside an
// agent, each exactly once.
//
// # Usage
//
//	c, err := target.New("http://127.0.0.1:8000", stall)
//	r := c.Run(ctx, request, sink)
//	if r.Whole { ... }
//
// net/http repeats a request on a lost connection when its method is safe or it
// carries an idempotency key. That would be a second dispatch behind the agent's
// back, so such headers are stripped, bodies can't be rewound, requests without a
// body get a connection of their own, and redirects are not followed.
package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"kingcupstand/core/call"
)

// Sizes and times of a Client.
const (
	dialTimeout = 2 * time.Second
	idleConns   = 256
	chunk       = 16 << 10
	// parsed is the largest JSON answer that token counts are read from, in bytes.
	parsed = 4 << 20
)

// httpName names the target towards httpc. Its breaker is off: it knows no tiers,
// and its refusal would look like the target's.
const httpName = "target"

// Request is what is sent to a target.
type Request struct {
	Method string
	Path   string
	Header http.Header
	// Body is nil for requests without one.
	Body io.Reader
}

// Sink takes the answer. Each method is called by one goroutine at a time; an
// error stops the answer.
type Sink interface {
	// Connected is called once a connection is there, before the request is sent.
	Connected()
	Head(status int, h http.Header) error
	Data(b []byte) error
}

// Result is how an answer ended.
type Result struct {
	// Sent is false only if no byte of the request left.
	Sent bool
	// Complete is true only if the answer was read to its proper end.
	Complete bool
	Reason   call.Reason
	Usage    Usage
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	url    *url.URL
	stall  time.Duration
	keep   httpc.Service
	single httpc.Service
}

// New returns a client of the target at a base URL. A target that is silent for
// longer than stall is given up.
func New(base string, stall time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("target url: %w", err)
	}
	breaker.NoBreakerFor(httpName)
	return &Client{
		url:    u,
		stall:  stall,
		keep:   service(&http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}),
		single: service(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}, nil
}

func service(t *http.Transport) httpc.Service {
	c := &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return httpc.NewServiceWithClient(httpName, c)
}

// errStalled cancels an answer whose target has fallen silent.
var errStalled = errors.New("target stalled")

// Run sends a request and passes the answer to a sink. Canceling ctx closes the
// answer, which the target takes as a cancellation.
func (c *Client) Run(ctx context.Context, q Request, s Sink) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := time.AfterFunc(c.stall, func() { cancel(errStalled) })
	defer w.Stop()
	var sent atomic.Bool
	r, err := c.request(ctx, q, s, &sent)
	if err != nil {
		return Result{Reason: call.ReasonTargetUnreachable}
	}
	p, err := c.pick(q).DoRequest(r)
	if err != nil {
		return Result{Sent: sent.Load(), Reason: reason(ctx, call.ReasonTargetUnreachable)}
	}
	defer p.Body.Close()
	a := &answer{client: c, watch: w, sink: s}
	whole := a.read(p)
	res := Result{Sent: true, Complete: whole, Usage: a.usage}
	if !whole {
		res.Reason = reason(ctx, call.ReasonAnswerCut)
	}
	return res
}

func reason(ctx context.Context, other call.Reason) call.Reason {
	if errors.Is(context.Cause(ctx), errStalled) {
		return call.ReasonTargetStalled
	}
	return other
}

// pick returns the transport for a request. Without a body, a request on a used
// connection might be repeated by the transport.
func (c *Client) pick(q Request) httpc.Service {
	if q.Body == nil {
		return c.single
	}
	return c.keep
}

func (c *Client) request(ctx context.Context, q Request, s Sink, sent *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if sent.CompareAndSwap(false, true) {
				s.Connected()
			}
		},
	})
	var b io.Reader
	if q.Body != nil {
		b = once{q.Body}
	}
	p, err := c.url.Parse(strings.TrimSuffix(c.url.Path, "/") + q.Path)
	if err != nil {
		return nil, fmt.Errorf("target path: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, p.String(), b)
	if err != nil {
		return nil, fmt.Errorf("target request: %w", err)
	}
	r.Header = strip(q.Header)
	return r, nil
}

// once hides the type of a body, so that net/http can't rewind it.
type once struct{ io.Reader }

// stripped are the headers that do not go on to a target: those of one hop, the
// caller's credentials, and those that make net/http repeat a request.
var stripped = []string{
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Connection", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Accept-Encoding",
}

func strip(h http.Header) http.Header {
	o := h.Clone()
	if o == nil {
		o = make(http.Header)
	}
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range stripped {
		o.Del(n)
	}
	return o
}

// isStream reports whether an answer is a stream of server-sent events.
func isStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}
