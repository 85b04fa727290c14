package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	// Step is the time of one batch step, in which each decoding request gets one
	// token.
	Step time.Duration
	// PrefillPerStep is the most prompt tokens computed in one step.
	PrefillPerStep int
	// Batch is the most requests that run at once; others wait in arrival order.
	Batch int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
}

// Engine is a model engine with continuous batching and a prefix cache. It knows
// no priorities. Close ends its goroutine.
type Engine struct {
	config  EngineConfig
	journal *journal
	mux     *http.ServeMux

	mu      sync.Mutex
	wake    *sync.Cond
	running []*sequence
	waiting []*sequence
	slow    float64
	cache   *simplelru.LRU[uint64, int]
	cached  int
	events  []cacheEvent
	loads   []loadPoint
	closed  bool
	done    chan struct{}
}

// sequence is one request in the engine.
type sequence struct {
	id     string
	prompt int
	prefix uint64
	shared int
	output int
	hash   uint64

	hit      int
	computed int
	emitted  int
	tokens   chan string
	gone     bool
}

// loadPoint is the engine's load at one time.
type loadPoint struct {
	at      time.Time
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// cacheEvent is a change of the prefix cache.
type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// Sizes of an engine's reports.
const (
	maxEvents   = 1000
	maxLoads    = 1000
	cacheBlocks = 1 << 20
	// eventGap is how many cache events there are for each one that is lost.
	eventGap = 10
)

// NewEngine returns a running engine.
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{config: c, journal: newJournal(), slow: 1, done: make(chan struct{}), mux: http.NewServeMux()}
	e.wake = sync.NewCond(&e.mu)
	e.cache, _ = simplelru.NewLRU[uint64, int](cacheBlocks, nil) // fails only for a size of 0
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache-events", e.cacheEvents)
	e.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Journal())
	})
	go e.run()
	return e
}

// Journal returns what the engine ran so far.
func (e *Engine) Journal() Journal { return e.journal.copy() }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) { e.mux.ServeHTTP(w, q) }

// SetSlowdown makes every step take so many times as long, without saying so.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Close ends the engine; its answers are cut.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.wake.Broadcast()
	e.mu.Unlock()
	<-e.done
}

// run computes one step after the other while there is work.
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
			e.endAll()
			e.mu.Unlock()
			return
		}
		d := time.Duration(float64(e.config.Step) * e.slow)
		e.mu.Unlock()
		next = next.Add(d)
		time.Sleep(time.Until(next))
		e.mu.Lock()
		e.step()
		e.mu.Unlock()
	}
}

func (e *Engine) endAll() {
	for _, s := range append(e.running, e.waiting...) {
		close(s.tokens)
	}
	e.running, e.waiting = nil, nil
}

// step admits waiting requests, computes prompt tokens in arrival order and
// gives each request whose prompt is complete its next token.
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
		if s.gone {
			continue
		}
		left = e.advance(s, left)
		if s.emitted < s.output {
			kept = append(kept, s)
			continue
		}
		close(s.tokens)
	}
	e.running = kept
	e.note()
}

// advance gives a request its part of a step and returns the prefill left over.
func (e *Engine) advance(s *sequence, left int) int {
	if need := s.prompt - s.hit - s.computed; need > 0 {
		n := min(need, left)
		s.computed += n
		left -= n
		e.journal.update(func(j *Journal) { j.PrefillTokens += n })
		if n < need {
			return left
		}
		e.store(s)
	}
	t := Token(s.hash, s.emitted)
	s.emitted++
	s.tokens <- t
	e.journal.update(func(j *Journal) { j.OutputTokens++ })
	return left
}

// lookup finds how much of a prompt is cached.
func (e *Engine) lookup(s *sequence) {
	n, ok := e.cache.Get(s.prefix)
	if !ok {
		return
	}
	s.hit = min(n, s.prompt-1)
	e.journal.update(func(j *Journal) { j.CachedTokens += s.hit })
}

// store puts a prompt's prefix into the cache and drops the least recently used
// ones that do not fit any more.
func (e *Engine) store(s *sequence) {
	if e.cache.Contains(s.prefix) {
		return
	}
	e.cache.Add(s.prefix, s.shared)
	e.cached += s.shared
	e.event(s.prefix, true)
	for e.cached > e.config.CacheTokens {
		p, n, ok := e.cache.RemoveOldest()
		if !ok {
			return
		}
		e.cached -= n
		e.event(p, false)
	}
}

func (e *Engine) event(prefix uint64, stored bool) {
	n := 0
	if len(e.events) > 0 {
		n = e.events[len(e.events)-1].Sequence + 1
	}
	e.events = append(e.events, cacheEvent{Sequence: n, Prefix: prefix, Stored: stored})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

func (e *Engine) note() {
	e.loads = append(e.loads, loadPoint{at: time.Now(), Running: len(e.running), Waiting: len(e.waiting)})
	if len(e.loads) > maxLoads {
		e.loads = e.loads[1:]
	}
}

// load reports the load of a while ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := time.Now().Add(-e.config.LoadLag)
	var p loadPoint
	for _, l := range e.loads {
		if l.at.Before(old) {
			p = l
		}
	}
	writeJSON(w, http.StatusOK, p)
}

// cacheEvents reports changes of the cache with gaps.
func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []cacheEvent
	for _, v := range e.events {
		if v.Sequence%eventGap != eventGap-1 {
			l = append(l, v)
		}
	}
	writeJSON(w, http.StatusOK, l)
}

// submit gives a request to the engine.
func (e *Engine) submit(s *sequence) {
	e.journal.ran(s.id, s.hash)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		close(s.tokens)
		return
	}
	e.waiting = append(e.waiting, s)
	e.wake.Signal()
}

// cancel takes a request out. Prefill computed for it counts as thrown away.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.gone = true
	for i, v := range e.waiting {
		if v == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.journal.update(func(j *Journal) { j.WastedTokens += s.computed })
}

// Token returns the n-th token of the answer to a prompt.
func Token(fingerprint uint64, n int) string { return fmt.Sprintf("%x.%d ", fingerprint, n) }

// Fingerprint identifies a prompt in the tokens that answer it.
func Fingerprint(text string) uint64 { return xxhash.Sum64String(text) }
