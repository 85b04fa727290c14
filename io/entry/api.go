package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/rest"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/route"
	"kingcupstand/io/actor"
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
	id, err := e.mintFor(route.Request{Model: v.Model, Service: v.Service, Rank: 1})
	if err != nil {
		return ended(call.NotRun(call.ReasonNoTarget).WithRetryAfter(time.Second), "")
	}
	w.Header().Set(headerID, string(id))
	return writeJSON(w, http.StatusCreated, map[string]any{
		"request_id": id,
		"expires_in": int(call.IDLifetime.Seconds()),
	})
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
	r.want.PrefixTokens = len(c.Messages[0]) / bytesPerToken
	r.path = chatPath
	if f := sized(k, r.want); f != nil {
		return f
	}
	return e.serveRequest(q, r)
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
	g := actor.Ask(e.loop, func(_ time.Duration, s *state) grant {
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
