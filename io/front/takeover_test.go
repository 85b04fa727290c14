package front

import (
	"context"
	"runtime"
	"testing"

	"kingcupstand/core/event"
)

// A silent target that goes on and breaks off afterwards doesn't hand the request to another
// target that goes on after an earlier event, as the caller would get events twice.
func TestTakeoverAfterProgress(t *testing.T) {
	k := &takeover{at: event.After("5", 1)}
	ctx, s, ok := k.start(context.Background())
	if !ok || !k.ask(ctx) {
		t.Fatal("takeover not started")
	}
	// the other target is asked for what follows event 5, and has just answered
	if !k.progress() {
		t.Fatal("the silent target may not go on")
	}
	k.forwarded(event.After("6", 1))
	ended := make(chan struct{})
	go func() {
		k.end(true)
		close(ended)
	}()
	for !k.hasEnded() {
		runtime.Gosched()
	}
	if k.move(s) {
		t.Error("moved to a target that goes on after event 5, though the caller has event 6")
	}
	k.runs.Done()
	<-ended
}

// Guards against requests that end with an error, as their last attempt went to a target that was left
// at once: a silent target had failed just before another one was asked.
func TestSilentTargetFailsBeforeAnotherIsAsked(t *testing.T) {
	for name, failed := range map[string]bool{"failed": true, "answered": false} {
		t.Run(name, func(t *testing.T) {
			k := &takeover{}
			ctx, s, ok := k.start(context.Background())
			if !ok {
				t.Fatal("takeover not started")
			}
			ended := make(chan struct{})
			go func() {
				k.end(failed)
				close(ended)
			}()
			for !k.hasEnded() {
				runtime.Gosched()
			}
			if k.ask(ctx) || k.move(s) {
				t.Error("another target is asked, or the request moved there")
			}
			k.runs.Done()
			<-ended
		})
	}
	t.Run("went on", func(t *testing.T) {
		k := &takeover{}
		ctx, _, _ := k.start(context.Background())
		k.progress()
		if k.ask(ctx) {
			t.Error("another target is asked")
		}
	})
}
