package stand

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Platform publishes the configuration document and the instance list. Only its
// operators write to it, by Publish or PUT under /admin.
type Platform struct {
	mux *http.ServeMux

	mu     sync.Mutex
	values map[string][]byte
	change chan struct{}
	down   bool
	stale  map[string][]byte
	reads  int
}

// Names of the published values, as in their paths.
const (
	Configuration = "configuration"
	InstanceList  = "instances"
)

// NewPlatform returns a platform with the given values.
func NewPlatform(configuration, instances []byte) *Platform {
	p := &Platform{
		mux:    http.NewServeMux(),
		values: map[string][]byte{Configuration: configuration, InstanceList: instances},
		change: make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/{name}", p.get)
	p.mux.HandleFunc("PUT /admin/{name}", p.put)
	p.mux.HandleFunc("POST /admin/mode/{mode}", p.mode)
	p.mux.HandleFunc("GET /admin/reads", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"reads": p.Reads()})
	})
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, q *http.Request) { p.mux.ServeHTTP(w, q) }

// Publish replaces a value.
func (p *Platform) Publish(name string, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = b
	p.wake()
}

// SetDown makes all reads fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes reads return the values of now, whatever is published later, or
// makes them current again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		p.stale = map[string][]byte{Configuration: p.values[Configuration], InstanceList: p.values[InstanceList]}
	}
	p.wake()
}

// Reads returns the number of calls, each waiting watch counted as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) wake() {
	close(p.change)
	p.change = make(chan struct{})
}

// read returns a value as readers see it now, and what tells of the next change.
func (p *Platform) read(name string) (b []byte, down bool, change <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b = p.values[name]
	if p.stale != nil {
		b = p.stale[name]
	}
	return b, p.down, p.change
}

func (p *Platform) get(w http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	end := time.After(wait(q))
	for {
		b, down, change := p.read(q.PathValue("name"))
		if down || b == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		tag := `"` + strconv.FormatUint(xxhash.Sum64(b), 16) + `"`
		if tag != q.Header.Get("If-None-Match") {
			w.Header().Set("ETag", tag)
			_, _ = w.Write(b)
			return
		}
		select {
		case <-change:
		case <-q.Context().Done():
			return
		case <-end:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// wait returns how long a read prefers to wait for a change.
func wait(q *http.Request) time.Duration {
	v, ok := strings.CutPrefix(q.Header.Get("Prefer"), "wait=")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

func (p *Platform) put(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Publish(q.PathValue("name"), b)
}

func (p *Platform) mode(w http.ResponseWriter, q *http.Request) {
	switch q.PathValue("mode") {
	case "up":
		p.SetDown(false)
		p.SetStale(false)
	case "down":
		p.SetDown(true)
	case "stale":
		p.SetStale(true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
