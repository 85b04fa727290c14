package fleet_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/internal/fleet"
	"kingcupstand/io/link"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

const (
	testKey     = "the-secret-key-of-workspace-a"
	testTimeout = 20 * time.Second
)

// fake is a target whose calls the test controls: unless the fake is immediate, each call
// blocks until the test sends on proceed.
type fake struct {
	mu   sync.Mutex
	runs map[string]int
	// finished counts the calls that the agent did not abort.
	finished map[string]int
	arrived  chan string
	proceed  chan bool
	// respond writes the response. If nil, the response is 200 with the body of the
	// request.
	respond   http.HandlerFunc
	immediate bool
}

func newFake(immediate bool) *fake {
	return &fake{runs: make(map[string]int), finished: make(map[string]int), arrived: make(chan string, 100), proceed: make(chan bool, 100), immediate: immediate}
}

func (f *fake) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	b, _ := io.ReadAll(q.Body)
	f.mu.Lock()
	f.runs[string(b)]++
	f.mu.Unlock()
	f.arrived <- string(b)
	if !f.immediate {
		select {
		case <-f.proceed:
		case <-q.Context().Done():
			return
		}
	}
	f.mu.Lock()
	f.finished[string(b)]++
	f.mu.Unlock()
	if f.respond != nil {
		f.respond(w, q)
		return
	}
	_, _ = w.Write(b)
}

// count returns how often a call with a body was run.
func (f *fake) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// bench is a fleet for one test.
type bench struct {
	*testing.T
	*fleet.Fleet
	logs   *logBuffer
	client *http.Client
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newBench(t *testing.T) *bench {
	t.Helper()
	l := &logBuffer{}
	f, err := fleet.New(l, "debug")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &bench{T: t, Fleet: f, logs: l, client: &http.Client{}}
}

// testDocument returns a document with one workspace, two tiers, two models and a
// service.
func testDocument(revision uint64) *spec.Document {
	return &spec.Document{
		Revision: revision,
		Tiers:    []*spec.Tier{{Name: "dispatch", Rank: 1}, {Name: "archive", Rank: 2}},
		Models:   []string{"m", "idle"},
		Services: []string{"intake"},
		Contracts: []*spec.Contract{{
			Workspace: "a", KeyHashes: []string{conf.HashKey(testKey)}, Share: 1,
			Models: []string{"m", "idle"}, Services: []string{"intake"}, DefaultTier: "archive",
			Tiers: []*spec.TierTerms{
				{Tier: "dispatch", DeadlineMs: 15_000},
				{Tier: "archive", DeadlineMs: 15_000, CutRunning: true},
			},
			Routes: []*spec.Route{{Path: "/services/intake/strict", NonIdempotent: true, RequireId: true}},
			Limits: &spec.Limits{BodyBytes: 2000, PromptTokens: 400, OutputTokens: 100},
		}},
	}
}

func (b *bench) startService(name string, h http.Handler, batch uint32) *fleet.Process {
	b.Helper()
	p, err := b.StartAgent(name, "dc-1", h, &spec.Target{Kind: "service", Service: "intake", Batch: batch})
	if err != nil {
		b.Fatal(err)
	}
	return p
}

func (b *bench) startEngine(name string, h http.Handler) *fleet.Process {
	b.Helper()
	p, err := b.StartAgent(name, "dc-1", h, &spec.Target{Kind: "engine", Models: []string{"m"}, Batch: 4})
	if err != nil {
		b.Fatal(err)
	}
	return p
}

func (b *bench) startEntry(name string) *fleet.Process {
	b.Helper()
	p, err := b.StartEntry(name, "dc-1")
	if err != nil {
		b.Fatal(err)
	}
	return p
}

// start publishes testDocument(1) and waits until all processes are ready and the entries
// know the agents.
func (b *bench) start(entries ...*fleet.Process) {
	b.Helper()
	if err := b.Publish(testDocument(1)); err != nil {
		b.Fatal(err)
	}
	if err := b.WaitReady(b.Context()); err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		b.until("the entry knows its agents", func() bool { return b.newID(e) != "" })
	}
}

// until waits for a condition. The time limit only ends a failing test.
func (b *bench) until(what string, f func() bool) {
	b.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("timed out waiting until %s\n%s", what, b.logs)
		}
	}
}

// response is the response that a caller received. ran and code are fields of the JSON
// error, if it is one.
type response struct {
	status int
	header http.Header
	body   string
	ran    string
	code   string
	err    error
}

// send makes a request with the test workspace's key. Headers are given as "Name: value".
func (b *bench) send(method, url, body string, headers ...string) response {
	q, err := http.NewRequestWithContext(b.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		n, v, _ := strings.Cut(h, ": ")
		q.Header.Set(n, v)
	}
	p, err := b.client.Do(q)
	if err != nil {
		return response{err: err}
	}
	defer p.Body.Close()
	r := response{status: p.StatusCode, header: p.Header}
	t, err := io.ReadAll(p.Body)
	r.body, r.err = string(t), err
	var v struct {
		Error struct{ Ran, Code string } `json:"error"`
	}
	if json.Unmarshal(t, &v) == nil {
		r.ran, r.code = v.Error.Ran, v.Error.Code
	}
	return r
}

// sendAsync makes a request in the background and returns a channel with its response.
func (b *bench) sendAsync(method, url, body string, headers ...string) <-chan response {
	c := make(chan response, 1)
	go func() { c <- b.send(method, url, body, headers...) }()
	return c
}

// newID returns a new request id from an entry, or "" if it issues none.
func (b *bench) newID(e *fleet.Process) string {
	r := b.send("POST", e.URL+"/v1/request-ids", `{"service":"intake"}`)
	if r.status != http.StatusCreated {
		r = b.send("POST", e.URL+"/v1/request-ids", `{"model":"m"}`)
	}
	return r.header.Get("Kingcupstand-Request-Id")
}

// want checks the status of a response and the ran and code fields of its error.
func (b *bench) want(what string, r response, status int, ran, code string) {
	b.Helper()
	if r.status != status || r.ran != ran || r.code != code {
		b.Errorf("%s: got %d ran=%q code=%q body %q err %v, want %d ran=%q code=%q", what, r.status, r.ran, r.code, r.body, r.err,
			status, ran, code)
	}
}

// sync sends a process a sync request, as a peer does. It returns nil if that fails.
func (b *bench) sync(p *fleet.Process, q *wire.SyncRequest) *wire.SyncReply {
	b.Helper()
	l := link.New(nil)
	defer l.Close()
	r, err := l.Sync(b.Context(), p.Settings.Listen.Peer, q)
	if err != nil {
		b.Logf("sync with %s: %v", p.Name, err)
	}
	return r
}

// load returns the load that an agent reports.
func (b *bench) load(p *fleet.Process) *wire.Load {
	return b.sync(p, &wire.SyncRequest{Process: "test"}).GetLoad()
}

// revision returns the revision of a process's current document.
func (b *bench) revision(p *fleet.Process) uint64 {
	return b.sync(p, &wire.SyncRequest{Process: "test"}).GetRevision()
}

// pushDocument sends a process a document, as a peer that has it does.
func (b *bench) pushDocument(p *fleet.Process, document []byte, revision uint64) {
	b.sync(p, &wire.SyncRequest{Process: "test", Document: document, Revision: revision})
}

// logged reports whether the processes' log contains a text.
func (b *bench) logged(text string) bool {
	return strings.Contains(b.logs.String(), text)
}

func TestMain(m *testing.M) {
	telem.RedirectGoZero(telem.NewLogger(io.Discard, "error"))
	m.Run()
}
