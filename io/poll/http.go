package poll

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Paths and headers of the platform's protocol: a conditional GET that may wait,
// after RFC 9110 (If-None-Match) and RFC 7240 (Prefer: wait).
const (
	ConfigurationPath = "/v1/configuration"
	InstancesPath     = "/v1/instances"
	preferWait        = "wait=20"
)

// httpName names the platform towards httpc. Its breaker is off: each process
// already paces its own reads.
const httpName = "platform"

// HTTP is a Source that is read over HTTP.
type HTTP struct {
	url     string
	service httpc.Service
}

var _ Source = (*HTTP)(nil)

// NewHTTP returns the platform at the given base URL.
func NewHTTP(url string, c *http.Client) *HTTP {
	breaker.NoBreakerFor(httpName)
	return &HTTP{url: url, service: httpc.NewServiceWithClient(httpName, c)}
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
	b, err := io.ReadAll(io.LimitReader(p.Body, maxText+1))
	if err != nil {
		return Value{}, fmt.Errorf("platform %s: %w", path, err)
	}
	if len(b) > maxText {
		return Value{}, fmt.Errorf("platform %s: value of more than %d bytes", path, maxText)
	}
	return Value{Body: b, Tag: p.Header.Get("ETag")}, nil
}
