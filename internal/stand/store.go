package stand

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the store of the users' platform: keys that are read, listed
// and watched. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	status    int
	silent    bool
	changed   chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put writes a key.
func (s *Store) Put(key string, value []byte) {
	s.change(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// Register lists a replica of a service, ready for work.
func (s *Store) Register(r *Replica, service string) { s.register(r, service, "ready") }

// Drain lists a replica of a service as one that is leaving.
func (s *Store) Drain(r *Replica, service string) { s.register(r, service, "draining") }

// replicaSlots is how many requests a listed replica runs at once.
const replicaSlots = 4

func (s *Store) register(r *Replica, service, state string) {
	s.Put("servers/"+r.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		service, r.Address(), replicaSlots, state))
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.change(storeItem{Key: key, Deleted: true}) }

func (s *Store) change(i storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	s.items[i.Key] = i
	if i.Deleted {
		delete(s.items, i.Key)
	}
	s.events = append(s.events, i)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, as a store does that compacts it.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.events = s.revision, nil
}

// Fail makes all calls return a status; 0 ends that.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.wake()
}

// SetUnresponsive makes all calls hang until it ends.
func (s *Store) SetUnresponsive(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status, silent := s.status, s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.URL.Path {
	case "/kv-key":
		s.key(w, r)
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller is gone if this fails.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		storeItem
		At uint64 `json:"at"`
	}{i, s.revision})
}

// storePage is how many items a page holds; small, so that tests see several.
const storePage = 3

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	is := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			is = append(is, i)
		}
	}
	sort.Slice(is, func(a, b int) bool { return is[a].Key < is[b].Key })
	more := len(is) > storePage
	if more {
		is = is[:storePage]
	}
	reply(w, map[string]any{"items": is, "has_more": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for {
		es, at, gone, changed := s.since(after, q.Get("prefix"))
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(es) > 0 {
			reply(w, map[string]any{"events": es, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
			reply(w, map[string]any{"events": es, "at": at})
			return
		case <-changed:
		}
	}
}

func (s *Store) since(after uint64, prefix string) (es []storeItem, at uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	es = []storeItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			es = append(es, e)
		}
	}
	return es, s.revision, after < s.forgotten, s.changed
}
