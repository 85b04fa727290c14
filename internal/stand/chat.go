package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is a chat-completions request.
type chatBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Sizes of an engine's answers.
const (
	defaultOutput = 16
	bytesPerToken = 4
	maxBody       = 16 << 20
)

func (c chatBody) sequence(id string) *sequence {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	s := &sequence{id: id, prompt: max(b.Len()/bytesPerToken, 1), output: c.MaxTokens, hash: Fingerprint(b.String())}
	if s.output <= 0 {
		s.output = defaultOutput
	}
	if len(c.Messages) > 0 {
		f := c.Messages[0].Content
		s.prefix = Fingerprint(c.Model + "\x00" + f)
		s.shared = len(f) / bytesPerToken
	}
	// The channel holds the whole answer, so that a slow reader never holds up
	// the batch.
	s.tokens = make(chan string, s.output)
	return s
}

// usage is the token count at the end of an answer.
type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	PromptTokensDetails cachedDetails `json:"prompt_tokens_details"`
}

type cachedDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (s *sequence) usage() *usage {
	return &usage{
		PromptTokens:        s.prompt,
		CompletionTokens:    s.emitted,
		PromptTokensDetails: cachedDetails{CachedTokens: s.hit},
	}
}

// chat answers a chat-completions request.
func (e *Engine) chat(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
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
	whole := false
	defer func() { e.end(s, whole) }()
	if c.Stream {
		whole = e.stream(w, q, s)
	} else {
		whole = e.answer(w, q, s)
	}
}

// end notes how an answer ended.
func (e *Engine) end(s *sequence, whole bool) {
	if !whole {
		e.cancel(s)
		return
	}
	e.journal.update(func(j *Journal) { j.CompletedByID[s.id]++ })
}

// next returns the next token. It reports false at the end of the answer, and
// when the caller or the engine has gone.
func (e *Engine) next(q *http.Request, s *sequence) (t string, more bool) {
	select {
	case <-q.Context().Done():
		return "", false
	case t, more = <-s.tokens:
		return t, more
	}
}

// answer writes the whole answer at once.
func (e *Engine) answer(w http.ResponseWriter, q *http.Request, s *sequence) bool {
	var b strings.Builder
	n := 0
	for t, more := e.next(q, s); more; t, more = e.next(q, s) {
		b.WriteString(t)
		n++
	}
	if n < s.output {
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

// stream writes the answer token by token.
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
		if n == s.output {
			c["usage"] = s.usage()
		}
		b, _ := json.Marshal(c) // strings and numbers only: it can't fail
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return false
		}
		_ = f.Flush()
	}
	if n < s.output {
		panic(http.ErrAbortHandler)
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}
