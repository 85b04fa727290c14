package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"kingcupstand/internal/stand"
)

// Times of silences, and the shortest time limits of configurations.
const (
	minSilence  = 500 * time.Millisecond
	maxSilence  = 2 * time.Second
	chatTimeout = 3500 * time.Millisecond
	webTimeout  = 800 * time.Millisecond
)

// config is what differs between configurations.
type config struct {
	chatTimeout, webTimeout time.Duration
	attempts                int
	// chat and get name the services of their routes.
	chat, get string
}

// publishConfig stores the configuration with a new version. Every other one differs from the
// first in the time limits, the attempts or the services.
func (h *harness) publishConfig() {
	h.version++
	c := config{4 * time.Second, time.Second, 3, `"service":"llm"`, `"service":"web"`}
	if h.version > 1 {
		switch h.changes.IntN(6) {
		case 0:
			c.chatTimeout, c.webTimeout = chatTimeout, webTimeout
		case 1:
			c.attempts = 2
		case 2:
			// A tenth of the requests is refused, as no replica serves the other service. A
			// request that is sent to a replica already must not be.
			c.chat = `"split":[{"service":"llm","weight":9},{"service":"none","weight":1}]`
			c.get = `"split":[{"service":"web","weight":9},{"service":"none","weight":1}]`
		}
	}
	h.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"chat","host":"soak","prefix":"/chat/","route_kind":"streaming","timeout_ms":%d,"latency_goal_ms":400,"priority":0,%s,"max_attempts":%d,"resumable":true,"gap_goal_ms":300},
		{"name":"get","host":"soak","prefix":"/get/","route_kind":"idempotent","timeout_ms":%d,"latency_goal_ms":100,"priority":1,%s,"max_attempts":2},
		{"name":"do","host":"soak","prefix":"/do/","route_kind":"non_idempotent","timeout_ms":%d,"latency_goal_ms":100,"priority":1,"service":"web","max_attempts":2}],
		"services":[{"name":"llm","max_connections":200,"cold_start_s":%.1f,"cold_per_s":%d,"engine":{"slots":8,"kv_capacity":100000}},{"name":"web","max_connections":200}]}`,
		h.version, c.chatTimeout.Milliseconds(), c.chat, c.attempts, c.webTimeout.Milliseconds(), c.get, c.webTimeout.Milliseconds(), warmUpTime.Seconds(), warmUpRate))
}

// runSilences makes replicas fall silent and answer without framing until end. It returns when
// all go on without faults.
func (h *harness) runSilences(end time.Time) {
	r := rand.New(rand.NewPCG(*seed, 3))
	for time.Now().Before(end) {
		_, a := h.latest(r.IntN(len(versions)))
		d := minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence)))
		event, n := r.IntN(streamEvents), 1+r.IntN(3)
		switch k := r.IntN(20); {
		case k < 6:
			h.silences++
			a.Pause(d)
		case k < 11:
			h.silences++
			if a.Events == 0 {
				event = 0 // a plain response can only wait before its headers
			}
			a.PauseBefore(event, d)
		case k < 14:
			a.Inject(stand.Unframed, n)
		case k < 16:
			a.Inject(stand.UnframedPartial, 1)
		case k < 19:
			a.Inject(stand.UnframedReset, 1)
		default:
			a.Inject(stand.UnframedShort, 1)
		}
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
	}
	for i := range versions {
		_, a := h.latest(i)
		a.Inject(stand.NoFault, 0)
	}
	time.Sleep(maxSilence)
}

// took reports whether a run of the attempt id took one of the faults.
func (h *harness) took(id string, faults ...stand.Fault) bool {
	return slices.ContainsFunc(h.replicas, func(r *replica) bool {
		return slices.ContainsFunc(faults, func(f stand.Fault) bool { return r.Took(id, f) })
	})
}

// endedEarly reports whether a stream may lack events without an error, because its replica ended a
// response without framing between two events, which its front can't know.
func (h *harness) endedEarly(o outcome) bool { return h.took(o.id, stand.UnframedShort) }

// aborted reports whether the response broke off, or there was none.
func (o outcome) aborted() bool { return o.status == 0 || o.status == http.StatusOK && !o.complete }

// abortedFor returns why the response to an attempt may have been aborted, or "".
func (h *harness) abortedFor(o outcome) string {
	w := span{o.sent, o.ended}
	limit := webTimeout
	if strings.HasPrefix(o.path, "/chat/") {
		limit = chatTimeout
	}
	switch {
	case excused(h.disturbed[o.front], w) || excused([]span{{h.began, h.began}}, w):
		return "front"
	case excused(h.cut[0], w):
		return "store"
	case h.took(o.id, stand.UnframedPartial, stand.UnframedReset):
		return "replica"
	case o.ended.Sub(o.sent) >= limit:
		return "time limit"
	}
	for _, r := range h.replicas {
		switch {
		case r.Runs(o.id) == 0:
		case excused(h.cuts(r), w):
			return "relay"
		case !r.crashed.IsZero() && r.crashed.Before(o.ended):
			return "crash"
		}
	}
	return ""
}

// checkAborted checks that no response is aborted by silent replicas or new configurations
// alone.
func (h *harness) checkAborted() {
	reasons := map[string]int{}
	for _, o := range h.outcomes {
		if !o.aborted() {
			continue
		}
		f := h.abortedFor(o)
		reasons[f]++
		if f != "" {
			continue
		}
		h.t.Errorf("%s to %s: aborted without a fault that explains it: got status %d, %d bytes after %v, ran %d times",
			o.id, o.path, o.status, len(o.body), o.ended.Sub(o.sent), h.runs(o.id))
		for _, p := range h.fronts {
			p.showLog(0, o.id)
		}
	}
	unframed := 0
	for _, o := range h.outcomes {
		if h.took(o.id, stand.Unframed, stand.UnframedPartial, stand.UnframedReset, stand.UnframedShort) {
			unframed++
		}
	}
	h.t.Logf("%d silences, %d attempts answered without framing; aborted attempts by reason: %v", h.silences, unframed, reasons)
}
