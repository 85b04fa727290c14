package fleet_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcupstand/schema/spec"
)

// chatBody returns the body of a chat-completions request with a prompt of the given size.
// extra is appended to its JSON fields.
func chatBody(model string, bytes int, extra string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]%s}`, model, strings.Repeat("x", bytes), extra)
}

// Checks the status and code of requests that an entry refuses by itself. None may reach
// the target.
func TestAPIErrors(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	// The agent estimates that each call takes five seconds.
	if _, err := b.StartAgent("intake-1", "dc-1", f, &spec.Target{Kind: "service", Service: "intake", StepUs: 5_000_000}); err != nil {
		t.Fatal(err)
	}
	e := b.startEntry("entry-1")
	b.start(e)
	const completions, intake = "/v1/chat/completions", "/services/intake/x"
	for _, c := range []struct {
		name, method, path, body, header string
		status                           int
		code                             string
	}{
		{"no key", "POST", completions, chatBody("m", 1, ""), "Authorization: ", 401, "missing-key"},
		{"not a bearer", "POST", completions, chatBody("m", 1, ""), "Authorization: Basic YTpi", 401, "missing-key"},
		{"unknown key", "POST", completions, chatBody("m", 1, ""), "Authorization: Bearer other", 401, "unknown-key"},
		{"bad JSON", "POST", completions, `{"model":`, "", 400, "bad-json"},
		{"wrong type", "POST", completions, `{"model":7}`, "", 400, "bad-json"},
		{"no model", "POST", completions, `{"messages":[1]}`, "", 400, "missing-model"},
		{"unknown model", "POST", completions, chatBody("x", 1, ""), "", 404, "unknown-model"},
		{"no messages", "POST", completions, `{"model":"m"}`, "", 400, "missing-messages"},
		{"body too large", "POST", completions, chatBody("m", 5000, ""), "", 413, "body-too-large"},
		{"prompt too long", "POST", completions, chatBody("m", 1700, ""), "", 413, "prompt-too-long"},
		{"output too long", "POST", completions, chatBody("m", 1, `,"max_tokens":101`), "", 400, "output-too-long"},
		{"unknown tier", "POST", completions, chatBody("m", 1, ""), "Kingcupstand-Tier: gold", 400, "unknown-tier"},
		{"bad deadline", "POST", completions, chatBody("m", 1, ""), "Kingcupstand-Deadline-Ms: soon", 400, "bad-deadline"},
		{"past deadline", "POST", completions, chatBody("m", 1, ""), "Kingcupstand-Deadline-Ms: 0", 504, "deadline-passed"},
		{"unreachable deadline", "GET", intake, "", "Kingcupstand-Deadline-Ms: 3000", 504, "deadline-unreachable"},
		{"bad id", "POST", intake, "x", "Kingcupstand-Request-Id: mine", 400, "bad-request-id"},
		{"no target", "POST", completions, chatBody("idle", 1, ""), "", 503, "no-target"},
		{"unknown service", "GET", "/services/other/x", "", "", 404, "unknown-service"},
		{"large service body", "POST", intake, strings.Repeat("x", 3000), "", 413, "body-too-large"},
		{"unknown path", "GET", "/v2/x", "", "", 404, "unknown-path"},
	} {
		r := b.send(c.method, e.URL+c.path, c.body, headers(c.header)...)
		b.want(c.name, r, c.status, "no", c.code)
		if ra := r.header.Get("Retry-After"); (c.status == http.StatusServiceUnavailable) != (ra != "") && c.status != 504 {
			t.Errorf("%s: got Retry-After %q, want one on status 503 only", c.name, ra)
		}
	}
	if n := len(f.arrived); n != 0 {
		t.Errorf("got %d refused requests at the target, want 0", n)
	}
}

// Checks that the caller's key appears neither in log lines nor in the headers sent to the
// target.
func TestCallerKeyIsNotLeaked(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	var seen []string
	f.respond = func(_ http.ResponseWriter, q *http.Request) {
		var h bytes.Buffer
		_ = q.Header.Write(&h)
		seen = append(seen, h.String())
	}
	b.startService("intake-1", f, 8)
	e := b.startEntry("entry-1")
	b.start(e)
	for _, h := range []string{"Kingcupstand-Deadline-Ms: x", "Authorization: Bearer " + testKey + "-wrong", "X-A: b"} {
		b.send("GET", e.URL+"/services/intake/x", "", h)
	}
	if len(seen) != 1 {
		t.Fatalf("target: got %d requests, want 1", len(seen))
	}
	if strings.Contains(seen[0], testKey) || strings.Contains(b.logs.String(), testKey) {
		t.Errorf("the caller's key is in the headers sent to the target or in the log:\n%s", seen[0])
	}
	if !strings.Contains(seen[0], "X-A: b") {
		t.Errorf("the caller's header X-A did not reach the target:\n%s", seen[0])
	}
}

// Opens a thousand idle connections, one that sends endless headers and one whose caller
// does not read the response. Requests on other connections must still be served.
func TestServesBesideIdleAndSlowConnections(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	big := bytes.Repeat([]byte("x"), 1<<20)
	f.respond = func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodPut {
			for range 64 {
				_, _ = w.Write(big)
			}
		}
	}
	b.startService("intake-1", f, 8)
	e := b.startEntry("entry-1")
	b.start(e)
	address := strings.TrimPrefix(e.URL, "http://")
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	for range 1000 {
		dial()
	}
	flood := dial()
	_, _ = fmt.Fprint(flood, "GET /healthz HTTP/1.1\r\nHost: x\r\n")
	go func() {
		for {
			if _, err := fmt.Fprintf(flood, "X-A: %s\r\n", big[:1000]); err != nil {
				return
			}
		}
	}()
	head := make([]byte, 12)
	_ = flood.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := flood.Read(head); err != nil || string(head) != "HTTP/1.1 431" {
		t.Errorf("header flood: got %q, %v, want status 431", head, err)
	}
	slow := dial()
	_, _ = fmt.Fprintf(slow, "PUT /services/intake/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", testKey)
	<-f.arrived
	for range 20 {
		if r := b.send("GET", e.URL+"/services/intake/x", "ok"); r.status != http.StatusOK {
			t.Fatalf("beside a slow caller: got %d %q %v, want 200", r.status, r.body, r.err)
		}
		<-f.arrived
	}
}

// headers returns a list with h, or an empty one if h is "".
func headers(h string) []string {
	if h == "" {
		return nil
	}
	return []string{h}
}
