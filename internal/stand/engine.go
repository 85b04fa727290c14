package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// EngineConfig holds the parameters of an Engine.
type EngineConfig struct {
	// Step is the duration of one batch step, in which each decoding request emits
	// one token.
	Step time.Duration
	// PrefillPerStep is the maximum number of prompt tokens computed in one step.
	PrefillPerStep int
	// Batch is the maximum number of requests that run at once. Others wait in
	// arrival order.
	Batch int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
}

// Engine simulates a model engine with continuous batching and a prefix cache. It
// runs requests in arrival order, without priorities.
//
// It serves POST /v1/chat/completions, GET /load (the numbers of running and waiting
// requests), GET /cache-events (changes of the prefix cache) and GET /journal. It is
// safe for concurrent use. Close stops its goroutine.
type Engine struct {
	config  EngineConfig
	journal *journal
	mux     *http.ServeMux

	mu           sync.Mutex
	wake         *sync.Cond
	running      []*sequence
	waiting      []*sequence
	slowdown     float64
	cache        *simplelru.LRU[uint64, int]
	cachedTokens int
	events       []cacheEvent
	loads        []loadPoint
	closed       bool
	done         chan struct{}
}

// sequence is one request in the engine. The fields of the second group change while it
// runs and are written with the engine's mutex held. Its handler reads them after it has
// received the last token.
type sequence struct {
	id           string
	promptTokens int
	prefixHash   uint64
	prefixTokens int
	outputTokens int
	contentHash  uint64

	cachedTokens    int
	prefilledTokens int
	emittedTokens   int
	tokens          chan string
	canceled        bool
}

// loadPoint is the engine's load at one time.
type loadPoint struct {
	at      time.Time
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// cacheEvent reports that a prefix was stored in the cache or evicted from it.
type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// Limits of the cache, of the kept history and of its reports.
const (
	maxEvents   = 1000
	maxLoads    = 1000
	maxPrefixes = 1 << 20
	// One in eventLossInterval cache events is lost: it is never reported.
	eventLossInterval = 10
)

// NewEngine returns an engine and starts its goroutine.
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{config: c, journal: newJournal(), slowdown: 1, done: make(chan struct{}), mux: http.NewServeMux()}
	e.wake = sync.NewCond(&e.mu)
	e.cache, _ = simplelru.NewLRU[uint64, int](maxPrefixes, nil) // fails only if the size is not positive
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache-events", e.cacheEvents)
	e.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Journal())
	})
	go e.run()
	return e
}

// Journal returns a copy of the engine's journal.
func (e *Engine) Journal() Journal { return e.journal.copy() }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) { e.mux.ServeHTTP(w, q) }

// SetSlowdown multiplies the duration of every step by factor. The engine does not report
// the slowdown.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Close stops the engine and waits for its goroutine. Responses in progress are
// truncated.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.wake.Broadcast()
	e.mu.Unlock()
	<-e.done
}

// run performs a step every Step, times the slowdown, while there are requests.
func (e *Engine) run() {
	defer close(e.done)
	next := time.Now()
	for {
		e.mu.Lock()
		for !e.closed && len(e.running)+len(e.waiting) == 0 {
			e.wake.Wait()
			next = time.Now()
		}
		if e.closed {
			e.abortAll()
			e.mu.Unlock()
			return
		}
		d := time.Duration(float64(e.config.Step) * e.slowdown)
		e.mu.Unlock()
		next = next.Add(d)
		time.Sleep(time.Until(next))
		e.mu.Lock()
		e.step()
		e.mu.Unlock()
	}
}

// abortAll ends the output of all requests. e.mu must be held.
func (e *Engine) abortAll() {
	for _, s := range append(e.running, e.waiting...) {
		close(s.tokens)
	}
	e.running, e.waiting = nil, nil
}

// step admits waiting requests to the batch, prefills prompts in arrival order and
// emits one token for each request whose prompt is complete. e.mu must be held.
func (e *Engine) step() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Batch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.lookup(s)
		e.running = append(e.running, s)
	}
	left := e.config.PrefillPerStep
	var kept []*sequence
	for _, s := range e.running {
		if s.canceled {
			continue
		}
		left = e.advance(s, left)
		if s.emittedTokens < s.outputTokens {
			kept = append(kept, s)
			continue
		}
		close(s.tokens)
	}
	e.running = kept
	e.recordLoad()
}

// advance runs one step of one request. left is the number of prompt tokens that may
// still be computed in this step; advance returns what remains of it.
func (e *Engine) advance(s *sequence, left int) int {
	if need := s.promptTokens - s.cachedTokens - s.prefilledTokens; need > 0 {
		n := min(need, left)
		s.prefilledTokens += n
		left -= n
		e.journal.update(func(j *Journal) { j.PrefillTokens += n })
		if n < need {
			return left
		}
		e.store(s)
	}
	t := Token(s.contentHash, s.emittedTokens)
	s.emittedTokens++
	s.tokens <- t
	e.journal.update(func(j *Journal) { j.OutputTokens++ })
	return left
}

// lookup sets how many tokens of a prompt are cached. At least one token of every
// prompt is computed.
func (e *Engine) lookup(s *sequence) {
	n, ok := e.cache.Get(s.prefixHash)
	if !ok {
		return
	}
	s.cachedTokens = min(n, s.promptTokens-1)
	e.journal.update(func(j *Journal) { j.CachedTokens += s.cachedTokens })
}

// store adds a prompt's prefix to the cache and evicts the least recently used
// prefixes while the cache exceeds its capacity.
func (e *Engine) store(s *sequence) {
	if e.cache.Contains(s.prefixHash) {
		return
	}
	e.cache.Add(s.prefixHash, s.prefixTokens)
	e.cachedTokens += s.prefixTokens
	e.recordEvent(s.prefixHash, true)
	for e.cachedTokens > e.config.CacheTokens {
		p, n, ok := e.cache.RemoveOldest()
		if !ok {
			return
		}
		e.cachedTokens -= n
		e.recordEvent(p, false)
	}
}

// recordEvent appends a cache event with the next sequence number.
func (e *Engine) recordEvent(prefix uint64, stored bool) {
	n := 0
	if len(e.events) > 0 {
		n = e.events[len(e.events)-1].Sequence + 1
	}
	e.events = append(e.events, cacheEvent{Sequence: n, Prefix: prefix, Stored: stored})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

// recordLoad appends the current load to the history.
func (e *Engine) recordLoad() {
	e.loads = append(e.loads, loadPoint{at: time.Now(), Running: len(e.running), Waiting: len(e.waiting)})
	if len(e.loads) > maxLoads {
		e.loads = e.loads[1:]
	}
}

// load serves the load as it was LoadLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.config.LoadLag)
	var p loadPoint
	for _, l := range e.loads {
		if l.at.Before(cutoff) {
			p = l
		}
	}
	writeJSON(w, http.StatusOK, p)
}

// cacheEvents serves the recent cache events without the lost ones. Readers can
// detect the gaps by the sequence numbers.
func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []cacheEvent
	for _, v := range e.events {
		if v.Sequence%eventLossInterval != eventLossInterval-1 {
			l = append(l, v)
		}
	}
	writeJSON(w, http.StatusOK, l)
}

// submit records a request and queues it. On a closed engine its output
// ends at once.
func (e *Engine) submit(s *sequence) {
	e.journal.recordRun(s.id, s.contentHash)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		close(s.tokens)
		return
	}
	e.waiting = append(e.waiting, s)
	e.wake.Signal()
}

// cancel removes a request. The prompt tokens computed for it are counted as wasted.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
	for i, v := range e.waiting {
		if v == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.journal.update(func(j *Journal) { j.WastedTokens += s.prefilledTokens })
}

// Token returns the n-th output token, from 0, for the prompt with a fingerprint. Tests
// use it to check that a caller received the output of its own prompt.
func Token(fingerprint uint64, n int) string { return fmt.Sprintf("%x.%d ", fingerprint, n) }

// Fingerprint returns the hash that identifies a prompt or body in output tokens and
// journals.
func Fingerprint(text string) uint64 { return xxhash.Sum64String(text) }
