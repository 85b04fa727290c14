// Package telem provides the logs, metrics and traces of a process.
//
// Each log entry is one line of key=value pairs, go-zero's own entries included. Metrics
// are counted with tally and exposed for scraping by Prometheus. Spans are appended to the
// trace file of the settings as JSON. Without a trace file no spans are recorded.
//
// # Usage
//
//	t, err := telem.New(os.Stderr, "entry-1", settings)
//	defer t.Close()
//	t.Log.Info("listening", "address", a)
//	t.Scope.Counter("requests").Inc(1)
//	http.Handle("/metrics", t.MetricsHandler())
//	ctx, span := t.StartSpan(ctx, "offer")
//	defer span.End()
package telem

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"

	"kingcupstand/schema/spec"
)

// Intervals, names and modes. reportInterval is how often tally passes its counts on to the
// page that is scraped. flushTimeout limits how long Close waits for unwritten spans.
const (
	reportInterval = time.Second
	flushTimeout   = 5 * time.Second
	metricPrefix   = "kingcupstand"
	tracerName     = "kingcupstand"
	traceFileMode  = 0o600
)

// Telemetry is the logger, the metrics and the tracer of one process. It is safe for
// concurrent use.
type Telemetry struct {
	Log      logr.Logger
	Scope    tally.Scope
	tracer   trace.Tracer
	reporter tallyprom.Reporter
	closers  []func() error
}

// New returns the telemetry of the named process, which logs to w at the level in s. It
// fails if the trace file can't be opened. The caller must call Close.
func New(w io.Writer, name string, s *spec.Settings) (*Telemetry, error) {
	t := &Telemetry{
		Log:    NewLogger(w, s.GetLogs().GetLevel()).WithValues("process", name),
		tracer: noop.NewTracerProvider().Tracer(tracerName),
	}
	t.initMetrics()
	if f := s.GetTrace().GetFile(); f != "" {
		if err := t.initTraces(f, name); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// NewLogger returns a logger that writes entries of the given level and above to w, as
// lines of key=value pairs. The level is "debug", "info" or "error"; any other value is
// taken as "info".
func NewLogger(w io.Writer, level string) logr.Logger {
	l := slog.LevelInfo
	switch level {
	case "debug":
		l = slog.LevelDebug
	case "error":
		l = slog.LevelError
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}

// initMetrics sets up the scope and the page that is scraped.
func (t *Telemetry) initMetrics() {
	t.reporter = tallyprom.NewReporter(tallyprom.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: func(err error) { t.Log.Error(err, "metric not registered") },
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         metricPrefix,
		CachedReporter: t.reporter,
		Separator:      tallyprom.DefaultSeparator,
		// Tally's metrics about its own cardinality would double the size of the page.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	t.Scope = s
	t.closers = append(t.closers, c.Close)
}

// initTraces sets up a tracer that appends spans to a file.
func (t *Telemetry) initTraces(file, name string) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, traceFileMode)
	if err != nil {
		return fmt.Errorf("trace file: %w", err)
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return errors.Join(fmt.Errorf("trace exporter: %w", err), f.Close())
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(e),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", name))),
	)
	t.tracer = p.Tracer(tracerName)
	t.closers = append(t.closers, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		return errors.Join(p.Shutdown(ctx), f.Close())
	})
	return nil
}

// MetricsHandler returns a handler that serves the metrics in Prometheus's text format.
func (t *Telemetry) MetricsHandler() http.Handler {
	return t.reporter.HTTPHandler()
}

// StartSpan starts a span for one hop of a request. The span in ctx, if any, is its parent.
// The caller must end the span.
func (t *Telemetry) StartSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name)
}

// Close passes the last counts of metrics on and writes the buffered spans, for which it
// waits at most flushTimeout.
func (t *Telemetry) Close() error {
	var errs []error
	for _, c := range t.closers {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}

// traceParentHeader is the header that carries a W3C trace context.
const traceParentHeader = "traceparent"

// Inject returns the W3C trace context of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceParentHeader]
}

// Extract returns ctx with the remote span of the W3C trace context in parent as its span.
// An invalid trace context is ignored.
func Extract(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentHeader: parent})
}
