//go:build crowd

// Package crowd runs processes of the system before crowds of callers that don't behave: with many bodies of
// the largest size that the configuration allows, or far beyond it, most of which stop a byte short and stay.
// Each process must live, stay within its memory (bytes that it has received and not yet read count) and its
// descriptors, and answer ordinary requests while the crowd stays.
//
// # Usage
//
// The tests run one at a time, apart from other tests:
//
//	go test -tags crowd -p 1 ./internal/crowd
package crowd

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kingcupstand/internal/stand"
)

// Limits of the front in these tests. 600 of the descriptors are kept for other uses than callers.
const (
	frontMemory      = 64
	frontDescriptors = 800
)

// newFront starts a front before one target, and returns it with the request that callers send.
func newFront(t *testing.T) (*process, request) {
	t.Helper()
	dir := t.TempDir()
	s := stand.NewStore()
	h := httptest.NewServer(s)
	t.Cleanup(h.CloseClientConnections)
	s.Put("op/config", fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"do","host":"app.example","prefix":"/do/","route_kind":"non_idempotent","timeout_ms":60000,"latency_goal_ms":20000,"priority":2,"service":"web","max_attempts":1}],
		"services":[{"name":"web","max_connections":100}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"wa","api_keys":["key-1"],"priority":1,"unit":"requests","rate_per_s":1000000,"burst":1000000}]}`, bodyLimit))
	r, err := stand.NewReplica("i-1", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	r.Slots = 32
	s.Register(r, "web")
	callers, ready := freeAddress(t), freeAddress(t)
	file := write(t, dir, "front.yaml", fmt.Sprintf(`name: front
region: r
data-centre: z1
callers: %q
readiness: %q
peer: %q
store: %q
grace-ms: 8000
memory-mib: %d
descriptors: %d
retry-ratio: 0.2
retry-slack: 50
retry-window-ms: 10000
`, callers, ready, freeAddress(t), strings.TrimPrefix(h.URL, "http://"), frontMemory, frontDescriptors))
	p := &process{t: t, name: "front", log: filepath.Join(dir, "front.log"), memoryLimit: frontMemory << 20, descriptorLimit: frontDescriptors}
	p.start([]string{callers}, build(t, dir, "front"), "--settings", file)
	awaitReady(t, "http://"+ready+"/readyz")
	return p, request{
		address: callers,
		head: func(id string) string {
			return "POST /do/a HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id + "\r\nApi-Key: key-1\r\nDeadline-Ms: 60000\r\n"
		},
		ran: r.Runs,
	}
}

// awaitReady waits until a readiness check succeeds.
func awaitReady(t *testing.T, url string) {
	t.Helper()
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		a, err := http.Get(url)
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatalf("%s isn't ready", url)
}

// runCrowd runs a crowd before processes and checks what must hold.
func runCrowd(t *testing.T, pat pattern, q request, ps ...*process) {
	t.Helper()
	checkOrdinary(t, q, bodyLimit)
	startCrowd(t, pat, q).settle()
	checkOrdinary(t, q, 0)
	checkOrdinary(t, q, bodyLimit)
	for _, p := range ps {
		p.check()
	}
}

// Pattern: many callers whose bodies don't end. Guards against a front that exceeds its memory or its
// descriptors, or refuses ordinary requests for as long as the callers stay.
func TestFrontBeforeCrowd(t *testing.T) {
	for _, pat := range patterns {
		t.Run(strings.ReplaceAll(pat.name, " ", "-"), func(t *testing.T) {
			p, q := newFront(t)
			runCrowd(t, pat, q, p)
		})
	}
}
