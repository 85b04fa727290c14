// Package daemon turns the signals of an operator into a planned stop or a reload.
//
// # Usage
//
//	err := sigs.Run(process, 8*time.Second, reload)
package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Process runs until stop is closed and its work is finished, or until ctx ends,
// which cuts what is in flight.
type Process interface {
	Run(ctx context.Context, stop <-chan struct{}) error
}

// Run runs a process. The first SIGTERM or SIGINT starts a planned stop; the
// second one, or the end of the grace period, cuts it short. A grace of 0 leaves
// the end of a stop to the process. SIGHUP calls reload, which may be nil.
func Run(p Process, grace time.Duration, reload func()) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := make(chan os.Signal, 8)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(c)
	s := &stopper{signals: c, stop: make(chan struct{}), cancel: cancel, grace: grace, reload: reload}
	go s.run(ctx)
	return p.Run(ctx, s.stop)
}

// stopper hears the signals.
type stopper struct {
	signals <-chan os.Signal
	stop    chan struct{}
	cancel  context.CancelFunc
	grace   time.Duration
	reload  func()
}

func (s *stopper) run(ctx context.Context) {
	defer s.cancel()
	if !s.next(ctx, nil) {
		return
	}
	close(s.stop)
	var end <-chan time.Time
	if s.grace > 0 {
		end = time.After(s.grace)
	}
	s.next(ctx, end)
}

// next waits for a signal to stop. It reports false if ctx ended first.
func (s *stopper) next(ctx context.Context, end <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-end:
			return true
		case n := <-s.signals:
			if n != syscall.SIGHUP {
				return true
			}
			if s.reload != nil {
				s.reload()
			}
		}
	}
}
