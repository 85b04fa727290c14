package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"kingcupstand/core/plan"
	"kingcupstand/core/poison"
	"kingcupstand/core/pool"
	"kingcupstand/io/actor"
	"kingcupstand/io/dial"
	"kingcupstand/schema/spec"
)

// A front that is short of processor time may get a connection after the request's deadline, with
// the context not yet ended. Nothing is sent then.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := &Front{dialer: dial.New(logr.Discard()), loop: actor.New(newState(&spec.Front{RetryWindowMs: 1000}, rand.New(rand.NewPCG(1, 2))))}
	defer f.loop.Stop()
	f.withheldTargets.Store(&map[string]time.Duration{})
	f.isolations.Store(&map[poison.Part]time.Duration{})
	q := &request{front: f, http: &http.Request{}, route: &plan.Route{Kind: plan.Stream, Resumable: true}, deadline: time.Now().Add(-time.Millisecond)}
	e := &exchange{request: q, choice: pool.Choice{ID: "t-1", Address: l.Addr().String()}, ctx: context.Background()}
	v := e.send()
	if v.sent || v.mayHaveRun || !errors.Is(v.err, errTimeout) {
		t.Errorf("got %+v, want nothing sent, as the time is over", v)
	}
	if e.outcome != pool.Neutral {
		t.Errorf("got outcome %v: the target isn't to blame", e.outcome)
	}
	if q.retry(context.Background(), v) {
		t.Error("the request is sent again")
	}
	e.conn.Close()
}

// Guards against a sound target that is suspended because a caller left, or a silent target went on, before
// there was a connection; and against one that can't be reached, whose callers all leave before that is
// known, and is never suspended.
func TestEndBeforeConnectionIsNotTheTargets(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for after, want := range map[time.Duration]pool.Outcome{0: pool.Neutral, 100 * time.Millisecond: pool.Unreachable} {
		for _, cause := range []error{errDisconnected, errSilenceEnded, errTimeout} {
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(cause)
			q := &request{front: &Front{dialer: dial.New(logr.Discard())}, http: &http.Request{}, route: &plan.Route{}}
			e := &exchange{request: q, choice: pool.Choice{ID: "t-1", Address: l.Addr().String()}, ctx: ctx, started: time.Now().Add(-after)}
			if v := e.send(); v.sent || v.err == nil || e.outcome != want {
				t.Errorf("%v after %v: got %+v, outcome %v, want %v", cause, after, v, e.outcome, want)
			}
		}
	}
}
