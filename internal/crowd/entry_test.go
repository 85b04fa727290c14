//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Limits of the entry and of the agents in these tests.
const (
	entryMemory      = 96
	entryConnections = 200
	agentMemory      = 64
	// otherDescriptors is the number of an entry's descriptors for other uses than callers.
	otherDescriptors = 400
	agentDescriptors = 4096
	localKey         = "local-key"
	idHeader         = "Crowd-Id"
)

const configuration = `revision: 1
tiers: [{name: one, rank: 1}]
models: [m]
services: [web]
contracts:
  - workspace: harbour
    key-hashes: [dba73d3fcb67907054ce8317378a14b30da1b86b75803e9ba66f18efd9bef09e]
    share: 1
    models: [m]
    services: [web]
    default-tier: one
    tiers: [{tier: one, deadline-ms: 60000}]
    limits: {body-bytes: %d}
`

// target is a model engine or a plain service that counts the requests that it gets.
type target struct {
	delay time.Duration
	mu    sync.Mutex
	runs  map[string]int
}

func (s *target) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	s.runs[q.Header.Get(idHeader)]++
	s.mu.Unlock()
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"a"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`)
}

// ran returns how often a request has reached the target.
func (s *target) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// system is an entry before an agent of an engine and one of a plain service, which share a target.
type system struct {
	entry, engine, web *process
	address            string
	target             *target
}

// newSystem starts an entry with so much memory, in MiB, and so many connections before two agents. Requests
// take delay at the target.
func newSystem(t *testing.T, memory, connections int, delay time.Duration) *system {
	t.Helper()
	dir := t.TempDir()
	program := build(t, dir, "kingcupstand")
	s := &system{target: &target{delay: delay, runs: map[string]int{}}}
	h := httptest.NewServer(s.target)
	t.Cleanup(h.CloseClientConnections)
	var web, peer [3]string
	for i := range peer {
		web[i], peer[i] = freeAddress(t), freeAddress(t)
	}
	conf := write(t, dir, "configuration.yaml", fmt.Sprintf(configuration, bodyLimit))
	list := write(t, dir, "instances.yaml", fmt.Sprintf(`version: 1
instances:
  - {name: entry-1, role: entry, peer: %q, region: south, data-centre: dc-1, state: live}
  - {name: engine-1, role: agent, peer: %q, region: south, data-centre: dc-1, state: live, models: [m]}
  - {name: web-1, role: agent, peer: %q, region: south, data-centre: dc-1, state: live, service: web}
`, peer[0], peer[1], peer[2]))
	start := func(i int, role, name, more, port string, memory, descriptors int) *process {
		file := write(t, dir, name+".yaml", fmt.Sprintf(`name: %s
region: south
data-centre: dc-1
listen: {http: %q, peer: %q}
platform: {configuration-file: %q, instances-file: %q}
memory-mib: %d
%s
`, name, web[i], peer[i], conf, list, memory, more))
		p := &process{t: t, name: name, log: filepath.Join(dir, name+".log"), memoryLimit: memory << 20, descriptorLimit: descriptors}
		p.start([]string{port}, program, role, "--settings", file)
		return p
	}
	s.engine = start(1, "agent", "engine-1", fmt.Sprintf("target: {kind: engine, url: %q, models: [m], batch-tokens: 100000000}", h.URL), peer[1], agentMemory, agentDescriptors)
	s.web = start(2, "agent", "web-1", fmt.Sprintf("target: {kind: service, url: %q, service: web}", h.URL), peer[2], agentMemory, agentDescriptors)
	s.entry = start(0, "entry", "entry-1", fmt.Sprintf("max-connections: %d", connections), web[0], memory, connections+otherDescriptors)
	for _, a := range web {
		awaitReady(t, "http://"+a+"/readyz")
	}
	s.address = web[0]
	return s
}

// request returns the request for a path, whose body has a prefix and a suffix.
func (s *system) request(path, prefix, suffix string) request {
	return request{address: s.address, prefix: prefix, suffix: suffix, ran: s.target.ran, head: func(id string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + localKey + "\r\n" + idHeader + ": " + id + "\r\n"
	}}
}

func (s *system) call() request { return s.request("/services/web/a", "", "") }

func (s *system) chat() request {
	return s.request("/v1/chat/completions", `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"`, `"}]}`)
}

// Pattern: as TestFrontBeforeCrowd, at an entry, with calls of a plain service.
func TestEntryBeforeCrowdOfCalls(t *testing.T) {
	for _, pat := range patterns {
		t.Run(strings.ReplaceAll(pat.name, " ", "-"), func(t *testing.T) {
			s := newSystem(t, entryMemory, entryConnections, time.Millisecond)
			runCrowd(t, pat, s.call(), s.entry, s.engine, s.web)
		})
	}
}

// Pattern: the same with chat completions.
func TestEntryBeforeCrowdOfChats(t *testing.T) {
	for _, pat := range patterns {
		t.Run(strings.ReplaceAll(pat.name, " ", "-"), func(t *testing.T) {
			s := newSystem(t, entryMemory, entryConnections, time.Millisecond)
			runCrowd(t, pat, s.chat(), s.entry, s.engine, s.web)
		})
	}
}

// Pattern: many whole bodies that wait for a slow target. Guards against agents that exceed their memory, behind
// an entry that has much of it.
func TestAgentsBeforeCrowd(t *testing.T) {
	const memory, connections = 1024, 1200
	for _, pat := range []pattern{
		{name: "long", callers: 180, size: bodyLimit, whole: true},
		{name: "short", callers: 1000, size: 60_000, whole: true},
	} {
		for name, q := range map[string]func(*system) request{"calls": (*system).call, "chats": (*system).chat} {
			t.Run(pat.name+"-"+name, func(t *testing.T) {
				s := newSystem(t, memory, connections, 500*time.Millisecond)
				runCrowd(t, pat, q(s), s.entry, s.engine, s.web)
			})
		}
	}
}
