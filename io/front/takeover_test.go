package front

import (
	"context"
	"testing"

	"kingcupstand/core/event"
)

// A silent target that goes on and breaks off afterwards doesn't hand the request to another
// target that goes on after an earlier event, as the caller would get events twice.
func TestTakeoverAfterProgress(t *testing.T) {
	k := &takeover{at: event.After("5", 1)}
	_, s, ok := k.start(context.Background())
	if !ok {
		t.Fatal("takeover not started")
	}
	k.ask() // the other target is asked for what follows event 5, and has just answered
	if !k.progress() {
		t.Fatal("the silent target may not go on")
	}
	k.forwarded(event.After("6", 1))
	ended := make(chan struct{})
	go func() {
		k.end(true)
		close(ended)
	}()
	for {
		k.mu.Lock()
		done := k.ended
		k.mu.Unlock()
		if done {
			break
		}
	}
	if k.move(s) {
		t.Error("moved to a target that goes on after event 5, though the caller has event 6")
	}
	k.runs.Done()
	<-ended
}
