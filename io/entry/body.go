package entry

import (
	"errors"
	"net/http"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/memory"
	"kingcupstand/io/intake"
	"kingcupstand/io/link"
	"kingcupstand/schema/wire"
)

// readBody reads the body, up to the contract's limit, once there is memory for it. It must be there by the
// deadline.
func (r *request) readBody(q *http.Request) *fault {
	t := intake.Terms{Rank: r.bodyRank(), Limit: bodyLimit(r.contract), Deadline: r.deadline}
	var err error
	if r.body, err = r.entry.intake.Read(r.writer, q, t); err != nil {
		return r.bodyFault(err)
	}
	return nil
}

// bodyFault is the function bodyFault for a request whose id, if it has one, may have been submitted before.
func (r *request) bodyFault(err error) *fault {
	f := bodyFault(err, r.contract)
	if r.hasID {
		f.Ran, f.RequestID = call.RanUnknown.String(), string(r.id)
	}
	return f
}

// bodyRank returns the rank of the request's body in the account of memory.
func (r *request) bodyRank() int { return int(r.routing.Rank) - 1 }

// bodyFault returns the fault for an error of a body.
func bodyFault(err error, k conf.Contract) *fault {
	var f *fault
	switch {
	case errors.Is(err, intake.ErrTooLong):
		f = tooLarge(k)
	case errors.Is(err, intake.ErrNoMemory):
		f = refusal(http.StatusServiceUnavailable, typeOverload, "no-memory", "there is no room for the body at the moment")
	case errors.Is(err, intake.ErrSlow):
		f = refusal(http.StatusServiceUnavailable, typeOverload, "slow-body", "the body was not sent on, and its room was needed")
	case errors.Is(err, intake.ErrTimeout):
		f = refusal(http.StatusRequestTimeout, typeInvalid, "body-timeout", "the body did not end before the deadline")
	default:
		f = refusal(http.StatusBadRequest, typeInvalid, "body-cut", "the body ended early")
	}
	if f.Status != http.StatusRequestEntityTooLarge && f.Status != http.StatusBadRequest {
		f.RetryAfter = intake.RetryAfter
	}
	return f.unread(err)
}

// bodyFollows reports whether the body is sent once the request is dispatched.
func (r *request) bodyFollows() bool { return r.body.Size() > link.MaxInlineBody }

// inlineBody returns the body that is sent with the offer.
func (r *request) inlineBody() []byte {
	var text []byte
	if !r.bodyFollows() {
		for _, b := range r.body.Blocks() {
			text = append(text, b...)
		}
	}
	return text
}

// runBody sends the body in frames. It can't be sent again after that.
func (a *attempt) runBody() {
	r := a.request
	defer r.body.Release()
	for _, b := range r.body.Blocks() {
		for len(b) > 0 {
			n := min(len(b), bodyChunk)
			if a.wire.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_Body{Body: b[:n]}}) != nil {
				return // the response shows it
			}
			b = b[n:]
		}
	}
	_ = a.wire.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_BodyEnd{BodyEnd: true}}) // as above
}

// reserveResponse reserves memory for n bytes of a response that is buffered. It reports false if there is
// none.
func (r *request) reserveResponse(n int) bool {
	if !r.entry.intake.Account().Reserve(memory.Responses, r.bodyRank(), int64(n)) {
		return false
	}
	r.responseBytes += int64(n)
	return true
}

// releaseResponse returns the memory that the buffered response holds.
func (r *request) releaseResponse() {
	r.entry.intake.Account().Release(memory.Responses, r.responseBytes)
	r.responseBytes = 0
}
