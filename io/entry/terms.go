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

// allowed checks that a contract covers a model or a service.
func allowed(k conf.Contract, model, service string) *fault {
	switch {
	case model == "" && service == "":
		return refuse(http.StatusBadRequest, typeInvalid, "missing-model", "expected a model")
	case service != "" && !k.AllowsService(service):
		return refuse(http.StatusNotFound, typeInvalid, "unknown-service", fmt.Sprintf("the contract has no service %q", service))
	case service == "" && !k.AllowsModel(model):
		return refuse(http.StatusNotFound, typeInvalid, "unknown-model", fmt.Sprintf("the contract has no model %q", model))
	}
	return nil
}

// sized checks the contract's token limits.
func sized(k conf.Contract, w route.Request) *fault {
	l := k.Limits()
	if l.PromptTokens > 0 && w.Prompt > int(l.PromptTokens) {
		return refuse(http.StatusRequestEntityTooLarge, typeInvalid, "prompt-too-long",
			fmt.Sprintf("the prompt has about %d tokens; the contract allows %d", w.Prompt, l.PromptTokens))
	}
	if l.OutputTokens > 0 && w.Output > int(l.OutputTokens) {
		return refuse(http.StatusBadRequest, typeInvalid, "output-too-long",
			fmt.Sprintf("%d output tokens asked for; the contract allows %d", w.Output, l.OutputTokens))
	}
	return nil
}

// setBody takes a plain service's request body. Small ones go along with the
// offer. net/http notices that a caller has gone only once the body is read, so a
// caller with a large body is missed no earlier than at the dispatch.
func (r *request) setBody(w http.ResponseWriter, q *http.Request) *fault {
	if q.ContentLength < 0 || q.ContentLength > smallBody {
		if q.ContentLength > bodyLimit(r.contract) {
			return tooLarge(r.contract)
		}
		r.stream = http.MaxBytesReader(w, q.Body, bodyLimit(r.contract))
		return nil
	}
	b, f := r.entry.readBody(w, q, r.contract)
	r.body = b
	return f
}

// accept reads the terms of a request from its headers and the contract.
func (e *Entry) accept(w http.ResponseWriter, q *http.Request, k conf.Contract) (*request, *fault) {
	r := &request{entry: e, writer: w, contract: k, method: q.Method, header: q.Header, arrived: time.Now()}
	r.tier = e.tierName(k, q)
	if _, ok := k.Tier(r.tier); !ok {
		return nil, refuse(http.StatusBadRequest, typeInvalid, "unknown-tier", fmt.Sprintf("the contract has no tier %q", r.tier))
	}
	t, _ := e.node.Config().Terms(k.Workspace(), r.tier)
	r.want.Rank, r.want.Wait = t.Rank, t.Wait
	r.want.Workspace = k.Workspace()
	if f := r.setDeadline(q); f != nil {
		return nil, f
	}
	return r, r.setID(q)
}

// tierName returns the tier that a request names, or that its path or its
// contract implies.
func (e *Entry) tierName(k conf.Contract, q *http.Request) string {
	if t := q.Header.Get(headerTier); t != "" {
		return t
	}
	if o, ok := k.Route(q.URL.Path); ok && o.Tier != "" {
		return o.Tier
	}
	return k.DefaultTier()
}

// setDeadline takes the earlier of the contract's and the caller's deadline.
func (r *request) setDeadline(q *http.Request) *fault {
	d := r.contract.Timeout(r.tier, r.arrived)
	if v := q.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil {
			return refuse(http.StatusBadRequest, typeInvalid, "bad-deadline", headerDeadline+" is not a number of milliseconds")
		}
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	if d <= 0 {
		return refuse(http.StatusGatewayTimeout, typeInvalid, string(call.ReasonDeadlinePassed), "the deadline is already past")
	}
	r.deadline = r.arrived.Add(d)
	return nil
}

// setID decides whether the request may be repeated and checks its id. Work that
// must run at most once can't be submitted twice under an id of the caller's own
// making: nobody could tell whether it ran elsewhere. Such a submission is told
// to fetch an id first.
func (r *request) setID(q *http.Request) *fault {
	o, known := r.contract.Route(q.URL.Path)
	r.repeatable = r.isRepeatable(q, known && o.NonIdempotent)
	id := q.Header.Get(headerID)
	own := q.Header.Get(headerOwnKey) != ""
	switch {
	case id != "":
		t, err := call.ParseID(call.ID(id))
		if err != nil {
			return refuse(http.StatusBadRequest, typeInvalid, "bad-request-id", headerID+" was not made by "+idsPath)
		}
		r.id = call.ID(id)
		r.ticket = t
		r.pinned = true
	case !r.repeatable && (own || (known && o.RequireId)):
		return refuse(http.StatusPreconditionRequired, typeInvalid, "request-id-required",
			"this call must not run twice: get an id from POST "+idsPath+" and send it as "+headerID)
	}
	return nil
}

// isRepeatable follows the contract, the caller's word where it is stricter, and
// for plain services the method.
func (r *request) isRepeatable(q *http.Request, nonIdempotent bool) bool {
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

func bodyLimit(k conf.Contract) int64 {
	if n := k.Limits().BodyBytes; n > 0 {
		return int64(n)
	}
	return defaultBody
}

func tooLarge(k conf.Contract) *fault {
	return refuse(http.StatusRequestEntityTooLarge, typeInvalid, "body-too-large",
		fmt.Sprintf("the contract allows bodies of %d bytes", bodyLimit(k)))
}
