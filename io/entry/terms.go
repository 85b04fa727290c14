package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/route"
)

// checkAllowed returns a fault unless the contract allows the service, or the model if
// service is empty.
func checkAllowed(k conf.Contract, model, service string) *fault {
	switch {
	case model == "" && service == "":
		return refusal(http.StatusBadRequest, typeInvalid, "missing-model", "expected a model")
	case service != "" && !k.AllowsService(service):
		return refusal(http.StatusNotFound, typeInvalid, "unknown-service", fmt.Sprintf("the contract has no service %q", service))
	case service == "" && !k.AllowsModel(model):
		return refusal(http.StatusNotFound, typeInvalid, "unknown-model", fmt.Sprintf("the contract has no model %q", model))
	}
	return nil
}

// checkSize returns a fault if the request exceeds the contract's token limits.
func checkSize(k conf.Contract, w route.Request) *fault {
	l := k.Limits()
	if l.PromptTokens > 0 && w.Prompt > int(l.PromptTokens) {
		return refusal(http.StatusRequestEntityTooLarge, typeInvalid, "prompt-too-long",
			fmt.Sprintf("the prompt has about %d tokens; the contract allows %d", w.Prompt, l.PromptTokens))
	}
	if l.OutputTokens > 0 && w.Output > int(l.OutputTokens) {
		return refusal(http.StatusBadRequest, typeInvalid, "output-too-long",
			fmt.Sprintf("%d output tokens asked for; the contract allows %d", w.Output, l.OutputTokens))
	}
	return nil
}

// newRequest returns a request whose tier, deadline and id are set from its headers and the
// contract.
func (e *Entry) newRequest(w http.ResponseWriter, q *http.Request, k conf.Contract) (*request, *fault) {
	r := &request{entry: e, writer: w, contract: k, method: q.Method, header: q.Header, arrived: time.Now()}
	r.tier = e.tierName(k, q)
	if _, ok := k.Tier(r.tier); !ok {
		return nil, refusal(http.StatusBadRequest, typeInvalid, "unknown-tier", fmt.Sprintf("the contract has no tier %q", r.tier))
	}
	t, _ := e.node.Config().Terms(k.Workspace(), r.tier)
	r.routing.Rank, r.routing.Wait = t.Rank, t.Wait
	r.routing.Workspace = k.Workspace()
	if f := r.setDeadline(q); f != nil {
		return nil, f
	}
	return r, r.setID(q)
}

// tierName returns the name of the request's tier: from its header, else from the
// contract's route for the path, else the contract's default.
func (e *Entry) tierName(k conf.Contract, q *http.Request) string {
	if t := q.Header.Get(headerTier); t != "" {
		return t
	}
	if o, ok := k.Route(q.URL.Path); ok && o.Tier != "" {
		return o.Tier
	}
	return k.DefaultTier()
}

// setDeadline sets the deadline: the earlier one of the contract's and the caller's.
func (r *request) setDeadline(q *http.Request) *fault {
	d := r.contract.Timeout(r.tier, r.arrived)
	if v := q.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil {
			return refusal(http.StatusBadRequest, typeInvalid, "bad-deadline", headerDeadline+" is not a number of milliseconds")
		}
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	if d <= 0 {
		return refusal(http.StatusGatewayTimeout, typeInvalid, string(call.ReasonDeadlinePassed), "the deadline is already past")
	}
	r.deadline = r.arrived.Add(d)
	return nil
}

// setID determines whether the request is idempotent and checks its id. A non-idempotent
// request with an Idempotency-Key, or on a route that requires an id, needs an id made by
// the system. An id that the caller made does not name an agent, so the system could not
// determine whether an earlier submission ran. Such a request is refused, and the fault
// tells how to get an id.
func (r *request) setID(q *http.Request) *fault {
	o, known := r.contract.Route(q.URL.Path)
	r.idempotent = r.isIdempotent(q, known && o.NonIdempotent)
	id := q.Header.Get(headerID)
	hasKey := q.Header.Get(headerIdempotencyKey) != ""
	switch {
	case id != "":
		t, err := call.ParseID(call.ID(id))
		if err != nil {
			return refusal(http.StatusBadRequest, typeInvalid, "bad-request-id", headerID+" was not made by "+idsPath)
		}
		r.id = call.ID(id)
		r.ticket = t
		r.hasID = true
	case !r.idempotent && (hasKey || (known && o.RequireId)):
		return refusal(http.StatusPreconditionRequired, typeInvalid, "request-id-required",
			"this call must not run twice: get an id from POST "+idsPath+" and send it as "+headerID)
	}
	return nil
}

// isIdempotent reports whether the request may run more than once. The contract and the
// caller's header can forbid it, but the header can't allow it. Otherwise chat completions
// may, and plain services' calls unless the method is POST or PATCH.
func (r *request) isIdempotent(q *http.Request, nonIdempotent bool) bool {
	if nonIdempotent || strings.EqualFold(q.Header.Get(headerIdempotent), "false") {
		return false
	}
	if q.URL.Path == chatPath {
		return true
	}
	switch q.Method {
	case http.MethodPost, http.MethodPatch:
		return false
	default:
		return true
	}
}

// bodyLimit returns the largest body that the contract allows, in bytes.
func bodyLimit(k conf.Contract) int64 {
	if n := k.Limits().BodyBytes; n > 0 {
		return int64(n)
	}
	return defaultBodyLimit
}

// tooLarge returns the fault for a body beyond the limit of the contract.
func tooLarge(k conf.Contract) *fault {
	return refusal(http.StatusRequestEntityTooLarge, typeInvalid, "body-too-large",
		fmt.Sprintf("the contract allows bodies of %d bytes", bodyLimit(k)))
}
