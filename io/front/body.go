package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"kingcupstand/core/memory"
)

const (
	// requestMemory is the part of the process's memory that is for the bodies of requests and for
	// responses that are read before they are forwarded, as a divisor. The heap grows to one and a half
	// times what is in use before it is collected.
	requestMemory = 4
	// bodyWait is how long a front that is short of memory leaves a body unread before it refuses the
	// request, and bodyCheck how often it tries again meanwhile. A body is sent to a target in less.
	bodyWait  = 250 * time.Millisecond
	bodyCheck = 10 * time.Millisecond
	// memoryRetry is the Retry-After of a request that is refused for lack of memory.
	memoryRetry = time.Second
	// unreadTimeout bounds the time for which the rest of a refused body is read and dropped, so that the
	// caller, which may still be sending it, reads the refusal.
	unreadTimeout = 2 * time.Second
)

// errNoMemory means that there is no room for a body.
var errNoMemory = errors.New("no memory for the request body")

// newAccount returns the account of the memory for requests of a process that may use so many MiB; 0 means
// no limit.
func newAccount(mib uint32) *memory.Account { return memory.New(int64(mib) << 20 / requestMemory) }

// readBody reads the body, up to the limit of the plan, once there is memory for it.
func (q *request) readBody(ctx context.Context) (status int, reason string, retryAfter time.Duration) {
	limit := q.plan.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.http.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, "body-too-large", 0
	}
	if q.http.Body == http.NoBody {
		return 0, "", 0
	}
	reserve := func(n int) error { return q.awaitMemory(ctx, int64(n)) }
	if n := q.http.ContentLength; n >= 0 {
		if err := q.awaitMemory(ctx, n); err != nil {
			return q.refuseUnread()
		}
		reserve = func(int) error { return nil }
	}
	b, n, err := readBlocks(io.LimitReader(q.http.Body, limit+1), reserve)
	switch {
	case errors.Is(err, errNoMemory):
		return q.refuseUnread()
	case err != nil:
		q.summary.detail = err.Error()
		return http.StatusBadRequest, "body-cut", 0
	case int64(n) > limit:
		return http.StatusRequestEntityTooLarge, "body-too-large", 0
	}
	q.body = b
	return 0, "", 0
}

// awaitMemory reserves memory for n bytes of the body. Meanwhile the body is left unread, which stops the
// caller from sending more of it.
func (q *request) awaitMemory(ctx context.Context, n int64) error {
	a := q.front.memory
	for end := time.Now().Add(bodyWait); !a.Reserve(memory.Bodies, q.tierRank, n); {
		if ctx.Err() != nil || time.Now().After(end) {
			return errNoMemory
		}
		time.Sleep(bodyCheck)
	}
	q.bodyBytes += n
	return nil
}

// refuseUnread returns the refusal of a request whose body isn't read.
func (q *request) refuseUnread() (status int, reason string, retryAfter time.Duration) {
	q.dropBody()
	q.unread = true
	return http.StatusServiceUnavailable, "no-memory", memoryRetry
}

// answerUnread prepares a refusal before the body is read. The connection ends with it.
func (q *request) answerUnread() {
	q.writer.Header().Set("Connection", "close")
	if err := http.NewResponseController(q.writer).EnableFullDuplex(); err != nil {
		q.front.telem.Log.Error(err, "cannot answer before the body is read", "request-id", q.call.ID)
	}
}

// discardUnread reads and drops the rest of a body after the request was refused.
func (q *request) discardUnread() {
	c := http.NewResponseController(q.writer)
	err := errors.Join(c.Flush(), c.SetReadDeadline(time.Now().Add(unreadTimeout)))
	if err == nil {
		_, err = io.Copy(io.Discard, q.http.Body)
	}
	if err != nil {
		q.front.log("unread", "rest of a refused body not read", "request-id", q.call.ID, "error", err.Error())
	}
}

// dropBody returns the memory of the body, which is not sent any more.
func (q *request) dropBody() {
	q.front.memory.Release(memory.Bodies, q.bodyBytes)
	q.body, q.bodyBytes = nil, 0
}

// reserveResponse reserves memory for a block of a response that is read before it is forwarded.
func (q *request) reserveResponse(n int) error {
	if !q.front.memory.Reserve(memory.Responses, q.tierRank, int64(n)) {
		return errNoMemory
	}
	q.responseBytes.Add(int64(n))
	return nil
}

// releaseMemory returns the memory that the request still holds.
func (q *request) releaseMemory() {
	q.dropBody()
	q.front.memory.Release(memory.Responses, q.responseBytes.Swap(0))
}
