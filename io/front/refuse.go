package front

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// fail answers a request that no target has answered.
func (q *request) fail(ctx context.Context, err error, retryAfter time.Duration) {
	if q.stream != nil {
		if q.http.Context().Err() == nil {
			q.front.meter.countCut(q.summary.lastError, err)
		}
		q.abort(fmt.Sprintf("cut: %v", err))
		return
	}
	if q.http.Context().Err() != nil {
		q.abort("caller-left") // a return would send an empty response with status 200
	}
	if q.fallback != nil {
		q.fallback.write(q)
		reason := "target-failed"
		if q.fallback.status < http.StatusMultipleChoices {
			q.whole, reason = true, "answered" // the rest of a stream that no other target has more of
		}
		q.finish(q.fallback.status, reason)
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	s, reason := q.failureStatus(err)
	if s == http.StatusServiceUnavailable {
		q.refund()
		if retryAfter == 0 {
			retryAfter = failedRetry
		}
	}
	q.refuse(s, reason, retryAfter)
}

// failureStatus returns the status and reason for an error. 503 guarantees that the
// request has not run, so it is used only if that is known for every dispatch.
func (q *request) failureStatus(err error) (int, string) {
	reason := "failed"
	switch {
	case errors.Is(err, errTimeout):
		reason = "timeout"
	case errors.Is(err, errMaxWait), errors.Is(err, errOverload):
		reason = "no-capacity"
	case errors.Is(err, errStopped):
		reason = "stopping"
	case errors.Is(err, errDrained):
		reason = "drained"
	case errors.Is(err, errVersionGone):
		reason = "version-gone"
	case errors.Is(err, errIsolated):
		reason = "isolated-part"
	case errors.Is(err, errRequestIsolated):
		reason = "isolated-request"
	}
	if err != nil && q.summary.detail == "" {
		q.summary.detail = err.Error()
	}
	switch {
	case !q.mayHaveRun:
		return http.StatusServiceUnavailable, reason
	case errors.Is(err, errTimeout):
		return http.StatusGatewayTimeout, reason
	default:
		return http.StatusBadGateway, reason
	}
}

// refuse writes a response of the front itself. The header Retry-After is omitted if
// retryAfter is 0, and never shorter.
func (q *request) refuse(status int, reason string, retryAfter time.Duration) {
	h := q.writer.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(retryAfter.Seconds()*100)/100, 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	q.closeIfStopping()
	q.writer.WriteHeader(status)
	fmt.Fprintln(q.writer, reason)
	q.finish(status, reason)
}

// closeIfStopping tells the caller to open a new connection if the front shuts down.
func (q *request) closeIfStopping() {
	if q.front.stopping.Load() {
		q.writer.Header().Set("Connection", "close")
	}
}

// abort breaks the connection of a response that has begun, so that the caller doesn't
// take it for complete. It does not return.
func (q *request) abort(reason string) {
	q.finish(0, reason)
	panic(http.ErrAbortHandler)
}
