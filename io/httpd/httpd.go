// Package httpd serves HTTP with go-zero's router on a listener of its own.
//
// # Usage
//
//	h, err := httpd.New("entry-1", routes, notFound)
//	s := httpd.NewServer(ctx, h, tlsConfig, 4096)
//	go s.Serve(listener)
//	err = s.Stop(ctx)
//
// go-zero's breaker and adaptive shedding know no tiers, and its default timeout
// and body limit are not the contract's, so its middlewares are off. Its own
// server would stop on SIGTERM by itself; this one stops when it is told to.
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
	"golang.org/x/net/netutil"
)

// Bounds of one listener.
const (
	maxHeader     = 32 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// New returns a handler for the routes. Paths that have none go to other, which
// may be nil.
func New(name string, routes []rest.Route, other http.Handler) (http.Handler, error) {
	c := rest.RestConf{ServiceConf: service.ServiceConf{
		Name:      name,
		Mode:      service.ProMode,
		Log:       logx.LogConf{Stat: false},
		Telemetry: trace.Config{Disabled: true},
	}}
	var opts []rest.RunOption
	if other != nil {
		opts = append(opts, rest.WithNotFoundHandler(other))
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

// Server serves one handler on one listener.
type Server struct {
	http  *http.Server
	conns int
}

// NewServer returns a server whose requests are canceled when ctx ends. A nil
// config means plain text. Connections beyond the given number wait to be
// accepted: that is backpressure, and refuses no tier.
func NewServer(ctx context.Context, h http.Handler, c *tls.Config, conns int) *Server {
	return &Server{conns: conns, http: &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           h,
		TLSConfig:         c,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}}
}

// Serve answers requests until Stop. It returns nil after a Stop.
func (s *Server) Serve(n net.Listener) error {
	n = netutil.LimitListener(n, s.conns)
	if s.http.TLSConfig != nil {
		n = tls.NewListener(n, s.http.TLSConfig)
	}
	if err := s.http.Serve(n); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve http: %w", err)
	}
	return nil
}

// Stop takes no new connections and waits for requests in flight until ctx ends,
// when it cuts them and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("stop http: %w", err), s.http.Close())
	}
	return nil
}
