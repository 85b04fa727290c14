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

// Platform simulates the service that publishes the configuration document and the
// instance list of entries and agents. It is safe for concurrent use.
//
// GET /v1/NAME returns a value with its hash as ETag. A read with If-None-Match and
// "Prefer: wait=SECONDS" waits for a change and returns 304 if there is none in that
// time. Operators write values by PUT /admin/NAME, set faults by POST
// /admin/mode/MODE (up, down, stale) and get the number of reads from GET
// /admin/reads.
type Platform struct {
	mux *http.ServeMux

	mu     sync.Mutex
	values map[string][]byte
	change chan struct{}
	down   bool
	stale  map[string][]byte
	reads  int
}

// Names of the published values. They are part of the paths.
const (
	Configuration = "configuration"
	InstanceList  = "instances"
)

// NewPlatform returns a platform that publishes the given values. Reads of a nil value
// fail with status 503.
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

// Publish replaces the value with the given name and wakes waiting reads.
func (p *Platform) Publish(name string, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = b
	p.notify()
}

// SetDown sets whether all reads fail with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// SetStale sets whether reads return the values as of this call, regardless of later
// Publish calls.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		p.stale = map[string][]byte{Configuration: p.values[Configuration], InstanceList: p.values[InstanceList]}
	}
	p.notify()
}

// Reads returns the number of reads so far. A read that waits counts once.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// notify wakes all waiting reads. p.mu must be held.
func (p *Platform) notify() {
	close(p.change)
	p.change = make(chan struct{})
}

// read returns a value as readers see it now, and a channel that is closed on the next
// change.
func (p *Platform) read(name string) (b []byte, down bool, change <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b = p.values[name]
	if p.stale != nil {
		b = p.stale[name]
	}
	return b, p.down, p.change
}

// get serves a read, which may wait for a change.
func (p *Platform) get(w http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	end := time.After(preferredWait(q))
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

// preferredWait returns how long a read waits for a change, from its Prefer header.
func preferredWait(q *http.Request) time.Duration {
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

// put serves a write of an operator.
func (p *Platform) put(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Publish(q.PathValue("name"), b)
}

// mode sets or clears the simulated faults.
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
