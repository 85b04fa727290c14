package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePage is the largest number of items in a page.
const storePage = 500

// item is a key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store: GET /kv-key, /kv-range and /kv-watch.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// silent is true while the store answers nothing.
	silent  bool
	changed chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put sets the value of a key. A store that is silent can't be written to.
func (s *store) put(key string, value []byte) bool {
	return s.apply(item{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// remove removes a key.
func (s *store) remove(key string) bool { return s.apply(item{Key: key, Deleted: true}) }

func (s *store) apply(i item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	s.notify()
	return true
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent begins or ends an outage in which the store answers no call.
func (s *store) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.notify()
}

// blocked waits while the store is silent, and reports false if the caller has left meanwhile. An answer to a
// call that was made during an outage is lost with it.
func (s *store) blocked(r *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	if s.blocked(r) {
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
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller is gone
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		At uint64 `json:"at"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	is := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			is = append(is, i)
		}
	}
	sort.Slice(is, func(a, b int) bool { return is[a].Key < is[b].Key })
	more := len(is) > storePage
	reply(w, map[string]any{"items": is[:min(len(is), storePage)], "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for expired := false; ; {
		es, at, changed := s.since(after, q.Get("prefix"))
		if s.blocked(r) {
			return
		}
		if len(es) > 0 || expired {
			reply(w, map[string]any{"events": es, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
			expired = true
		case <-changed:
		}
	}
}

func (s *store) since(after uint64, prefix string) (es []item, at uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	es = []item{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			es = append(es, e)
		}
	}
	return es, s.revision, s.changed
}
