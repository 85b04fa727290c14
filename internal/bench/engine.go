package bench

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// engineSpec holds the parameters of a simulated engine.
type engineSpec struct {
	step    time.Duration // duration of one batch step
	prefill int           // prompt tokens computed per step
	batch   int           // running requests, at most
	cache   int           // size of the prefix cache in tokens
}

// task is a request at an engine.
type task struct {
	r        *request
	cached   int // prompt tokens found in the prefix cache
	computed int // prompt tokens computed
	emitted  int // output tokens
	started  bool
	canceled bool
	// onFirstToken is called with the first token, onEnd at the end of the response. OnToken,
	// if it is set, is called with the number of each token.
	onFirstToken, onEnd func()
	onToken             func(n int)
}

// engine simulates a model engine with continuous batching and a prefix cache. It
// admits tasks in order of arrival and has no priorities.
type engine struct {
	clock    *clock
	spec     engineSpec
	slowdown float64 // factor of the step duration
	crashed  bool
	stepping bool // true while a step is scheduled
	running  []*task
	waiting  []*task
	cache    *simplelru.LRU[uint64, int]
	cached   int // tokens in cache
	// computed, wasted and hits count prompt tokens.
	computed, wasted, hits int
}

func newEngine(c *clock, s engineSpec) *engine {
	e := &engine{clock: c, spec: s, slowdown: 1}
	e.cache, _ = simplelru.NewLRU[uint64, int](1<<20, nil) // fails only for a size of 0
	return e
}

// submit queues a task. A crashed engine ignores it.
func (e *engine) submit(t *task) {
	if e.crashed {
		return
	}
	e.waiting = append(e.waiting, t)
	if !e.stepping {
		e.stepping = true
		e.scheduleStep()
	}
}

func (e *engine) scheduleStep() {
	d := time.Duration(float64(e.spec.step) * e.slowdown)
	e.clock.after(d, e.step)
}

// step runs one batch step: it admits waiting tasks, and then gives each running task
// a share of the step.
func (e *engine) step() {
	if e.crashed {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < e.spec.batch {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !t.canceled {
			e.admit(t)
		}
	}
	left := e.spec.prefill
	var ended []*task
	kept := e.running[:0]
	for _, t := range e.running {
		if t.canceled {
			continue
		}
		left = e.advance(t, left)
		if t.emitted == t.r.output {
			ended = append(ended, t)
			continue
		}
		kept = append(kept, t)
	}
	e.running = kept
	for _, t := range ended {
		t.onEnd()
	}
	if e.stepping = len(e.running)+len(e.waiting) > 0; e.stepping {
		e.scheduleStep()
	}
}

// admit adds a task to the batch and looks up its prefix in the cache.
func (e *engine) admit(t *task) {
	if n, ok := e.cache.Get(t.r.prefix); ok {
		t.cached = min(n, t.r.prompt-1)
		e.hits += t.cached
	}
	e.running = append(e.running, t)
}

// advance runs one step of a task. The task computes at most left prompt tokens, or
// emits one output token if its prompt is complete. The prompt tokens that remain for
// the other tasks of the step are returned.
func (e *engine) advance(t *task, left int) int {
	if need := t.r.prompt - t.cached - t.computed; need > 0 {
		n := min(need, left)
		t.computed += n
		e.computed += n
		left -= n
		if n < need {
			return left
		}
		e.cachePrefix(t)
	}
	t.emitted++
	if !t.started {
		t.started = true
		t.onFirstToken()
	}
	if t.onToken != nil {
		t.onToken(t.emitted)
	}
	return left
}

// cachePrefix adds a task's shared prefix to the cache and evicts the least recently
// used prefixes beyond the cache's size.
func (e *engine) cachePrefix(t *task) {
	if t.r.shared == 0 || e.cache.Contains(t.r.prefix) {
		return
	}
	e.cache.Add(t.r.prefix, t.r.shared)
	e.cached += t.r.shared
	for e.cached > e.spec.cache {
		_, n, ok := e.cache.RemoveOldest()
		if !ok {
			return
		}
		e.cached -= n
	}
}

// cancel removes a task. Its computed prompt tokens count as wasted.
func (e *engine) cancel(t *task) {
	if !t.canceled {
		t.canceled = true
		e.wasted += t.computed
	}
}

// crash stops the engine for good and returns the tasks that were lost.
func (e *engine) crash() []*task {
	e.crashed = true
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	return lost
}
