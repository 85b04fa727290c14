package fleet_test

import (
	"fmt"
	"net/http"
	"testing"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/internal/fleet"
	"kingcupstand/internal/stand"
)

// strictPath is the path of a non-idempotent route that requires a request id.
const strictPath = "/services/intake/strict"

// Kills an agent with one request dispatched and one queued. The entry must not report
// either as not run, and the queued one must not run.
func TestKilledAgentReportsWhetherRequestsRan(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.startService("intake-1", f, 1)
	e := b.startEntry("entry-1")
	b.start(e)
	first := b.sendAsync("GET", e.URL+"/services/intake/x", "first")
	<-f.arrived
	second := b.sendAsync("GET", e.URL+"/services/intake/x", "second")
	b.until("the second request is queued", func() bool { return b.queued(a) == 1 })
	a.Kill()
	b.want("dispatched request", <-first, http.StatusBadGateway, "yes", "agent-lost")
	b.want("queued request", <-second, http.StatusBadGateway, "unknown", "agent-lost")
	if n := f.count("second"); n != 0 {
		t.Errorf("queued request: got %d runs, want 0", n)
	}
}

// queued returns the number of queued requests that an agent reports.
func (b *bench) queued(p *fleet.Process) int {
	return int(b.load(p).GetQueued())
}

// Kills an entry with one non-idempotent call dispatched and one queued. The agent must
// finish the first and report to a resubmission at another entry that it ran; it must drop
// the second, which may then be resubmitted.
func TestKilledEntryLetsDispatchedCallFinishOnce(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.startService("intake-1", f, 1)
	e1, e2 := b.startEntry("entry-1"), b.startEntry("entry-2")
	b.start(e1, e2)
	id := "Kingcupstand-Request-Id: " + b.newID(e1)
	id2 := "Kingcupstand-Request-Id: " + b.newID(e1)
	first := b.sendAsync("POST", e1.URL+strictPath, "crew", id)
	<-f.arrived
	second := b.sendAsync("POST", e1.URL+strictPath, "truck", id2)
	b.until("the second call is queued", func() bool { return b.queued(a) == 1 })
	e1.Kill()
	if r := <-first; r.err == nil && r.ran == "no" {
		t.Errorf("caller of the killed entry: got ran=no for a dispatched call, body %q", r.body)
	}
	<-second
	b.until("the killed entry's queued call is dropped", func() bool { return b.queued(a) == 0 })
	f.proceed <- true
	b.until("the call is finished", func() bool { return b.load(a).GetRunning() == 0 })
	f.mu.Lock()
	if f.finished["crew"] != 1 {
		t.Error("the dispatched call was aborted when its entry was killed")
	}
	f.mu.Unlock()
	b.want("resubmission", b.send("POST", e2.URL+strictPath, "crew", id), http.StatusConflict, "yes", "duplicate-request")
	f.proceed <- true
	if r := b.send("POST", e2.URL+strictPath, "truck", id2); r.status != http.StatusOK {
		t.Errorf("resubmission of the dropped call: got %d %q, want 200", r.status, r.body)
	}
	if n, m := f.count("crew"), f.count("truck"); n != 1 || m != 1 {
		t.Errorf("got %d and %d runs, want 1 each", n, m)
	}
}

// Submits each of several ids at two entries concurrently. Exactly one submission of an id
// may get a 200 response, and its call must run once.
func TestIDSubmittedAtTwoEntriesRunsOnce(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	b.startService("intake-1", f, 8)
	b.startService("intake-2", f, 8)
	e1, e2 := b.startEntry("entry-1"), b.startEntry("entry-2")
	b.start(e1, e2)
	for _, body := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		id := "Kingcupstand-Request-Id: " + b.newID(e1)
		c1 := b.sendAsync("POST", e1.URL+strictPath, body, id)
		c2 := b.sendAsync("POST", e2.URL+strictPath, body, id)
		r1, r2 := <-c1, <-c2
		if n := f.count(body); n != 1 {
			t.Errorf("call %s: got %d runs, want 1", body, n)
		}
		if (r1.status == http.StatusOK) == (r2.status == http.StatusOK) {
			t.Errorf("call %s: got %d and %d, want 200 from exactly one entry", body, r1.status, r2.status)
		}
	}
}

// Submits non-idempotent calls with an idempotency key that the caller made up, and with
// no id. Both must be refused: only an id that an entry issued names the agent that knows
// whether the call ran, so another entry could not check a made-up key.
func TestNonIdempotentCallRequiresIssuedID(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	b.startService("intake-1", f, 8)
	e := b.startEntry("entry-1")
	b.start(e)
	r := b.send("POST", e.URL+"/services/intake/x", "crew", "Idempotency-Key: mine")
	b.want("made-up key", r, http.StatusPreconditionRequired, "no", "request-id-required")
	r = b.send("POST", e.URL+strictPath, "crew")
	b.want("no id", r, http.StatusPreconditionRequired, "no", "request-id-required")
	if n := f.count("crew"); n != 0 {
		t.Errorf("got %d runs, want 0", n)
	}
}

// Resubmits an id after its agent was replaced by another incarnation, while the old agent
// still runs and after it was killed. The new agent does not know whether the call ran and
// must refuse it.
func TestReplacedAgentRefusesOldID(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	old := b.startService("intake-1", f, 8)
	e1 := b.startEntry("entry-1")
	b.start(e1)
	id := "Kingcupstand-Request-Id: " + b.newID(e1)
	if r := b.send("POST", e1.URL+strictPath, "crew", id); r.status != http.StatusOK {
		t.Fatalf("got %d %q, want 200", r.status, r.body)
	}
	b.startService("intake-1", f, 8)
	e2 := b.startEntry("entry-2")
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.start(e2)
	b.want("at the new agent", b.send("POST", e2.URL+strictPath, "crew", id), http.StatusConflict, "unknown", "wrong-incarnation")
	old.Kill()
	b.want("after the old agent was killed", b.send("POST", e2.URL+strictPath, "crew", id), http.StatusConflict, "unknown", "wrong-incarnation")
	if n := f.count("crew"); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}

// Cuts an entry off from the agent that an id belongs to and submits the id during and
// after the partition. The call must not move to another agent.
func TestIDRunsOnceAcrossPartition(t *testing.T) {
	b := newBench(t)
	f1, f2 := newFake(true), newFake(true)
	a1 := b.startService("intake-1", f1, 8)
	e := b.startEntry("entry-1")
	b.start(e)
	id := "Kingcupstand-Request-Id: " + b.newID(e)
	a1.Relay.Cut()
	b.startService("intake-2", f2, 8)
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.until("calls without an id go to the other agent", func() bool {
		return b.send("GET", e.URL+"/services/intake/x", "").status == http.StatusOK
	})
	r := b.send("POST", e.URL+strictPath, "crew", id)
	b.want("cut off", r, http.StatusBadGateway, "unknown", "agent-lost")
	if r.header.Get("Retry-After") == "" {
		t.Error("no Retry-After on a response to a call that a retry can complete")
	}
	a1.Relay.Heal()
	b.until("the call succeeds after the partition is healed", func() bool {
		return b.send("POST", e.URL+strictPath, "crew", id).status == http.StatusOK
	})
	b.want("resubmission after the response", b.send("POST", e.URL+strictPath, "crew", id), http.StatusConflict, "yes", "duplicate-request")
	if n, m := f1.count("crew"), f2.count("crew"); n != 1 || m != 0 {
		t.Errorf("got %d runs at the id's agent and %d elsewhere, want 1 and 0", n, m)
	}
}

// Stops forwarding an agent's traffic in both directions until after the deadline of a
// request.
func TestFrozenAgentTimesOut(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	a := b.startService("intake-1", f, 8)
	e := b.startEntry("entry-1")
	b.start(e)
	a.Relay.Freeze()
	r := b.send("GET", e.URL+"/services/intake/x", "late", "Kingcupstand-Deadline-Ms: 2000")
	b.want("frozen", r, http.StatusGatewayTimeout, "unknown", "deadline-passed")
	a.Relay.Heal()
	b.until("the agent responds again", func() bool {
		return b.send("GET", e.URL+"/services/intake/x", "again").status == http.StatusOK
	})
	if n := f.count("late"); n > 1 {
		t.Errorf("request past its deadline: got %d runs, want at most 1", n)
	}
}

// Shuts an entry down gracefully with a request in flight.
func TestEntryShutdownFinishesRequests(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	b.startService("intake-1", f, 1)
	e := b.startEntry("entry-1")
	b.start(e)
	c := b.sendAsync("POST", e.URL+"/services/intake/x", "crew")
	<-f.arrived
	e.BeginStop()
	b.until("the entry accepts no new connections", func() bool { return b.send("GET", e.URL+"/readyz", "").err != nil })
	f.proceed <- true
	if r := <-c; r.status != http.StatusOK || r.body != "crew" {
		t.Errorf("request in flight: got %d %q %v, want 200 \"crew\"", r.status, r.body, r.err)
	}
	if err := e.Wait(); err != nil {
		t.Errorf("Wait: got %v after a graceful shutdown, want nil", err)
	}
}

// Shuts an agent down gracefully with one request dispatched and one queued: it must finish
// the first, and the second must move to another agent.
func TestAgentShutdownMovesQueuedRequest(t *testing.T) {
	b := newBench(t)
	f1, f2 := newFake(false), newFake(false)
	a1 := b.startService("intake-1", f1, 1)
	b.startService("intake-2", f2, 1)
	e := b.startEntry("entry-1")
	b.start(e)
	first := b.sendAsync("POST", e.URL+strictPath, "first", b.newIDAt(e, "intake-1"))
	<-f1.arrived
	second := b.sendAsync("POST", e.URL+strictPath, "second", b.newIDAt(e, "intake-1"))
	b.until("the second request is queued", func() bool { return b.queued(a1) == 1 })
	a1.BeginStop()
	if got := <-f2.arrived; got != "second" {
		t.Errorf("second agent: got %q, want \"second\"", got)
	}
	f2.proceed <- true
	if r := <-second; r.status != http.StatusOK || r.header.Get("Kingcupstand-Offers") != "2" {
		t.Errorf("queued request: got %d %q after %s offers, want 200 after 2", r.status, r.body, r.header.Get("Kingcupstand-Offers"))
	}
	f1.proceed <- true
	if r := <-first; r.status != http.StatusOK || r.body != "first" {
		t.Errorf("dispatched request: got %d %q %v, want 200 \"first\"", r.status, r.body, r.err)
	}
	if err := a1.Wait(); err != nil {
		t.Errorf("Wait: got %v after a graceful shutdown, want nil", err)
	}
}

// newIDAt returns the header with a new id that belongs to the named agent.
func (b *bench) newIDAt(e *fleet.Process, name string) string {
	b.Helper()
	var id string
	b.until("the entry issues an id of "+name, func() bool {
		id = b.newID(e)
		t, err := call.ParseID(call.ID(id))
		return err == nil && t.Target() == name
	})
	return "Kingcupstand-Request-Id: " + id
}

// Marks an agent as leaving in the instance list while the agent itself keeps running.
func TestLeavingAgentGetsNoNewRequests(t *testing.T) {
	b := newBench(t)
	f1, f2 := newFake(true), newFake(true)
	a1 := b.startService("intake-1", f1, 8)
	b.startService("intake-2", f2, 8)
	e := b.startEntry("entry-1")
	b.start(e)
	a1.MarkLeaving()
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.until("the leaving agent gets no new requests", func() bool {
		before := f1.count("x")
		for range 20 {
			b.send("GET", e.URL+"/services/intake/x", "x")
		}
		return f1.count("x") == before
	})
	before := f1.count("x")
	for range 50 {
		b.send("GET", e.URL+"/services/intake/x", "x")
	}
	if n := f1.count("x") - before; n != 0 {
		t.Errorf("leaving agent: got %d new requests, want 0", n)
	}
}

// Kills an agent during the grace period of its shutdown, as a second signal does. The
// request in flight is aborted and Wait must return an error.
func TestKillDuringShutdownAbortsRequest(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.startService("intake-1", f, 1)
	e := b.startEntry("entry-1")
	b.start(e)
	c := b.sendAsync("GET", e.URL+"/services/intake/x", "crew")
	<-f.arrived
	a.BeginStop()
	b.until("the agent reports that it is leaving", func() bool { return b.load(a).GetLeaving() })
	a.Kill()
	if a.Wait() == nil {
		t.Error("Wait: got nil after a request was aborted, want an error")
	}
	b.want("aborted request", <-c, http.StatusBadGateway, "yes", "agent-lost")
}

// Checks streams of targets that end early or continue after the [DONE] event. The caller
// must get an error event after a stream without its end, and nothing after the end.
func TestStreamWithoutEndIsError(t *testing.T) {
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	for _, c := range []struct {
		name, sent, got string
		complete        bool
	}{
		{"complete", event + "data: [DONE]\n\n", event + "data: [DONE]\n\n", true},
		{"after the end", event + "data: [DONE]\n\n" + event, event + "data: [DONE]\n\n", true},
		{"no end", event, event, false},
		{"half an event", event + "data: {\"cho", event, false},
		{"nothing", "", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			f := newFake(true)
			f.respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write([]byte(c.sent))
			}
			b.startEngine("engine-1", f)
			e := b.startEntry("entry-1")
			b.start(e)
			r := b.send("POST", e.URL+"/v1/chat/completions", body)
			if c.complete {
				if r.err != nil || r.body != c.got {
					t.Errorf("got %q, %v, want %q", r.body, r.err, c.got)
				}
				return
			}
			want := c.got + "event: error\ndata: {\"error\":{\"message\":\"the target's answer ended early\""
			if r.err == nil || len(r.body) < len(want) || r.body[:len(want)] != want {
				t.Errorf("got %q, %v, want a read error after %q", r.body, r.err, want)
			}
		})
	}
}

// Publishes an older document and an empty instance list, takes the platform down, and
// spreads documents between peers. The current revision must never fall, an empty list
// must not remove the instances, and an invalid document must be rejected.
func TestRevisionNeverFallsDuringPlatformOutage(t *testing.T) {
	b := newBench(t)
	a := b.startService("intake-1", newFake(true), 8)
	e := b.startEntry("entry-1")
	b.start(e)
	if err := b.Publish(testDocument(5)); err != nil {
		t.Fatal(err)
	}
	b.until("revision 5 is current", func() bool { return b.revision(e) == 5 && b.revision(a) == 5 })
	old, err := fleet.YAML(testDocument(3))
	if err != nil {
		t.Fatal(err)
	}
	b.Platform.Publish(stand.Configuration, old)
	e2 := b.startEntry("entry-2")
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.until("the new process has its peers' revision", func() bool { return b.revision(e2) == 5 })
	if b.revision(e) != 5 || b.revision(a) != 5 {
		t.Errorf("after a stale read: got revisions %d and %d, want 5", b.revision(e), b.revision(a))
	}
	b.Platform.Publish(stand.InstanceList, []byte("version: 9\ninstances: []"))
	b.until("the log reports the empty instance list", func() bool { return b.logged("instance list doubted") })
	if r := b.send("GET", e.URL+"/services/intake/x", "x"); r.status != http.StatusOK {
		t.Errorf("with an empty instance list: got %d %q %v, want 200", r.status, r.body, r.err)
	}
	b.Platform.SetDown(true)
	six, err := fleet.YAML(testDocument(6))
	if err != nil {
		t.Fatal(err)
	}
	b.pushDocument(a, six, 6)
	b.until("revision 6 spreads without the platform", func() bool { return b.revision(e) == 6 && b.revision(e2) == 6 })
	b.pushDocument(a, []byte("revision: 7\ntiers: []"), 7)
	if r := b.revision(a); r != 6 {
		t.Errorf("after an invalid document: got revision %d, want 6", r)
	}
	b.until("the rejection is logged", func() bool { return b.logged("document rejected") })
	// Three processes watch two values. Each change wakes every watch once, and while
	// the platform is down each watch is retried once a second.
	if n := b.Platform.Reads(); n > 100 {
		t.Errorf("got %d reads of the platform, want at most 100", n)
	}
}

// Closes the port of an agent. The log must tell why its target is avoided.
func TestUnreachableAgentIsLogged(t *testing.T) {
	b := newBench(t)
	a := b.startService("intake-1", newFake(true), 1)
	e := b.startEntry("entry-1")
	b.start(e)
	a.Relay.Close()
	b.until("the log reports the offer", func() bool {
		b.send("GET", e.URL+"/services/intake/x", "")
		return b.logged("offer not sent")
	})
}

// Removes a contract while one of its requests runs and one is queued. The running one is
// completed, the queued one refused.
func TestRemovedContractRefusesQueuedRequest(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.startService("intake-1", f, 1)
	e := b.startEntry("entry-1")
	b.start(e)
	first := b.sendAsync("POST", e.URL+"/services/intake/x", "first")
	<-f.arrived
	second := b.sendAsync("POST", e.URL+"/services/intake/x", "second")
	b.until("the second request is queued", func() bool { return b.queued(a) == 1 })
	d := testDocument(2)
	d.Contracts[0].Workspace = "b"
	d.Contracts[0].KeyHashes = []string{conf.HashKey("another")}
	if err := b.Publish(d); err != nil {
		t.Fatal(err)
	}
	b.want("queued request", <-second, http.StatusForbidden, "no", "contract-changed")
	f.proceed <- true
	if r := <-first; r.status != http.StatusOK {
		t.Errorf("running request: got %d %q, want 200", r.status, r.body)
	}
}

// Publishes documents in quick succession during a burst, each undoing the previous change
// of tier ranks. Every request must run once and get one response, and the last revision
// must become current everywhere.
func TestConfigurationChangesDuringBurst(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	f.arrived = make(chan string, 1000)
	a := b.startService("intake-1", f, 2)
	e := b.startEntry("entry-1")
	b.start(e)
	const calls = 100
	c := make(chan response, calls)
	for i := range calls {
		go func() { c <- b.send("POST", e.URL+"/services/intake/x", fmt.Sprint("call ", i)) }()
		if i%10 == 0 {
			d := testDocument(uint64(2 + i/10))
			if i/10%2 == 0 {
				// Swap the ranks of the tiers; the next revision swaps them back.
				d.Tiers[0].Rank, d.Tiers[1].Rank = 2, 1
			}
			if err := b.Publish(d); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range calls {
		if r := <-c; r.status != http.StatusOK {
			t.Errorf("got %d %q %v, want 200", r.status, r.body, r.err)
		}
	}
	for i := range calls {
		if n := f.count(fmt.Sprint("call ", i)); n != 1 {
			t.Errorf("call %d: got %d runs, want 1", i, n)
		}
	}
	b.until("the last revision is current", func() bool { return b.revision(e) == 11 && b.revision(a) == 11 })
}
