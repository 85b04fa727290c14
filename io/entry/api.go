package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/rest"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/route"
	"kingcupstand/io/ctrl"
)

// Paths of the callers' interface.
const (
	chatPath     = "/v1/chat/completions"
	modelsPath   = "/v1/models"
	idsPath      = "/v1/request-ids"
	servicesPath = "/services/"
)

// Sizes of requests.
const (
	// defaultBody is the body limit of contracts that set none, in bytes.
	defaultBody = 4 << 20
	// smallBody is the largest body that goes along with an offer, in bytes.
	smallBody = 64 << 10
	// bytesPerToken estimates tokens from text.
	bytesPerToken = 4
	// defaultOutput is the output assumed of requests that set no limit, in tokens.
	defaultOutput = 256
	// serviceTokens is the size that a plain service's call counts as.
	serviceTokens = 1
	// prefixBytes is how much of the first message identifies a shared prefix.
	prefixBytes = 4096
)

func (e *Entry) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: chatPath, Handler: e.handle(e.chat)},
		{Method: http.MethodGet, Path: modelsPath, Handler: e.handle(e.models)},
		{Method: http.MethodPost, Path: idsPath, Handler: e.handle(e.newID)},
	}
}

// other serves plain services, whose paths go-zero's router can't describe.
func (e *Entry) other(w http.ResponseWriter, q *http.Request) {
	if !strings.HasPrefix(q.URL.Path, servicesPath) {
		refuse(http.StatusNotFound, typeInvalid, "unknown-path", "no such path").write(w)
		return
	}
	e.handle(e.service)(w, q)
}

// handler serves an authenticated caller. The fault it returns is written out.
type handler func(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault

// handle authenticates the caller and counts the requests in progress.
func (e *Entry) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		e.inflight.Add(1)
		defer e.inflight.Add(-1)
		k, f := e.authenticate(q)
		if f == nil {
			f = h(w, q, k)
		}
		if f != nil {
			e.telem.Scope.Tagged(map[string]string{"code": f.Code}).Counter("faults").Inc(1)
			f.write(w)
		}
	}
}

func (e *Entry) authenticate(q *http.Request) (conf.Contract, *fault) {
	key, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return conf.Contract{}, refuse(http.StatusUnauthorized, typeAuth, "missing-key", "expected the header Authorization: Bearer KEY")
	}
	if e.node.Config().Revision() == 0 {
		f := refuse(http.StatusServiceUnavailable, typeServer, "no-configuration", "this entry has no configuration yet")
		f.RetryAfter = time.Second
		return conf.Contract{}, f
	}
	k, ok := e.node.Config().Authenticate(key)
	if !ok {
		return conf.Contract{}, refuse(http.StatusUnauthorized, typeAuth, "unknown-key", "no contract has this key")
	}
	return k, nil
}

// models lists the models of the caller's contract.
func (e *Entry) models(w http.ResponseWriter, _ *http.Request, k conf.Contract) *fault {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	ms := []model{}
	for _, m := range k.Models() {
		ms = append(ms, model{ID: m, Object: "model"})
	}
	return writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": ms})
}

// newID makes a request id for a model or service. Nothing is stored: the id
// itself says which agent incarnation may run it, and until when.
func (e *Entry) newID(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault {
	var v struct {
		Model   string `json:"model"`
		Service string `json:"service"`
	}
	if f := e.readJSON(w, q, k, &v); f != nil {
		return f
	}
	if f := allowed(k, v.Model, v.Service); f != nil {
		return f
	}
	id, err := e.mintFor(route.Want{Model: v.Model, Service: v.Service, Rank: 1})
	if err != nil {
		return ended(call.NotRun(call.ReasonNoTarget).WithRetryAfter(time.Second), "")
	}
	w.Header().Set(headerID, string(id))
	return writeJSON(w, http.StatusCreated, map[string]any{
		"request_id": id,
		"expires_in": int(idLife.Seconds()),
	})
}

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

// chatRequest is the part of a chat-completions request that routing needs.
type chatRequest struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
}

// output returns the output tokens to plan for, where the contract allows so many.
func (c chatRequest) output(limit uint32) int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	case limit > 0:
		return min(defaultOutput, int(limit))
	default:
		return defaultOutput
	}
}

// prefix identifies the first message, which requests of one kind share.
func (c chatRequest) prefix(workspace string) uint64 {
	if len(c.Messages) == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "\x00" + c.Model + "\x00")
	m := c.Messages[0]
	_, _ = h.Write(m[:min(len(m), prefixBytes)])
	return h.Sum64()
}

// chat serves a chat completion.
func (e *Entry) chat(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault {
	b, f := e.readBody(w, q, k)
	if f != nil {
		return f
	}
	var c chatRequest
	if err := json.Unmarshal(b, &c); err != nil {
		return refuse(http.StatusBadRequest, typeInvalid, "bad-json", "the body is not a chat-completions request: "+err.Error())
	}
	if f := allowed(k, c.Model, ""); f != nil {
		return f
	}
	if len(c.Messages) == 0 {
		return refuse(http.StatusBadRequest, typeInvalid, "missing-messages", "expected at least one message")
	}
	r, f := e.accept(w, q, k)
	if f != nil {
		return f
	}
	r.body = b
	r.buffered = !c.Stream
	r.want.Model = c.Model
	r.want.Prompt = max(len(b)/bytesPerToken, 1)
	r.want.Output = c.output(k.Limits().OutputTokens)
	r.want.Prefix = c.prefix(k.Workspace())
	r.want.Shared = len(c.Messages[0]) / bytesPerToken
	r.path = chatPath
	if f := sized(k, r.want); f != nil {
		return f
	}
	return e.serveRequest(q, r)
}

// sized checks the contract's token limits.
func sized(k conf.Contract, w route.Want) *fault {
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

// service passes a call on to a plain service.
func (e *Entry) service(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault {
	name, rest, _ := strings.Cut(strings.TrimPrefix(q.URL.EscapedPath(), servicesPath), "/")
	if f := allowed(k, "", name); f != nil {
		return f
	}
	r, f := e.accept(w, q, k)
	if f != nil {
		return f
	}
	r.want.Service = name
	r.want.Prompt = serviceTokens
	r.want.Output = serviceTokens
	r.path = "/" + rest
	if q.URL.RawQuery != "" {
		r.path += "?" + q.URL.RawQuery
	}
	if f := r.setBody(w, q); f != nil {
		return f
	}
	return e.serveRequest(q, r)
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
	d := r.contract.Deadline(r.tier, r.arrived)
	if v := q.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil {
			return refuse(http.StatusBadRequest, typeInvalid, "bad-deadline", headerDeadline+" is not a number of milliseconds")
		}
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	if d <= 0 {
		return refuse(http.StatusGatewayTimeout, typeInvalid, string(call.ReasonDeadline), "the deadline is already past")
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

func (e *Entry) readBody(w http.ResponseWriter, q *http.Request, k conf.Contract) ([]byte, *fault) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, bodyLimit(k)))
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, tooLarge(k)
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, typeInvalid, "body-cut", "the body ended early")
	}
	return b, nil
}

func (e *Entry) readJSON(w http.ResponseWriter, q *http.Request, k conf.Contract, v any) *fault {
	b, f := e.readBody(w, q, k)
	if f != nil {
		return f
	}
	if err := json.Unmarshal(b, v); err != nil {
		return refuse(http.StatusBadRequest, typeInvalid, "bad-json", "the body is not JSON of the expected form: "+err.Error())
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) *fault {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

// serveRequest runs an accepted request to its ending.
func (e *Entry) serveRequest(q *http.Request, r *request) *fault {
	size := r.want.Prompt + r.want.Output
	type grant struct {
		after time.Duration
		ok    bool
	}
	g := ctrl.Ask(e.loop, func(_ time.Duration, s *state) grant {
		after, ok := s.quotas.take(r.contract.Workspace(), r.want.Rank, size, r.arrived)
		return grant{after, ok}
	})
	if !g.ok {
		f := refuse(http.StatusTooManyRequests, typeRate, "rate-limited", "the contract's rate is used up")
		f.RetryAfter = max(g.after, time.Second)
		return f
	}
	return r.run(q.Context())
}
