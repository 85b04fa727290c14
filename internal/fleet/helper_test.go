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
	testKey = "the-secret-key-of-workspace-a"
	patient = 20 * time.Second
)

// fake is a target that a test holds in its hands: each call waits for a word
// from the test unless the fake is open.
type fake struct {
	mu   sync.Mutex
	runs map[string]int
	// finished counts the calls that were not given up by their agent.
	finished map[string]int
	came     chan string
	step     chan bool
	// answer writes the answer; nil means 200 with the body of the request.
	answer http.HandlerFunc
	open   bool
}

func newFake(open bool) *fake {
	return &fake{runs: make(map[string]int), finished: make(map[string]int), came: make(chan string, 100), step: make(chan bool, 100), open: open}
}

func (f *fake) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	b, _ := io.ReadAll(q.Body)
	f.mu.Lock()
	f.runs[string(b)]++
	f.mu.Unlock()
	f.came <- string(b)
	if !f.open {
		select {
		case <-f.step:
		case <-q.Context().Done():
			return
		}
	}
	f.mu.Lock()
	f.finished[string(b)]++
	f.mu.Unlock()
	if f.answer != nil {
		f.answer(w, q)
		return
	}
	_, _ = w.Write(b)
}

func (f *fake) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// bench is a fleet with one workspace, two tiers, a model and a service.
type bench struct {
	*testing.T
	*fleet.Fleet
	logs   *lines
	client *http.Client
}

// lines collects log lines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newBench(t *testing.T) *bench {
	t.Helper()
	l := &lines{}
	f, err := fleet.New(l, "debug")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &bench{T: t, Fleet: f, logs: l, client: &http.Client{}}
}

func contracts(revision uint64) *spec.Document {
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

func (b *bench) service(name string, h http.Handler, batch uint32) *fleet.Process {
	b.Helper()
	p, err := b.StartAgent(name, "dc-1", h, &spec.Target{Kind: "service", Service: "intake", Batch: batch})
	if err != nil {
		b.Fatal(err)
	}
	return p
}

func (b *bench) engine(name string, h http.Handler) *fleet.Process {
	b.Helper()
	p, err := b.StartAgent(name, "dc-1", h, &spec.Target{Kind: "engine", Models: []string{"m"}, Batch: 4})
	if err != nil {
		b.Fatal(err)
	}
	return p
}

func (b *bench) entry(name string) *fleet.Process {
	b.Helper()
	p, err := b.StartEntry(name, "dc-1")
	if err != nil {
		b.Fatal(err)
	}
	return p
}

// begin publishes the contracts and waits until the entries know the agents.
func (b *bench) begin(entries ...*fleet.Process) {
	b.Helper()
	if err := b.Publish(contracts(1)); err != nil {
		b.Fatal(err)
	}
	if err := b.WaitReady(b.Context()); err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		b.until("the entry knows its agents", func() bool { return b.newID(e) != "" })
	}
}

// until waits for a condition. Its bound is only there to end a broken test.
func (b *bench) until(what string, f func() bool) {
	b.Helper()
	for end := time.Now().Add(patient); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("not seen: %s\n%s", what, b.logs)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	ran    string
	code   string
	err    error
}

// send makes a request with headers given as "Name: value".
func (b *bench) send(method, url, body string, headers ...string) reply {
	q, err := http.NewRequestWithContext(b.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		n, v, _ := strings.Cut(h, ": ")
		q.Header.Set(n, v)
	}
	p, err := b.client.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer p.Body.Close()
	r := reply{status: p.StatusCode, header: p.Header}
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

// async makes a request and returns the channel of its reply.
func (b *bench) async(method, url, body string, headers ...string) <-chan reply {
	c := make(chan reply, 1)
	go func() { c <- b.send(method, url, body, headers...) }()
	return c
}

func (b *bench) newID(e *fleet.Process) string {
	r := b.send("POST", e.URL+"/v1/request-ids", `{"service":"intake"}`)
	if r.status != http.StatusCreated {
		r = b.send("POST", e.URL+"/v1/request-ids", `{"model":"m"}`)
	}
	return r.header.Get("Kingcupstand-Request-Id")
}

func (b *bench) want(what string, r reply, status int, ran, code string) {
	b.Helper()
	if r.status != status || r.ran != ran || r.code != code {
		b.Errorf("%s: got %d ran=%q code=%q body %q err %v, expected %d ran=%q code=%q", what, r.status, r.ran, r.code, r.body, r.err,
			status, ran, code)
	}
}

// sync speaks to a process as a peer does.
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

func (b *bench) load(p *fleet.Process) *wire.Load {
	return b.sync(p, &wire.SyncRequest{Process: "test"}).GetLoad()
}

func (b *bench) revision(p *fleet.Process) uint64 {
	return b.sync(p, &wire.SyncRequest{Process: "test"}).GetRevision()
}

// push gives a process a document as a peer that holds it would.
func (b *bench) push(p *fleet.Process, document []byte, revision uint64) {
	b.sync(p, &wire.SyncRequest{Process: "test", Document: document, Revision: revision})
}

func (b *bench) logged(text string) bool {
	return strings.Contains(b.logs.String(), text)
}

func TestMain(m *testing.M) {
	telem.RedirectGoZero(telem.NewLogger(io.Discard, "error"))
	m.Run()
}
