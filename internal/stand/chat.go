package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// message is one message of a chat-completions request or response.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat-completions request.
type chatBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

const (
	defaultOutputTokens = 16 // if the request sets no max_tokens
	bytesPerToken       = 4
	maxBodyBytes        = 16 << 20 // of a request to any stand-in
)

// sequence returns a new sequence for the request. All requests with the same model
// and first message share a prefix in the cache.
func (c chatBody) sequence(id string) *sequence {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	s := &sequence{id: id, promptTokens: max(b.Len()/bytesPerToken, 1), outputTokens: c.MaxTokens, contentHash: Fingerprint(b.String())}
	if s.outputTokens <= 0 {
		s.outputTokens = defaultOutputTokens
	}
	if len(c.Messages) > 0 {
		f := c.Messages[0].Content
		s.prefixHash = Fingerprint(c.Model + "\x00" + f)
		s.prefixTokens = len(f) / bytesPerToken
	}
	// The channel has room for the complete output, so that a slow reader does not
	// block the batch.
	s.tokens = make(chan string, s.outputTokens)
	return s
}

// usage is the token count at the end of a response.
type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	PromptTokensDetails cachedDetails `json:"prompt_tokens_details"`
}

// cachedDetails is the part of usage that reports prefix cache hits.
type cachedDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (s *sequence) usage() *usage {
	return &usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    s.emittedTokens,
		PromptTokensDetails: cachedDetails{CachedTokens: s.cachedTokens},
	}
}

// chat serves a chat-completions request.
func (e *Engine) chat(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBodyBytes))
	var c chatBody
	if err == nil {
		err = json.Unmarshal(b, &c)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": map[string]string{"message": err.Error()}})
		return
	}
	s := c.sequence(q.Header.Get("X-Request-Id"))
	e.submit(s)
	complete := false
	defer func() { e.finish(s, complete) }()
	if c.Stream {
		complete = e.stream(w, q, s)
	} else {
		complete = e.respond(w, q, s)
	}
}

// finish records whether the response was complete; an incomplete one cancels the
// sequence.
func (e *Engine) finish(s *sequence, complete bool) {
	if !complete {
		e.cancel(s)
		return
	}
	e.journal.update(func(j *Journal) { j.CompletedByID[s.id]++ })
}

// next returns the next token. more is false at the end of the output, when the
// caller disconnects and when the engine is closed.
func (e *Engine) next(q *http.Request, s *sequence) (t string, more bool) {
	select {
	case <-q.Context().Done():
		return "", false
	case t, more = <-s.tokens:
		return t, more
	}
}

// respond writes the response at once when the output is complete, and reports
// true. If the output ends early, it aborts the connection.
func (e *Engine) respond(w http.ResponseWriter, q *http.Request, s *sequence) bool {
	var b strings.Builder
	n := 0
	for t, more := e.next(q, s); more; t, more = e.next(q, s) {
		b.WriteString(t)
		n++
	}
	if n < s.outputTokens {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id":      s.id,
		"object":  "chat.completion",
		"choices": []any{map[string]any{"index": 0, "message": message{Role: "assistant", Content: b.String()}, "finish_reason": "length"}},
		"usage":   s.usage(),
	})
	return true
}

// stream writes the response token by token and reports whether it is complete. If
// the output ends early, it aborts the connection.
func (e *Engine) stream(w http.ResponseWriter, q *http.Request, s *sequence) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	n := 0
	for t, more := e.next(q, s); more; t, more = e.next(q, s) {
		n++
		c := map[string]any{
			"id":      s.id,
			"object":  "chat.completion.chunk",
			"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": t}}},
		}
		if n == s.outputTokens {
			c["usage"] = s.usage()
		}
		b, _ := json.Marshal(c) // can't fail: strings and numbers only
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return false
		}
		_ = f.Flush()
	}
	if n < s.outputTokens {
		panic(http.ErrAbortHandler)
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}
