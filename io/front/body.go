package front

import (
	"errors"
	"net/http"
	"time"

	"kingcupstand/core/memory"
	"kingcupstand/io/intake"
)

// newIntake returns what bounds the callers' connections and bodies by the settings.
func (f *Front) newIntake() *intake.Intake {
	l := intake.Limits{Memory: int64(f.settings.MemoryMib) << 20}
	if d := int(f.settings.Descriptors); d > reservedDescriptors {
		l.Connections = d - reservedDescriptors
	}
	return intake.New(l, f.reportClosed)
}

// reportClosed reports connections that were closed as there were too many.
func (f *Front) reportClosed(r intake.Report) {
	f.meter.callersClosed.Inc(int64(r.Idle))
	f.meter.slowClosed.Inc(int64(r.Slow))
	if r.Idle > 0 {
		f.log("callers", "idle connections of callers closed", "closed", r.Idle, "most", r.Most)
	}
	if r.Slow > 0 {
		f.log("slow-callers", "connections closed whose callers do not send their bodies", "closed", r.Slow, "most", r.Most)
	}
}

// readBody reads the body, up to the limit of the plan, once there is memory for it.
func (q *request) readBody() (status int, reason string, retryAfter time.Duration) {
	limit := q.plan.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	t := intake.Terms{Rank: q.tierRank, Limit: limit, Deadline: q.arrived.Add(q.timeout()), Aborted: q.front.aborted}
	b, err := q.front.intake.Read(q.writer, q.http, t)
	if err == nil {
		q.body = b
		return 0, "", 0
	}
	q.bodyError = err
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return http.StatusRequestEntityTooLarge, "body-too-large", 0
	case errors.Is(err, intake.ErrNoMemory):
		return http.StatusServiceUnavailable, "no-memory", intake.RetryAfter
	case errors.Is(err, intake.ErrSlow):
		return http.StatusServiceUnavailable, "slow-body", intake.RetryAfter
	case errors.Is(err, intake.ErrTimeout):
		return http.StatusRequestTimeout, "body-timeout", intake.RetryAfter
	}
	q.summary.detail = err.Error()
	return http.StatusBadRequest, "body-cut", 0
}

// refuseUnread is refuse for a request whose body may not have been read.
func (q *request) refuseUnread(status int, reason string, retryAfter time.Duration) {
	if q.body != nil {
		q.refuse(status, reason, retryAfter)
		return
	}
	finish := intake.Refuse(q.writer, q.http, q.bodyError)
	q.refuse(status, reason, retryAfter)
	if err := finish(); err != nil {
		q.front.log("unread", "rest of a refused body not read", "request-id", q.call.ID, "error", err.Error())
	}
}

// dropBody returns the memory of the body, which is not sent any more.
func (q *request) dropBody() {
	if q.body != nil {
		q.body.Release()
		q.body = &intake.Body{}
	}
}

// reserveResponse reserves memory for a block of a response that is read before it is forwarded.
func (q *request) reserveResponse(n int) error {
	if !q.front.intake.Account().Reserve(memory.Responses, q.tierRank, int64(n)) {
		return intake.ErrNoMemory
	}
	q.responseBytes.Add(int64(n))
	return nil
}

// releaseMemory returns the memory that the request still holds.
func (q *request) releaseMemory() {
	q.dropBody()
	q.front.intake.Account().Release(memory.Responses, q.responseBytes.Swap(0))
}
