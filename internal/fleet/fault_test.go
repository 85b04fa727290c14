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

const strict = "/services/intake/strict"

// TestAgentKilled kills an agent with one request dispatched and one queued.
func TestAgentKilled(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.service("intake-1", f, 1)
	e := b.entry("entry-1")
	b.begin(e)
	first := b.async("GET", e.URL+"/services/intake/x", "first")
	<-f.came
	second := b.async("GET", e.URL+"/services/intake/x", "second")
	b.until("the second request is queued", func() bool { return b.queued(a) == 1 })
	a.Kill()
	b.want("dispatched request", <-first, http.StatusBadGateway, "yes", "agent-lost")
	b.want("queued request", <-second, http.StatusBadGateway, "unknown", "agent-lost")
	if n := f.count("second"); n != 0 {
		t.Errorf("the queued request ran %d times", n)
	}
}

// queued returns how many requests an agent holds, by its own report.
func (b *bench) queued(p *fleet.Process) int {
	return int(b.load(p).GetQueued())
}

// TestEntryKilled kills an entry with a call in flight that must not run twice.
// The call is finished, and a resubmission at another entry is told that it ran.
func TestEntryKilled(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.service("intake-1", f, 1)
	e1, e2 := b.entry("entry-1"), b.entry("entry-2")
	b.begin(e1, e2)
	id := "Kingcupstand-Request-Id: " + b.newID(e1)
	id2 := "Kingcupstand-Request-Id: " + b.newID(e1)
	first := b.async("POST", e1.URL+strict, "crew", id)
	<-f.came
	second := b.async("POST", e1.URL+strict, "truck", id2)
	b.until("the second call is queued", func() bool { return b.queued(a) == 1 })
	e1.Kill()
	if r := <-first; r.err == nil && r.ran == "no" {
		t.Errorf("the caller of a dead entry was told %q", r.body)
	}
	<-second
	b.until("the dead entry's queued call is dropped", func() bool { return b.queued(a) == 0 })
	f.step <- true
	b.until("the call is finished", func() bool { return b.load(a).GetRunning() == 0 })
	f.mu.Lock()
	if f.finished["crew"] != 1 {
		t.Error("the call was cut because its entry died")
	}
	f.mu.Unlock()
	b.want("resubmission", b.send("POST", e2.URL+strict, "crew", id), http.StatusConflict, "yes", "duplicate-request")
	f.step <- true
	if r := b.send("POST", e2.URL+strict, "truck", id2); r.status != http.StatusOK {
		t.Errorf("resubmission of a call that was dropped: got %d %q", r.status, r.body)
	}
	if n, m := f.count("crew"), f.count("truck"); n != 1 || m != 1 {
		t.Errorf("the calls ran %d and %d times", n, m)
	}
}

// TestBothEntries submits one id at two entries at the same moment, many times.
func TestBothEntries(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	b.service("intake-1", f, 8)
	b.service("intake-2", f, 8)
	e1, e2 := b.entry("entry-1"), b.entry("entry-2")
	b.begin(e1, e2)
	for _, body := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		id := "Kingcupstand-Request-Id: " + b.newID(e1)
		c1 := b.async("POST", e1.URL+strict, body, id)
		c2 := b.async("POST", e2.URL+strict, body, id)
		r1, r2 := <-c1, <-c2
		if n := f.count(body); n != 1 {
			t.Errorf("call %s ran %d times", body, n)
		}
		if (r1.status == http.StatusOK) == (r2.status == http.StatusOK) {
			t.Errorf("call %s: got %d and %d, expected one answer and one conflict", body, r1.status, r2.status)
		}
	}
}

// TestOwnKey submits a call that must not run twice under a key of the caller's
// own making, which no one could judge at another entry.
func TestOwnKey(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	b.service("intake-1", f, 8)
	e := b.entry("entry-1")
	b.begin(e)
	r := b.send("POST", e.URL+"/services/intake/x", "crew", "Idempotency-Key: mine")
	b.want("own key", r, http.StatusPreconditionRequired, "no", "request-id-required")
	r = b.send("POST", e.URL+strict, "crew")
	b.want("no id", r, http.StatusPreconditionRequired, "no", "request-id-required")
	if n := f.count("crew"); n != 0 {
		t.Errorf("the call ran %d times", n)
	}
}

// TestAgentReplaced resubmits an id after its agent was replaced, while one entry
// still reaches the old agent and the other only the new one.
func TestAgentReplaced(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	old := b.service("intake-1", f, 8)
	e1 := b.entry("entry-1")
	b.begin(e1)
	id := "Kingcupstand-Request-Id: " + b.newID(e1)
	if r := b.send("POST", e1.URL+strict, "crew", id); r.status != http.StatusOK {
		t.Fatalf("got %d %q", r.status, r.body)
	}
	b.service("intake-1", f, 8)
	e2 := b.entry("entry-2")
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.begin(e2)
	b.want("at the new agent", b.send("POST", e2.URL+strict, "crew", id), http.StatusConflict, "unknown", "wrong-incarnation")
	old.Kill()
	b.want("after the old agent's death", b.send("POST", e2.URL+strict, "crew", id), http.StatusConflict, "unknown", "wrong-incarnation")
	if n := f.count("crew"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// TestPartition cuts one entry off from the agent that an id belongs to; the
// caller asks on both sides, before and after the cut is healed.
func TestPartition(t *testing.T) {
	b := newBench(t)
	f1, f2 := newFake(true), newFake(true)
	a1 := b.service("intake-1", f1, 8)
	e := b.entry("entry-1")
	b.begin(e)
	id := "Kingcupstand-Request-Id: " + b.newID(e)
	a1.Relay.Cut()
	b.service("intake-2", f2, 8)
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.until("calls without an id go to the other side", func() bool {
		return b.send("GET", e.URL+"/services/intake/x", "").status == http.StatusOK
	})
	r := b.send("POST", e.URL+strict, "crew", id)
	b.want("cut off", r, http.StatusBadGateway, "unknown", "agent-lost")
	if r.header.Get("Retry-After") == "" {
		t.Error("no Retry-After on an answer that a later try can better")
	}
	a1.Relay.Heal()
	b.until("the id is answered once the cut is healed", func() bool {
		return b.send("POST", e.URL+strict, "crew", id).status == http.StatusOK
	})
	b.want("once more", b.send("POST", e.URL+strict, "crew", id), http.StatusConflict, "yes", "duplicate-request")
	if n, m := f1.count("crew"), f2.count("crew"); n != 1 || m != 0 {
		t.Errorf("the call ran %d times at its agent and %d times elsewhere", n, m)
	}
}

// TestFrozenAgent holds an agent's bytes back past the deadline.
func TestFrozenAgent(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	a := b.service("intake-1", f, 8)
	e := b.entry("entry-1")
	b.begin(e)
	a.Relay.Freeze()
	r := b.send("GET", e.URL+"/services/intake/x", "late", "Kingcupstand-Deadline-Ms: 2000")
	b.want("frozen", r, http.StatusGatewayTimeout, "unknown", "deadline-passed")
	a.Relay.Heal()
	b.until("the agent answers again", func() bool {
		return b.send("GET", e.URL+"/services/intake/x", "again").status == http.StatusOK
	})
	if n := f.count("late"); n > 1 {
		t.Errorf("the late request ran %d times", n)
	}
}

// TestStopEntry stops an entry with a request in flight.
func TestStopEntry(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	b.service("intake-1", f, 1)
	e := b.entry("entry-1")
	b.begin(e)
	c := b.async("POST", e.URL+"/services/intake/x", "crew")
	<-f.came
	e.BeginStop()
	b.until("no new connections", func() bool { return b.send("GET", e.URL+"/readyz", "").err != nil })
	f.step <- true
	if r := <-c; r.status != http.StatusOK || r.body != "crew" {
		t.Errorf("request in flight: got %d %q %v", r.status, r.body, r.err)
	}
	if err := e.Wait(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
}

// TestStopAgent stops an agent with one request dispatched and one queued: the
// first is finished, the second is answered by another agent.
func TestStopAgent(t *testing.T) {
	b := newBench(t)
	f1, f2 := newFake(false), newFake(false)
	a1 := b.service("intake-1", f1, 1)
	b.service("intake-2", f2, 1)
	e := b.entry("entry-1")
	b.begin(e)
	first := b.async("POST", e.URL+strict, "first", b.idAt(e, "intake-1"))
	<-f1.came
	second := b.async("POST", e.URL+strict, "second", b.idAt(e, "intake-1"))
	b.until("the second request is queued", func() bool { return b.queued(a1) == 1 })
	a1.BeginStop()
	if got := <-f2.came; got != "second" {
		t.Errorf("the second agent got %q", got)
	}
	f2.step <- true
	if r := <-second; r.status != http.StatusOK || r.header.Get("Kingcupstand-Offers") != "2" {
		t.Errorf("queued request: got %d %q after %s offers", r.status, r.body, r.header.Get("Kingcupstand-Offers"))
	}
	f1.step <- true
	if r := <-first; r.status != http.StatusOK || r.body != "first" {
		t.Errorf("dispatched request: got %d %q %v", r.status, r.body, r.err)
	}
	if err := a1.Wait(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
}

// idAt returns the header of a new id that belongs to the named agent.
func (b *bench) idAt(e *fleet.Process, name string) string {
	b.Helper()
	var id string
	b.until("an id of "+name, func() bool {
		id = b.newID(e)
		t, err := call.ParseID(call.ID(id))
		return err == nil && t.Target() == name
	})
	return "Kingcupstand-Request-Id: " + id
}

// TestLeaving marks an agent as leaving in the instance list only.
func TestLeaving(t *testing.T) {
	b := newBench(t)
	f1, f2 := newFake(true), newFake(true)
	a1 := b.service("intake-1", f1, 8)
	b.service("intake-2", f2, 8)
	e := b.entry("entry-1")
	b.begin(e)
	a1.MarkLeaving()
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.until("the leaving agent gets nothing new", func() bool {
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
		t.Errorf("the leaving agent got %d new requests", n)
	}
}

// TestSecondSignal ends the grace period of a stopping agent.
func TestSecondSignal(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.service("intake-1", f, 1)
	e := b.entry("entry-1")
	b.begin(e)
	c := b.async("GET", e.URL+"/services/intake/x", "crew")
	<-f.came
	a.BeginStop()
	b.until("the agent says that it stops", func() bool { return b.load(a).GetLeaving() })
	a.Kill()
	if a.Wait() == nil {
		t.Error("a stop that cut a request was reported as clean")
	}
	b.want("cut request", <-c, http.StatusBadGateway, "yes", "agent-lost")
}

// TestShortAnswers tries targets whose answers are not what they should be.
func TestShortAnswers(t *testing.T) {
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	for _, c := range []struct {
		name, sent, got string
		whole           bool
	}{
		{"whole", event + "data: [DONE]\n\n", event + "data: [DONE]\n\n", true},
		{"after the end", event + "data: [DONE]\n\n" + event, event + "data: [DONE]\n\n", true},
		{"no end", event, event, false},
		{"half an event", event + "data: {\"cho", event, false},
		{"nothing", "", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			f := newFake(true)
			f.answer = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write([]byte(c.sent))
			}
			b.engine("engine-1", f)
			e := b.entry("entry-1")
			b.begin(e)
			r := b.send("POST", e.URL+"/v1/chat/completions", body)
			if c.whole {
				if r.err != nil || r.body != c.got {
					t.Errorf("got %q, %v, expected %q", r.body, r.err, c.got)
				}
				return
			}
			want := c.got + "event: error\ndata: {\"error\":{\"message\":\"the target's answer ended early\""
			if r.err == nil || len(r.body) < len(want) || r.body[:len(want)] != want {
				t.Errorf("got %q, %v, expected an error after %q", r.body, r.err, want)
			}
		})
	}
}

// TestPlatformOutage changes the configuration while part of the fleet can't
// reach the service, and replaces a process while the service is stale.
func TestPlatformOutage(t *testing.T) {
	b := newBench(t)
	a := b.service("intake-1", newFake(true), 8)
	e := b.entry("entry-1")
	b.begin(e)
	if err := b.Publish(contracts(5)); err != nil {
		t.Fatal(err)
	}
	b.until("revision 5 is in force", func() bool { return b.revision(e) == 5 && b.revision(a) == 5 })
	old, err := fleet.YAML(contracts(3))
	if err != nil {
		t.Fatal(err)
	}
	b.Platform.Publish(stand.Configuration, old)
	e2 := b.entry("entry-2")
	if err := b.Publish(nil); err != nil {
		t.Fatal(err)
	}
	b.until("the new process has its peers' revision", func() bool { return b.revision(e2) == 5 })
	if b.revision(e) != 5 || b.revision(a) != 5 {
		t.Errorf("the stale service brought revisions %d and %d into force", b.revision(e), b.revision(a))
	}
	b.Platform.Publish(stand.InstanceList, []byte("version: 9\ninstances: []"))
	b.until("the empty list is doubted", func() bool { return b.logged("instance list doubted") })
	if r := b.send("GET", e.URL+"/services/intake/x", "x"); r.status != http.StatusOK {
		t.Errorf("with an empty instance list: got %d %q %v", r.status, r.body, r.err)
	}
	b.Platform.SetDown(true)
	six, err := fleet.YAML(contracts(6))
	if err != nil {
		t.Fatal(err)
	}
	b.push(a, six, 6)
	b.until("revision 6 spreads without the service", func() bool { return b.revision(e) == 6 && b.revision(e2) == 6 })
	b.push(a, []byte("revision: 7\ntiers: []"), 7)
	if r := b.revision(a); r != 6 {
		t.Errorf("a bad document brought revision %d into force", r)
	}
	b.until("the rejection is in the log", func() bool { return b.logged("document rejected") })
	// Three processes watch two values; each change wakes every watch once, and
	// while the service is down each is tried once a second.
	if n := b.Platform.Reads(); n > 100 {
		t.Errorf("the service was read %d times", n)
	}
}

// TestContractRemoved removes a contract while its request waits.
func TestContractRemoved(t *testing.T) {
	b := newBench(t)
	f := newFake(false)
	a := b.service("intake-1", f, 1)
	e := b.entry("entry-1")
	b.begin(e)
	first := b.async("POST", e.URL+"/services/intake/x", "first")
	<-f.came
	second := b.async("POST", e.URL+"/services/intake/x", "second")
	b.until("the second request is queued", func() bool { return b.queued(a) == 1 })
	d := contracts(2)
	d.Contracts[0].Workspace = "b"
	d.Contracts[0].KeyHashes = []string{conf.HashKey("another")}
	if err := b.Publish(d); err != nil {
		t.Fatal(err)
	}
	b.want("waiting request", <-second, http.StatusForbidden, "no", "contract-changed")
	f.step <- true
	if r := <-first; r.status != http.StatusOK {
		t.Errorf("running request: got %d %q", r.status, r.body)
	}
}

// TestChanges publishes changes close together and undoes one while a burst runs:
// every request gets one ending, and the last revision is in force everywhere.
func TestChanges(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	f.came = make(chan string, 1000)
	a := b.service("intake-1", f, 2)
	e := b.entry("entry-1")
	b.begin(e)
	const calls = 100
	c := make(chan reply, calls)
	for i := range calls {
		go func() { c <- b.send("POST", e.URL+"/services/intake/x", fmt.Sprint("call ", i)) }()
		if i%10 == 0 {
			d := contracts(uint64(2 + i/10))
			if i/10%2 == 0 {
				// The tiers change places, and back again with the next revision.
				d.Tiers[0].Rank, d.Tiers[1].Rank = 2, 1
			}
			if err := b.Publish(d); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range calls {
		if r := <-c; r.status != http.StatusOK {
			t.Errorf("got %d %q %v", r.status, r.body, r.err)
		}
	}
	for i := range calls {
		if n := f.count(fmt.Sprint("call ", i)); n != 1 {
			t.Errorf("call %d ran %d times", i, n)
		}
	}
	b.until("the last revision is in force", func() bool { return b.revision(e) == 11 && b.revision(a) == 11 })
}
