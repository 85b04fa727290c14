// Package httpd serves HTTP: go-zero's router behind a net/http server.
//
// Only the router of go-zero is used. Its middlewares are off: its circuit breaker and
// its adaptive load shedding don't know tiers, and its default timeout and body limit
// differ from those of the contracts. Its server isn't used either, since it shuts down
// by itself on SIGTERM; a Server shuts down only when Stop is called.
//
// # Usage
//
//	h, err := httpd.New("entry-1", routes, notFound)
//	s := httpd.NewServer(ctx, h, tlsConfig, intake)
//	go s.Serve(listener)
//	err = s.Stop(ctx)
package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"kingcupstand/io/intake"
)

// Limits of one listener. headerTimeout is the time that a client has for sending the
// headers of a request, and for its body if the handler doesn't read it with an Intake.
// idleTimeout is how long a connection is kept between requests.
const (
	maxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
)

// New returns a handler that dispatches requests to the routes. Requests that match no
// route go to notFound; if that is nil, their status is 404. The name is the service
// name for go-zero.
func New(name string, routes []rest.Route, notFound http.Handler) (http.Handler, error) {
	c := rest.RestConf{ServiceConf: service.ServiceConf{
		Name:      name,
		Mode:      service.ProMode,
		Log:       logx.LogConf{Stat: false},
		Telemetry: trace.Config{Disabled: true},
	}}
	var opts []rest.RunOption
	if notFound != nil {
		opts = append(opts, rest.WithNotFoundHandler(notFound))
	}
	s, err := rest.NewServer(c, opts...)
	if err != nil {
		return nil, fmt.Errorf("http server: %w", err)
	}
	s.AddRoutes(routes)
	l, err := rest.NewServerless(s)
	if err != nil {
		return nil, fmt.Errorf("http routes: %w", err)
	}
	return http.HandlerFunc(l.Serve), nil
}

// Server serves one handler on one listener, over HTTP or HTTPS.
type Server struct {
	http   *http.Server
	intake *intake.Intake
}

// NewServer returns a server for h. The contexts of requests are derived from ctx and
// canceled with it. If c is nil the server doesn't use TLS. Its connections are bounded
// by i.
func NewServer(ctx context.Context, h http.Handler, c *tls.Config, i *intake.Intake) *Server {
	s := &Server{intake: i, http: &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           intake.Handler(h, headerTimeout),
		TLSConfig:         c,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}}
	i.Attach(s.http)
	return s
}

// Serve accepts connections on n and serves their requests until Stop is called. It
// returns nil after Stop.
func (s *Server) Serve(n net.Listener) error {
	n, err := s.intake.Listener(n)
	if err != nil {
		return errors.Join(err, n.Close())
	}
	if s.http.TLSConfig != nil {
		n = tls.NewListener(n, s.http.TLSConfig)
	}
	if err := s.http.Serve(n); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve http: %w", err)
	}
	return nil
}

// Stop closes the listener and waits for the requests in flight. If ctx ends first, it
// closes their connections and returns an error that wraps the context's.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("shut down http: %w", err), s.http.Close())
	}
	return nil
}
