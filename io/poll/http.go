package poll

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Paths and headers of the platform's protocol: a conditional GET (RFC 9110,
// If-None-Match) for whose response the client is willing to wait (RFC 7240, Prefer: wait,
// in seconds).
const (
	ConfigurationPath = "/v1/configuration"
	InstancesPath     = "/v1/instances"
	preferWait        = "wait=20"
)

// serviceName is the name of the platform in httpc. Its circuit breaker is off, since a
// process already limits the rate of its reads.
const serviceName = "platform"

// HTTP is a Source that is read over HTTP. Its tags are ETags. It is safe for concurrent
// use.
type HTTP struct {
	url     string
	service httpc.Service
}

var _ Source = (*HTTP)(nil)

// NewHTTP returns the Source at the given base URL.
func NewHTTP(url string, c *http.Client) *HTTP {
	breaker.NoBreakerFor(serviceName)
	return &HTTP{url: url, service: httpc.NewServiceWithClient(serviceName, c)}
}

// Configuration implements Source.
func (h *HTTP) Configuration(ctx context.Context, tag string) (Value, error) {
	return h.get(ctx, ConfigurationPath, tag)
}

// Instances implements Source.
func (h *HTTP) Instances(ctx context.Context, tag string) (Value, error) {
	return h.get(ctx, InstancesPath, tag)
}

func (h *HTTP) get(ctx context.Context, path, tag string) (Value, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+path, nil)
	if err != nil {
		return Value{}, fmt.Errorf("platform %s: %w", path, err)
	}
	if tag != "" {
		q.Header.Set("If-None-Match", tag)
		q.Header.Set("Prefer", preferWait)
	}
	p, err := h.service.DoRequest(q)
	if err != nil {
		return Value{}, fmt.Errorf("platform %s: %w", path, err)
	}
	defer p.Body.Close()
	switch p.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	default:
		return Value{}, fmt.Errorf("platform %s: status %d", path, p.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, fmt.Errorf("platform %s: %w", path, err)
	}
	if len(b) > maxValueBytes {
		return Value{}, fmt.Errorf("platform %s: value of more than %d bytes", path, maxValueBytes)
	}
	return Value{Body: b, Tag: p.Header.Get("ETag")}, nil
}
