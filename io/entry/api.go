package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/rest"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/route"
	"kingcupstand/io/actor"
	"kingcupstand/io/intake"
)

// Paths of the HTTP API.
const (
	chatPath     = "/v1/chat/completions"
	modelsPath   = "/v1/models"
	idsPath      = "/v1/request-ids"
	servicesPath = "/services/"
)

// Limits and estimates of the size of requests.
const (
	// defaultBodyLimit is the body limit of contracts that set none, in bytes.
	defaultBodyLimit = 4 << 20
	// bytesPerToken is used to estimate the number of tokens of a text.
	bytesPerToken = 4
	// defaultOutputTokens is the assumed output of requests that set no limit, in tokens.
	defaultOutputTokens = 256
	// serviceTokens is the prompt size and the output size that a call of a plain service
	// counts as, in tokens.
	serviceTokens = 1
	// prefixBytes is how much of the first message identifies a shared prefix, in bytes.
	prefixBytes = 4096
	// idBodyTimeout is the time for the body of a request for an id.
	idBodyTimeout = 10 * time.Second
)

// routes returns the routes of the HTTP API, except those of plain services.
func (e *Entry) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: chatPath, Handler: e.handle(e.chat)},
		{Method: http.MethodGet, Path: modelsPath, Handler: e.handle(e.models)},
		{Method: http.MethodPost, Path: idsPath, Handler: e.handle(e.newID)},
	}
}

// fallback handles the requests that match no route: calls of plain services, whose paths
// go-zero's router can't describe.
func (e *Entry) fallback(w http.ResponseWriter, q *http.Request) {
	if !strings.HasPrefix(q.URL.Path, servicesPath) {
		refusal(http.StatusNotFound, typeInvalid, "unknown-path", "no such path").unread(nil).write(w, q)
		return
	}
	e.handle(e.service)(w, q)
}

// handler handles a request of an authenticated caller under contract k. If it returns a
// fault, it has written no response, and the fault is written instead.
type handler func(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault

// handle wraps h: it authenticates the caller, counts the requests in flight, and counts
// and writes faults.
func (e *Entry) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		e.inflight.Add(1)
		defer e.inflight.Add(-1)
		k, f := e.authenticate(q)
		if f == nil {
			f = h(w, q, k)
		} else {
			f = f.unread(nil)
		}
		if f != nil {
			e.telem.Scope.Tagged(map[string]string{"code": f.Code}).Counter("faults").Inc(1)
			f.write(w, q)
		}
	}
}

// authenticate looks up the contract by the API key in the Authorization header.
func (e *Entry) authenticate(q *http.Request) (conf.Contract, *fault) {
	key, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return conf.Contract{}, refusal(http.StatusUnauthorized, typeAuth, "missing-key", "expected the header Authorization: Bearer KEY")
	}
	if e.node.Config().Revision() == 0 {
		f := refusal(http.StatusServiceUnavailable, typeServer, "no-configuration", "this entry has no configuration yet")
		f.RetryAfter = time.Second
		return conf.Contract{}, f
	}
	k, ok := e.node.Config().Authenticate(key)
	if !ok {
		return conf.Contract{}, refusal(http.StatusUnauthorized, typeAuth, "unknown-key", "no contract has this key")
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

// newID returns a new request id for a model or service. Nothing is stored: the id itself
// names the agent incarnation that may run it, and its expiry.
func (e *Entry) newID(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault {
	var v struct {
		Model   string `json:"model"`
		Service string `json:"service"`
	}
	t, _ := e.node.Config().Terms(k.Workspace(), e.tierName(k, q))
	if f := e.readJSON(w, q, k, t.Rank, &v); f != nil {
		return f
	}
	if f := checkAllowed(k, v.Model, v.Service); f != nil {
		return f
	}
	id, err := e.mintFor(route.Request{Model: v.Model, Service: v.Service, Rank: 1})
	if err != nil {
		return faultFor(call.NotRun(call.ReasonNoTarget).WithRetryAfter(time.Second), "")
	}
	w.Header().Set(headerID, string(id))
	return writeJSON(w, http.StatusCreated, map[string]any{
		"request_id": id,
		"expires_in": int(call.IDLifetime.Seconds()),
	})
}

// chatRequest is the part of a chat-completions request that routing needs.
type chatRequest struct {
	Model               string    `json:"model"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Messages            []message `json:"messages"`
}

// message is the size in bytes and the first prefixBytes of a message. The rest is in the
// body, which is sent on as it is.
type message struct {
	size int
	head []byte
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *message) UnmarshalJSON(b []byte) error {
	m.size, m.head = len(b), bytes.Clone(b[:min(len(b), prefixBytes)])
	return nil
}

// output returns the expected number of output tokens: the request's own limit or, if it
// sets none, defaultOutputTokens or the contract's limit, whichever is lower. A contract's
// limit of 0 means none.
func (c chatRequest) output(limit uint32) int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	case limit > 0:
		return min(defaultOutputTokens, int(limit))
	default:
		return defaultOutputTokens
	}
}

// prefix returns a hash of the workspace, the model and the first prefixBytes of the first
// message, or 0 if there is no message. Requests of one kind share their first message, so
// a target that ran one of them may have it in its prefix cache. Different workspaces don't
// share prefixes.
func (c chatRequest) prefix(workspace string) uint64 {
	if len(c.Messages) == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "\x00" + c.Model + "\x00")
	_, _ = h.Write(c.Messages[0].head)
	return h.Sum64()
}

// chat handles a chat completion.
func (e *Entry) chat(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault {
	r, f := e.newRequest(w, q, k)
	if f != nil {
		return f.unread(nil)
	}
	if f := r.readBody(q); f != nil {
		return f
	}
	defer r.body.Release()
	text, err := r.body.Join(r.bodyRank())
	if err != nil {
		return r.bodyFault(err)
	}
	var c chatRequest
	if err := json.Unmarshal(text, &c); err != nil {
		return refusal(http.StatusBadRequest, typeInvalid, "bad-json", "the body is not a chat-completions request: "+err.Error())
	}
	if f := checkAllowed(k, c.Model, ""); f != nil {
		return f
	}
	if len(c.Messages) == 0 {
		return refusal(http.StatusBadRequest, typeInvalid, "missing-messages", "expected at least one message")
	}
	r.buffered = !c.Stream
	r.routing.Model = c.Model
	r.routing.Prompt = max(r.body.Size()/bytesPerToken, 1)
	r.routing.Output = c.output(k.Limits().OutputTokens)
	r.routing.Prefix = c.prefix(k.Workspace())
	r.routing.PrefixTokens = c.Messages[0].size / bytesPerToken
	r.path = chatPath
	if f := checkSize(k, r.routing); f != nil {
		return f
	}
	return e.serveRequest(q, r)
}

// service handles a call of a plain service.
func (e *Entry) service(w http.ResponseWriter, q *http.Request, k conf.Contract) *fault {
	name, rest, _ := strings.Cut(strings.TrimPrefix(q.URL.EscapedPath(), servicesPath), "/")
	if f := checkAllowed(k, "", name); f != nil {
		return f.unread(nil)
	}
	r, f := e.newRequest(w, q, k)
	if f != nil {
		return f.unread(nil)
	}
	r.routing.Service = name
	r.routing.Prompt = serviceTokens
	r.routing.Output = serviceTokens
	r.path = "/" + rest
	if q.URL.RawQuery != "" {
		r.path += "?" + q.URL.RawQuery
	}
	if f := r.readBody(q); f != nil {
		return f
	}
	defer r.body.Release()
	return e.serveRequest(q, r)
}

// readJSON reads the body and decodes it into v.
func (e *Entry) readJSON(w http.ResponseWriter, q *http.Request, k conf.Contract, rank call.Rank, v any) *fault {
	t := intake.Terms{Rank: int(rank) - 1, Limit: bodyLimit(k), Deadline: time.Now().Add(idBodyTimeout)}
	b, err := e.intake.Read(w, q, t)
	if err != nil {
		return bodyFault(err, k)
	}
	defer b.Release()
	text, err := b.Join(t.Rank)
	if err != nil {
		return bodyFault(err, k)
	}
	if err := json.Unmarshal(text, v); err != nil {
		return refusal(http.StatusBadRequest, typeInvalid, "bad-json", "the body is not JSON of the expected form: "+err.Error())
	}
	return nil
}

// writeJSON writes v as the response. It always returns nil.
func writeJSON(w http.ResponseWriter, status int, v any) *fault {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

// serveRequest charges the request to the workspace's quota and runs it to its outcome.
func (e *Entry) serveRequest(q *http.Request, r *request) *fault {
	size := r.routing.Prompt + r.routing.Output
	type grant struct {
		after time.Duration
		ok    bool
	}
	g := actor.Ask(e.loop, func(_ time.Duration, s *state) grant {
		after, ok := s.quotas.take(r.contract.Workspace(), r.routing.Rank, size, r.arrived)
		return grant{after, ok}
	})
	if !g.ok {
		f := refusal(http.StatusTooManyRequests, typeRate, "rate-limited", "the contract's rate is used up")
		f.RetryAfter = max(g.after, time.Second)
		return f
	}
	return r.run(q.Context())
}
