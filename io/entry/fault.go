package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/io/intake"
)

// Headers of the HTTP API.
const (
	headerTier           = "Kingcupstand-Tier"
	headerDeadline       = "Kingcupstand-Deadline-Ms"
	headerIdempotent     = "Kingcupstand-Idempotent"
	headerID             = "Kingcupstand-Request-Id"
	headerRan            = "Kingcupstand-Ran"
	headerOffers         = "Kingcupstand-Offers"
	headerXRequestID     = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// fault is an error response to a caller. Its JSON form is that of chat-completions APIs,
// extended by ran and request_id.
type fault struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Ran tells whether the request ran: the text of a call.Ran.
	Ran       string `json:"ran"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is written as the Retry-After header unless it is 0.
	RetryAfter time.Duration `json:"-"`
	// bodyUnread is true if the body was not read to its end, because of bodyError unless that is nil.
	bodyUnread bool
	bodyError  error
}

// unread returns f for a request whose body was not read to its end, because of err unless that is nil.
func (f *fault) unread(err error) *fault {
	o := *f
	o.bodyUnread, o.bodyError = true, err
	return &o
}

// Types of faults, as clients of chat-completions APIs expect them.
const (
	typeInvalid   = "invalid_request_error"
	typeAuth      = "authentication_error"
	typeDenied    = "permission_error"
	typeRate      = "rate_limit_error"
	typeOverload  = "overloaded_error"
	typeServer    = "server_error"
	typeDuplicate = "conflict_error"
)

// refusal returns the fault of a request that was not offered to any agent, and so did not
// run.
func refusal(status int, kind, code, message string) *fault {
	return &fault{Status: status, Type: kind, Code: code, Message: message, Ran: call.RanNo.String()}
}

// faultTemplate holds the parts of a fault that depend on the reason of the outcome only.
type faultTemplate struct {
	status  int
	kind    string
	message string
}

// faultTemplates maps reasons to templates. Other reasons are reported as 502 Bad Gateway.
var faultTemplates = map[call.Reason]faultTemplate{
	call.ReasonOverload:            {http.StatusServiceUnavailable, typeOverload, "all targets are at their limit"},
	call.ReasonDeadlineUnreachable: {http.StatusGatewayTimeout, typeOverload, "no target can meet the deadline"},
	call.ReasonDeadlinePassed:      {http.StatusGatewayTimeout, typeOverload, "the deadline passed while the request waited"},
	call.ReasonLeaving:             {http.StatusServiceUnavailable, typeOverload, "all targets are leaving"},
	call.ReasonNoTarget:            {http.StatusServiceUnavailable, typeOverload, "no live target serves this"},
	call.ReasonRetryBudget:         {http.StatusServiceUnavailable, typeOverload, "too many targets refused"},
	call.ReasonContractChanged:     {http.StatusForbidden, typeDenied, "the contract in force does not allow this"},
	call.ReasonPreempted:           {http.StatusServiceUnavailable, typeOverload, "the answer was cut to make room for a higher tier"},
	call.ReasonDuplicate:           {http.StatusConflict, typeDuplicate, "this request id was already submitted"},
	call.ReasonMoved:               {http.StatusConflict, typeDuplicate, "this request id was submitted before and moved on with that submission"},
	call.ReasonExpired:             {http.StatusConflict, typeDuplicate, "this request id is too old to tell whether it ran"},
	call.ReasonWrongIncarnation:    {http.StatusConflict, typeDuplicate, "the agent that this request id belongs to was replaced"},
	call.ReasonAgentLost:           {http.StatusBadGateway, typeServer, "the agent of the target could not be reached any more"},
	call.ReasonAnswerCut:           {http.StatusBadGateway, typeServer, "the target's answer ended early"},
	call.ReasonTargetStalled:       {http.StatusGatewayTimeout, typeServer, "the target fell silent"},
	call.ReasonTargetUnreachable:   {http.StatusBadGateway, typeServer, "the target could not be reached"},
	call.ReasonCallerGone:          {http.StatusBadGateway, typeServer, "the caller closed the connection"},
	call.ReasonProcessStopped:      {http.StatusBadGateway, typeServer, "the process was stopped"},
}

// faultFor returns the fault for an outcome without a complete response. Id is the request
// id to report, if any.
func faultFor(e call.Outcome, id call.ID) *fault {
	m, ok := faultTemplates[e.Reason]
	if !ok {
		m = faultTemplate{http.StatusBadGateway, typeServer, "no whole answer"}
	}
	return &fault{
		Status:     m.status,
		Type:       m.kind,
		Code:       string(e.Reason),
		Message:    m.message,
		Ran:        e.Ran.String(),
		RequestID:  string(id),
		RetryAfter: e.RetryAfter,
	}
}

// body returns the JSON form of the fault.
func (f *fault) body() []byte {
	b, _ := json.Marshal(map[string]*fault{"error": f}) // strings only: can't fail
	return b
}

// write sends the fault as the response to q.
func (f *fault) write(w http.ResponseWriter, q *http.Request) {
	if f.bodyUnread {
		finish := intake.Refuse(w, q, f.bodyError)
		defer func() { _ = finish() }() // fails if the caller doesn't send the rest
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRan, f.Ran)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Ran != call.RanNo.String() {
		// Client libraries retry by themselves after some statuses, which could run the
		// request twice.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.body())
}
