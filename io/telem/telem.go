// Package telem gives a process its logs, metrics and traces.
//
// # Usage
//
//	t, err := telem.New(os.Stderr, "entry-1", settings)
//	defer t.Close()
//	t.Log.Info("listening", "address", a)
//	t.Scope.Counter("requests").Inc(1)
//	http.Handle("/metrics", t.Handler())
//	ctx, span := t.Start(ctx, "offer")
//	defer span.End()
//
// Logs are one line of key=value pairs for each event, go-zero's own included.
// Metrics are counted with tally and exposed for scraping. Spans are appended to
// the settings' trace file as JSON; without one they cost nothing.
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

// Times and names of this package.
const (
	reportInterval = time.Second
	flushTimeout   = 5 * time.Second
	metricPrefix   = "kingcupstand"
	tracerName     = "kingcupstand"
	traceFileMode  = 0o600
)

// Telemetry is what one process reports. It is safe for concurrent use.
type Telemetry struct {
	Log    logr.Logger
	Scope  tally.Scope
	tracer trace.Tracer
	report tallyprom.Reporter
	closes []func() error
}

// New returns the telemetry of the named process, with log lines written to w.
func New(w io.Writer, name string, s *spec.Settings) (*Telemetry, error) {
	t := &Telemetry{
		Log:    NewLogger(w, s.GetLogs().GetLevel()).WithValues("process", name),
		tracer: noop.NewTracerProvider().Tracer(tracerName),
	}
	t.metrics()
	if f := s.GetTrace().GetFile(); f != "" {
		if err := t.traces(f, name); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// NewLogger returns a logger that writes key=value lines of the given level
// ("debug", "info" or "error") and above to w.
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

func (t *Telemetry) metrics() {
	t.report = tallyprom.NewReporter(tallyprom.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: func(err error) { t.Log.Error(err, "metric not registered") },
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         metricPrefix,
		CachedReporter: t.report,
		Separator:      tallyprom.DefaultSeparator,
		// Tally's own cardinality counters would double the page.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	t.Scope = s
	t.closes = append(t.closes, c.Close)
}

func (t *Telemetry) traces(file, name string) error {
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
	t.closes = append(t.closes, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		return errors.Join(p.Shutdown(ctx), f.Close())
	})
	return nil
}

// MetricsHandler serves the metrics for scraping.
func (t *Telemetry) MetricsHandler() http.Handler {
	return t.report.HTTPHandler()
}

// StartSpan begins a span for one hop of a request.
func (t *Telemetry) StartSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name)
}

// Close writes out what is still buffered.
func (t *Telemetry) Close() error {
	var errs []error
	for _, c := range t.closes {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}

// traceParent is the header of the W3C trace context.
const traceParent = "traceparent"

// Inject returns the W3C trace context of ctx, or "" if it has no span.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceParent]
}

// Extract returns ctx with the remote span that a W3C trace context names.
func Extract(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}
