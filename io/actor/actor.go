// Package actor confines a process's control state to one goroutine. Other goroutines
// never touch the state: they post functions, which the owning goroutine calls one at a
// time in the order in which they were posted. The queue of functions is bounded, so
// that under a flood of traffic the posting goroutines block and memory doesn't grow.
//
// # Usage
//
//	l := actor.New(state)
//	defer l.Stop()
//	l.Post(func(now time.Duration, s *State) { s.Count++ })
//	n := actor.Ask(l, func(now time.Duration, s *State) int { return s.Count })
//
// A posted function must not block: it would delay all others. On its own Loop, Ask and
// Stop deadlock, and so does Post while the queue is full.
package actor

import (
	"sync"
	"time"
)

// queueSize is the capacity of the queue of posted functions.
const queueSize = 1024

// Loop owns a state of type S and calls posted functions with it. It is safe for
// concurrent use.
type Loop[S any] struct {
	state S
	start time.Time
	queue chan func(time.Duration, S)
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// New starts a Loop that owns s. The times that it passes to functions count from this
// call. The caller must call Stop to end the Loop's goroutine.
func New[S any](s S) *Loop[S] {
	l := &Loop[S]{
		state: s,
		start: time.Now(),
		queue: make(chan func(time.Duration, S), queueSize),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go l.run()
	return l
}

// run calls the posted functions until Stop is called.
func (l *Loop[S]) run() {
	defer close(l.done)
	for {
		select {
		case <-l.quit:
			return
		case f := <-l.queue:
			f(l.Now(), l.state)
		}
	}
}

// Now returns the time since New.
func (l *Loop[S]) Now() time.Duration {
	return time.Since(l.start)
}

// Post queues f and returns without waiting for it to be called. It blocks while the
// queue is full. It returns false if the Loop is stopped. A function that was queued
// may still be dropped by Stop.
func (l *Loop[S]) Post(f func(time.Duration, S)) bool {
	select {
	case <-l.quit:
		return false
	default:
	}
	select {
	case <-l.quit:
		return false
	case l.queue <- f:
		return true
	}
}

// Stop ends the Loop and waits for the function that is being called. Functions still in
// the queue are dropped. Stop may be called more than once.
func (l *Loop[S]) Stop() {
	l.once.Do(func() { close(l.quit) })
	<-l.done
}

// Ask posts f, waits for it and returns its result. It returns the zero value if the Loop
// stopped before f was called.
func Ask[S, T any](l *Loop[S], f func(time.Duration, S) T) T {
	c := make(chan T, 1)
	l.Post(func(now time.Duration, s S) { c <- f(now, s) })
	select {
	case v := <-c:
		return v
	case <-l.done:
		var zero T
		return zero
	}
}
