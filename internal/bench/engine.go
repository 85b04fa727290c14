package bench

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// spec describes an engine of the bench.
type spec struct {
	step    time.Duration
	prefill int // prompt tokens in a step
	batch   int
	cache   int // tokens
}

// task is a request at an engine.
type task struct {
	r        *request
	hit      int
	computed int
	emitted  int
	first    bool
	gone     bool
	// began is called with the first token, ended at the end of the answer.
	began, ended func()
}

// engine is a model engine with continuous batching and a prefix cache, in
// virtual time. It admits tasks in arrival order and knows no priorities.
type engine struct {
	clock   *clock
	spec    spec
	slow    float64
	dead    bool
	ticking bool
	running []*task
	waiting []*task
	cache   *simplelru.LRU[uint64, int]
	cached  int
	// computed, wasted and hits are prompt tokens.
	computed, wasted, hits int
}

func newEngine(c *clock, s spec) *engine {
	e := &engine{clock: c, spec: s, slow: 1}
	e.cache, _ = simplelru.NewLRU[uint64, int](1<<20, nil) // fails only for a size of 0
	return e
}

// submit gives the engine a task.
func (e *engine) submit(t *task) {
	if e.dead {
		return
	}
	e.waiting = append(e.waiting, t)
	if !e.ticking {
		e.ticking = true
		e.next()
	}
}

func (e *engine) next() {
	d := time.Duration(float64(e.spec.step) * e.slow)
	e.clock.after(d, e.tick)
}

// tick is one step of the batch.
func (e *engine) tick() {
	if e.dead {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < e.spec.batch {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !t.gone {
			e.admit(t)
		}
	}
	left := e.spec.prefill
	var ended []*task
	kept := e.running[:0]
	for _, t := range e.running {
		if t.gone {
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
		t.ended()
	}
	if e.ticking = len(e.running)+len(e.waiting) > 0; e.ticking {
		e.next()
	}
}

// admit looks a task's prefix up.
func (e *engine) admit(t *task) {
	if n, ok := e.cache.Get(t.r.prefix); ok {
		t.hit = min(n, t.r.prompt-1)
		e.hits += t.hit
	}
	e.running = append(e.running, t)
}

// advance gives a task its part of a step and returns the prefill left over.
func (e *engine) advance(t *task, left int) int {
	if need := t.r.prompt - t.hit - t.computed; need > 0 {
		n := min(need, left)
		t.computed += n
		e.computed += n
		left -= n
		if n < need {
			return left
		}
		e.store(t)
	}
	t.emitted++
	if !t.first {
		t.first = true
		t.began()
	}
	return left
}

func (e *engine) store(t *task) {
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

// cancel takes a task out; its prefill is thrown away.
func (e *engine) cancel(t *task) {
	if !t.gone {
		t.gone = true
		e.wasted += t.computed
	}
}

// die loses everything that the engine had.
func (e *engine) die() []*task {
	e.dead = true
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	return lost
}
