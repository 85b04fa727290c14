package front

import (
	"errors"
	"log"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"kingcupstand/core/event"
	"kingcupstand/core/memory"
	"kingcupstand/core/pool"
	"kingcupstand/io/telem"
)

// latencyBuckets are the bounds of the latency histograms: 5 ms to 10.24 s, doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// meter holds the metrics and limits the rate of log lines. It is safe for concurrent
// use.
type meter struct {
	telem            *telem.Telemetry
	revision         tally.Gauge
	targets          tally.Gauge
	limited          tally.Gauge
	leaving          tally.Gauge
	paused           tally.Gauge
	warming          tally.Gauge
	drained          tally.Gauge
	isolated         tally.Gauge
	isolatedRequests tally.Gauge
	peers            tally.Gauge
	opened           tally.Gauge
	reused           tally.Gauge
	disconnects      tally.Counter
	originsRead      tally.Counter
	outdated         tally.Counter
	callersClosed    tally.Counter
	slowClosed       tally.Counter
	recordsRead      tally.Counter
	heartbeatsNear   tally.Counter
	heartbeatsFar    tally.Counter
	lines            *telem.Lines
}

func newMeter(t *telem.Telemetry) *meter {
	return &meter{
		telem:            t,
		revision:         t.Scope.Gauge("plan_revision"),
		targets:          t.Scope.Gauge("targets"),
		limited:          t.Scope.Gauge("targets_limited"),
		leaving:          t.Scope.Gauge("targets_leaving"),
		paused:           t.Scope.Gauge("targets_paused"),
		warming:          t.Scope.Gauge("targets_warming"),
		drained:          t.Scope.Gauge("data_centres_drained"),
		isolated:         t.Scope.Gauge("prompt_parts_isolated"),
		isolatedRequests: t.Scope.Gauge("requests_isolated"),
		peers:            t.Scope.Gauge("peers_heard"),
		opened:           t.Scope.Gauge("connections_opened"),
		reused:           t.Scope.Gauge("connections_reused"),
		disconnects:      t.Scope.Counter("platform_losses"),
		originsRead:      t.Scope.Counter("stream_origins_read"),
		outdated:         t.Scope.Counter("target_entries_outdated"),
		callersClosed:    t.Scope.Counter("idle_callers_closed"),
		slowClosed:       t.Scope.Counter("slow_callers_closed"),
		recordsRead:      t.Scope.Counter("stream_records_read"),
		heartbeatsNear:   heartbeatBytes(t, "near"),
		heartbeatsFar:    heartbeatBytes(t, "far"),
		lines:            telem.NewLines(),
	}
}

// heartbeatBytes returns the counter of the bytes sent to near or far fronts; see traffic.
func heartbeatBytes(t *telem.Telemetry, peers string) tally.Counter {
	return t.Scope.Tagged(map[string]string{"peers": peers}).Counter("heartbeat_bytes_sent")
}

// recordField exports the size of one part of a heartbeat.
func (m *meter) recordField(name string, bytes int) {
	m.telem.Scope.Tagged(map[string]string{"part": name}).Gauge("heartbeat_part_bytes").Update(float64(bytes))
}

// recordProcess exports the age of the target list, the number of streams whose origin is known
// the memory of the process, and what of it requests hold.
func (m *meter) recordProcess(now time.Duration, s *state, a *memory.Account) {
	m.telem.Scope.Gauge("target_list_age_seconds").Update(s.roster.Age(now).Seconds())
	m.telem.Scope.Gauge("stream_origins").Update(float64(s.origins.Len()))
	for u, n := range memory.Uses {
		m.telem.Scope.Tagged(map[string]string{"use": n}).Gauge("request_memory_bytes").Update(float64(a.Used(memory.Use(u))))
	}
	v := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(v)
	m.telem.Scope.Gauge("memory_bytes").Update(float64(v[0].Value.Uint64()))
}

// recordLoad exports the load of a service.
func (m *meter) recordLoad(service string, l pool.Load, waiting int, retries float64) {
	c := m.telem.Scope.Tagged(map[string]string{"service": service})
	c.Gauge("service_targets").Update(float64(l.Targets))
	c.Gauge("service_targets_usable").Update(float64(l.Usable))
	c.Gauge("service_slots").Update(float64(l.Slots))
	c.Gauge("service_running").Update(float64(l.Running))
	c.Gauge("service_waiting").Update(float64(waiting))
	c.Gauge("service_retries_left").Update(retries)
}

// countRetry counts a retry that was wanted, by the cause of the failure and whether
// the retry budget allowed it.
func (m *meter) countRetry(err error, allowed bool) {
	m.telem.Scope.Tagged(map[string]string{"cause": cause(err), "allowed": strconv.FormatBool(allowed)}).Counter("repeats").Inc(1)
}

// countUnexpected counts a response that can't be attributed to the request, by whether it names
// another one.
func (m *meter) countUnexpected(r Reply) {
	m.telem.Scope.Tagged(map[string]string{"identified": strconv.FormatBool(r.ID != "")}).Counter("responses_unexpected").Inc(1)
}

// countCut counts a stream that was broken off towards its caller, by the error of the last
// dispatch and the reason why no other target went on with it.
func (m *meter) countCut(last, err error) {
	m.telem.Scope.Tagged(map[string]string{"cause": cause(last), "reason": cutReason(err)}).Counter("streams_cut").Inc(1)
}

// cutReason returns the metric label for the reason why no other target went on with a stream.
func cutReason(err error) string {
	for e, n := range cutReasons {
		if errors.Is(err, e) {
			return n
		}
	}
	return "no-retry"
}

// cutReasons maps the reasons why no other target went on with a stream to metric labels.
var cutReasons = map[error]string{
	errMaxWait: "no-slot", errOverload: "no-slot", errVersionGone: "version-gone", errDrained: "drained", errTimeout: "timeout", errStopped: "stopping",
}

// cause returns the metric label for the error of a failed dispatch.
func cause(err error) string {
	for e, n := range causes {
		if errors.Is(err, e) {
			return n
		}
	}
	return "connection"
}

// causes maps the errors of dispatches to metric labels.
var causes = map[error]string{
	errNotRun: "not-run", errStalled: "silent", errServerError: "target-failed", errWrongRequest: "foreign-answer",
	errNoReceipt: "no-receipt", errPartialEvent: "partial-event", errNoEvents: "no-events", errCutOff: "cut-off", errDeclined: "declined", errSilenceEnded: "silence-ended",
	event.ErrOrder: "out-of-order", event.ErrMalformed: "malformed-event", errWithheld: "withheld", errTimeout: "timeout", errStopped: "stopping",
}

// log writes a line subject to the rate limit of its kind.
func (f *Front) log(kind, message string, pairs ...any) {
	d, ok := f.meter.lines.Allow(kind)
	if !ok {
		f.telem.Scope.Tagged(map[string]string{"kind": kind}).Counter("log_lines_dropped").Inc(1)
		return
	}
	if d > 0 {
		pairs = append(pairs, "dropped-before", d)
	}
	f.telem.Log.Info(message, pairs...)
}

// httpLog returns a rate-limited logger for net/http.
func (m *meter) httpLog() *log.Logger { return log.New(&httpLogWriter{m}, "", 0) }

type httpLogWriter struct{ meter *meter }

func (l *httpLogWriter) Write(b []byte) (int, error) {
	if _, ok := l.meter.lines.Allow("http"); ok {
		l.meter.telem.Log.Info("http server error", "message", strings.TrimSpace(string(b)))
	}
	return len(b), nil
}

// finish records the end of the request in the log and the metrics.
func (q *request) finish(status int, reason string) {
	f := q.front
	s := f.telem.Scope.Tagged(map[string]string{"rank": strconv.Itoa(q.tierRank), "status": strconv.Itoa(status), "reason": short(reason)})
	s.Counter("requests").Inc(1)
	t := f.telem.Scope.Tagged(map[string]string{"rank": strconv.Itoa(q.tierRank)})
	t.Histogram("request_duration", latencyBuckets).RecordDuration(time.Since(q.arrived))
	t.Histogram("turn_wait", latencyBuckets).RecordDuration(q.summary.waited)
	if q.summary.firstByte > 0 {
		t.Histogram("first_byte", latencyBuckets).RecordDuration(q.summary.firstByte)
	}
	if q.stream != nil && q.stream.gap > 0 {
		t.Histogram("longest_pause", latencyBuckets).RecordDuration(q.stream.gap)
	}
	if q.route != nil && q.resumes() {
		f.telem.Scope.Tagged(map[string]string{"origin": string(q.basis), "status": strconv.Itoa(status), "reason": short(reason)}).Counter("streams_resumed").Inc(1)
	}
	var revision uint64
	if q.plan != nil {
		revision = q.plan.Revision()
	}
	name, events, gap := "", 0, time.Duration(0)
	if q.route != nil {
		name = q.route.Name
	}
	if q.stream != nil {
		events, gap = q.stream.events, q.stream.gap
	}
	f.log("request", "request ended", "request-id", q.call.ID, "status", status, "reason", reason, "detail", q.summary.detail,
		"last-error", errorText(q.summary.lastError), "route", name, "workspace", q.workspaceName(), "rank", q.tierRank, "late", q.late, "over-share", q.summary.overShare,
		"plan", revision, "plan-at-end", f.plan.Load().Revision(), "service", q.service,
		"targets", q.tried, "resumes", q.call.FirstAttempt, "wait-ms", q.call.Timeout.Milliseconds(), "prompt", q.call.PromptTokens, "output", q.call.OutputTokens,
		"hint", q.call.OutputHint, "expected-hold-ms", q.expectedHold.Milliseconds(), "turn-ms", q.summary.waited.Milliseconds(), "ahead", q.summary.ahead, "expected-ms", q.summary.expected.Milliseconds(),
		"running", q.summary.running, "predicted-ms", q.summary.predicted.Milliseconds(), "first-ms", q.summary.firstByte.Milliseconds(),
		"events", events, "gap-ms", gap.Milliseconds(), "peers", q.summary.peers, "took-ms", time.Since(q.arrived).Milliseconds())
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// short returns the part of a reason before its detail, as a metric label.
func short(reason string) string {
	s, _, _ := strings.Cut(reason, ":")
	return s
}
