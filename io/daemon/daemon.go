// Package daemon runs a process and maps an operator's signals to a graceful shutdown or a
// reload.
//
// # Usage
//
//	err := daemon.Run(process, 8*time.Second, reload)
package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Process is a process that the function Run can run.
type Process interface {
	// Run runs the process until it has shut down. When stop is closed it shuts down
	// gracefully: it returns once the requests in flight are finished. When ctx ends it
	// aborts them and returns.
	Run(ctx context.Context, stop <-chan struct{}) error
}

// Run runs p and returns its error. The first SIGTERM or SIGINT starts a graceful
// shutdown. A second one, or the end of the grace period, aborts it by ending the
// context. With a grace of 0 the process itself bounds its shutdown. Each SIGHUP calls
// reload, unless that is nil. The calls are made one at a time, concurrently with p.Run.
func Run(p Process, grace time.Duration, reload func()) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := make(chan os.Signal, 8)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(c)
	h := &handler{signals: c, stop: make(chan struct{}), cancel: cancel, grace: grace, reload: reload}
	go h.run(ctx)
	return p.Run(ctx, h.stop)
}

// handler receives the signals.
type handler struct {
	signals <-chan os.Signal
	stop    chan struct{}
	cancel  context.CancelFunc
	grace   time.Duration
	reload  func()
}

// run closes stop at the first signal to stop, and ends the context at the second one or
// at the end of the grace period.
func (h *handler) run(ctx context.Context) {
	defer h.cancel()
	if !h.awaitStop(ctx, nil) {
		return
	}
	close(h.stop)
	var end <-chan time.Time
	if h.grace > 0 {
		end = time.After(h.grace)
	}
	h.awaitStop(ctx, end)
}

// awaitStop waits for SIGTERM or SIGINT, or for end, and calls reload on each SIGHUP. It
// returns false if ctx ended first.
func (h *handler) awaitStop(ctx context.Context, end <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-end:
			return true
		case n := <-h.signals:
			if n != syscall.SIGHUP {
				return true
			}
			if h.reload != nil {
				h.reload()
			}
		}
	}
}
