// Package target is the HTTP client of an agent's target: the model engine or plain
// service that the agent fronts. It sends each request at most once, passes the response
// on as it arrives and reads token counts from it.
//
// net/http retries a request on a lost connection if its method is idempotent or if it
// has an idempotency key. Such a retry would be a second dispatch that the agent doesn't
// know of. To prevent it, headers with idempotency keys are removed and bodies can't be
// rewound. Redirects aren't followed for the same reason. Each request gets a new connection:
// targets don't name the request that they answer, so that a repeated response to an earlier
// one could not be distinguished from its own.
//
// A request is aborted if its target sends nothing for the stall time. A response is
// complete only if it was read to its proper end: the end of the body, or the closing
// event of a stream.
//
// # Usage
//
//	c, err := target.New("http://127.0.0.1:8000", stall)
//	r := c.Run(ctx, request, sink)
//	if r.Complete { ... }
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

// Limits of a Client. readBytes is the size of the buffer for bodies that aren't streams.
const (
	dialTimeout = 2 * time.Second
	readBytes   = 16 << 10
	// maxHeaderBytes is the largest size of a response's head.
	maxHeaderBytes = 64 << 10
	// maxParsedBytes is the size of the largest JSON response that token counts are read
	// from.
	maxParsedBytes = 4 << 20
)

// serviceName is the name of the target in httpc. Its circuit breaker is off, since it
// doesn't know tiers and its refusals would look like the target's.
const serviceName = "target"

// Request is a request to a target. The caller's credentials, idempotency keys and
// hop-by-hop headers among its headers are not sent.
type Request struct {
	Method string
	Path   string
	Header http.Header
	// Body is nil for requests without one.
	Body io.Reader
}

// Sink receives a response. Its methods are not called concurrently. If one returns an
// error the response is aborted.
type Sink interface {
	// Connected is called when there is a connection, before the request is sent.
	Connected()
	// Head receives the status and the headers, without Content-Length and the hop-by-hop
	// ones. It is called before Data.
	Head(status int, h http.Header) error
	// Data receives the next part of the body, in a stream one event at a time. It must
	// not keep b.
	Data(b []byte) error
}

// Result is the outcome of a request.
type Result struct {
	// Sent is false only if no byte of the request was sent.
	Sent bool
	// Complete is true only if the response was read to its proper end.
	Complete bool
	// Reason is why the response is not complete, and empty if it is.
	Reason call.Reason
	Usage  Usage
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	url     *url.URL
	stall   time.Duration
	service httpc.Service
}

// New returns a client of the target at a base URL. A request is aborted if the target
// sends nothing for longer than stall, counted from the call of Run and from each part of
// the response.
func New(base string, stall time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("target url: %w", err)
	}
	breaker.NoBreakerFor(serviceName)
	return &Client{
		url:     u,
		stall:   stall,
		service: newService(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}),
	}, nil
}

func newService(t *http.Transport) httpc.Service {
	c := &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return httpc.NewServiceWithClient(serviceName, c)
}

// errStalled is the cancellation cause of a request whose target stalled.
var errStalled = errors.New("target stalled")

// Run sends q and passes the response to s. It returns when the response has ended.
// Canceling ctx closes the connection, which the target takes as a cancellation.
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
	p, err := c.service.DoRequest(r)
	if err != nil {
		return Result{Sent: sent.Load(), Reason: reasonOr(ctx, call.ReasonTargetUnreachable)}
	}
	defer p.Body.Close()
	a := &response{client: c, stallTimer: w, sink: s}
	complete := a.read(p)
	res := Result{Sent: true, Complete: complete, Usage: a.usage}
	if !complete {
		res.Reason = reasonOr(ctx, call.ReasonAnswerCut)
	}
	return res
}

// reasonOr returns ReasonTargetStalled if the target stalled, and other if not.
func reasonOr(ctx context.Context, other call.Reason) call.Reason {
	if errors.Is(context.Cause(ctx), errStalled) {
		return call.ReasonTargetStalled
	}
	return other
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
		b = onceReader{q.Body}
	}
	p, err := c.url.Parse(strings.TrimSuffix(c.url.Path, "/") + q.Path)
	if err != nil {
		return nil, fmt.Errorf("target path: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, p.String(), b)
	if err != nil {
		return nil, fmt.Errorf("target request: %w", err)
	}
	r.Header = stripHeaders(q.Header)
	return r, nil
}

// onceReader hides the type of a body, so that net/http can't rewind and resend it.
type onceReader struct{ io.Reader }

// strippedHeaders are not passed on: the hop-by-hop headers, the caller's credentials, the
// keys that make net/http retry a request, Content-Length, as net/http frames bodies
// itself, and Accept-Encoding, as compressed responses couldn't be parsed.
var strippedHeaders = []string{
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Connection", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Accept-Encoding",
}

// stripHeaders returns a copy of h without strippedHeaders and those named by Connection.
func stripHeaders(h http.Header) http.Header {
	o := h.Clone()
	if o == nil {
		o = make(http.Header)
	}
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range strippedHeaders {
		o.Del(n)
	}
	return o
}

// isStream reports whether a response with these headers is a stream of server-sent
// events.
func isStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}
