package front

import (
	"errors"
	"log"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"kingcupstand/core/pool"
	"kingcupstand/io/telem"
)

// Bounds of the log.
const (
	// linesPerSecond of one kind are written at most; a busy front has a few tens
	// of requests a second.
	linesPerSecond = 60
	// lineBurst is how many may come at once.
	lineBurst = 120
)

// latencies are the histograms' bounds.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// meter counts and bounds what the front reports.
type meter struct {
	telem    *telem.Telemetry
	revision tally.Gauge
	targets  tally.Gauge
	peers    tally.Gauge
	opened   tally.Gauge
	reused   tally.Gauge
	lost     tally.Counter
	mu       sync.Mutex
	kinds    map[string]*kind
}

// kind bounds the lines of one kind.
type kind struct {
	limiter *rate.Limiter
	dropped int
}

func newMeter(t *telem.Telemetry) *meter {
	return &meter{
		telem:    t,
		revision: t.Scope.Gauge("plan_revision"),
		targets:  t.Scope.Gauge("targets"),
		peers:    t.Scope.Gauge("peers_heard"),
		opened:   t.Scope.Gauge("connections_opened"),
		reused:   t.Scope.Gauge("connections_reused"),
		lost:     t.Scope.Counter("platform_losses"),
		kinds:    map[string]*kind{},
	}
}

// platform reports how old what the platform said is, and the process's memory.
func (m *meter) platform(now time.Duration, s *state) {
	m.telem.Scope.Gauge("target_list_age_seconds").Update(s.list.Age(now).Seconds())
	v := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(v)
	m.telem.Scope.Gauge("memory_bytes").Update(float64(v[0].Value.Uint64()))
}

// load reports what is believed of a service's targets.
func (m *meter) load(service string, l pool.Load, waiting int, retries float64) {
	c := m.telem.Scope.Tagged(map[string]string{"service": service})
	c.Gauge("service_targets").Update(float64(l.Targets))
	c.Gauge("service_targets_usable").Update(float64(l.Usable))
	c.Gauge("service_slots").Update(float64(l.Slots))
	c.Gauge("service_running").Update(float64(l.Running))
	c.Gauge("service_waiting").Update(float64(waiting))
	c.Gauge("service_retries_left").Update(retries)
}

// repeat counts a second send that was wanted.
func (m *meter) repeat(err error, allowed bool) {
	m.telem.Scope.Tagged(map[string]string{"cause": cause(err), "allowed": strconv.FormatBool(allowed)}).Counter("repeats").Inc(1)
}

// cause names the kind of a send's failure.
func cause(err error) string {
	for e, n := range causes {
		if errors.Is(err, e) {
			return n
		}
	}
	return "connection"
}

var causes = map[error]string{
	errNotRun: "not-run", errStalled: "silent", errTarget: "target-failed", errForeign: "foreign-answer",
	errUnsigned: "no-receipt", errPartial: "partial-event", errTimeout: "timeout", errStopped: "stopping",
}

// allow reports whether a line of a kind may be written, and how many of it were
// dropped before.
func (m *meter) allow(name string) (dropped int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		m.kinds[name] = k
	}
	if !k.limiter.Allow() {
		k.dropped++
		return 0, false
	}
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}

// log writes a line of a bounded kind.
func (f *Front) log(kind, message string, pairs ...any) {
	d, ok := f.meter.allow(kind)
	if !ok {
		f.telem.Scope.Tagged(map[string]string{"kind": kind}).Counter("log_lines_dropped").Inc(1)
		return
	}
	if d > 0 {
		pairs = append(pairs, "dropped-before", d)
	}
	f.telem.Log.Info(message, pairs...)
}

// httpLog returns a logger for net/http, whose lines are bounded as well.
func (m *meter) httpLog() *log.Logger { return log.New(&httpLog{m}, "", 0) }

type httpLog struct{ meter *meter }

func (l *httpLog) Write(b []byte) (int, error) {
	if _, ok := l.meter.allow("http"); ok {
		l.meter.telem.Log.Info("http server", "message", strings.TrimSpace(string(b)))
	}
	return len(b), nil
}

// finish reports the request's ending to logs, metrics and the trace.
func (q *request) finish(status int, reason string) {
	f := q.front
	s := f.telem.Scope.Tagged(map[string]string{"rank": strconv.Itoa(q.rank), "status": strconv.Itoa(status), "reason": short(reason)})
	s.Counter("requests").Inc(1)
	t := f.telem.Scope.Tagged(map[string]string{"rank": strconv.Itoa(q.rank)})
	t.Histogram("request_duration", latencies).RecordDuration(time.Since(q.arrived))
	t.Histogram("turn_wait", latencies).RecordDuration(q.note.waited)
	if q.note.first > 0 {
		t.Histogram("first_byte", latencies).RecordDuration(q.note.first)
	}
	if q.out != nil && q.out.gap > 0 {
		t.Histogram("longest_pause", latencies).RecordDuration(q.out.gap)
	}
	var revision uint64
	if q.plan != nil {
		revision = q.plan.Revision()
	}
	name, events, gap := "", 0, time.Duration(0)
	if q.route != nil {
		name = q.route.Name
	}
	if q.out != nil {
		events, gap = q.out.events, q.out.gap
	}
	f.log("request", "request ended", "request-id", q.call.ID, "status", status, "reason", reason, "detail", q.note.reason,
		"route", name, "workspace", q.workspaceName(), "rank", q.rank, "late", q.late, "plan", revision, "service", q.service,
		"targets", q.tried, "wait-ms", q.call.Timeout.Milliseconds(), "prompt", q.call.PromptTokens, "output", q.call.OutputTokens,
		"turn-ms", q.note.waited.Milliseconds(), "ahead", q.note.ahead, "expected-ms", q.note.expected.Milliseconds(),
		"running", q.note.running, "predicted-ms", q.note.predicted.Milliseconds(), "first-ms", q.note.first.Milliseconds(),
		"events", events, "gap-ms", gap.Milliseconds(), "peers", q.note.peers, "took-ms", time.Since(q.arrived).Milliseconds())
}

// short returns the part of a reason that names its kind.
func short(reason string) string {
	s, _, _ := strings.Cut(reason, ":")
	return s
}
