// Package actor runs the one goroutine of a process that owns its control state.
//
// # Usage
//
//	l := ctrl.New(state)
//	defer l.Stop()
//	l.Post(func(now time.Duration, s *State) { s.Count++ })
//	n := ctrl.Ask(l, func(now time.Duration, s *State) int { return s.Count })
//
// Traffic goroutines never touch the state; they hand functions over. The queue
// of functions is bounded, so that a flood of traffic waits instead of growing.
package actor

import (
	"sync"
	"time"
)

// backlog is the most functions that wait.
const backlog = 1024

// Loop owns a state of type S.
type Loop[S any] struct {
	state S
	start time.Time
	work  chan func(time.Duration, S)
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// New returns a running Loop that owns s. Times count from now.
func New[S any](s S) *Loop[S] {
	l := &Loop[S]{
		state: s,
		start: time.Now(),
		work:  make(chan func(time.Duration, S), backlog),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go l.run()
	return l
}

// run calls the functions one after the other.
func (l *Loop[S]) run() {
	defer close(l.done)
	for {
		select {
		case <-l.quit:
			return
		case f := <-l.work:
			f(l.Now(), l.state)
		}
	}
}

// Now returns the time since the Loop began.
func (l *Loop[S]) Now() time.Duration {
	return time.Since(l.start)
}

// Post hands f over and does not wait for it. It reports false after Stop.
func (l *Loop[S]) Post(f func(time.Duration, S)) bool {
	select {
	case <-l.quit:
		return false
	default:
	}
	select {
	case <-l.quit:
		return false
	case l.work <- f:
		return true
	}
}

// Stop ends the Loop. Functions that have not begun are dropped.
func (l *Loop[S]) Stop() {
	l.once.Do(func() { close(l.quit) })
	<-l.done
}

// Ask hands f over and returns its result, or the zero value after Stop.
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
