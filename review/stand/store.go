package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it stands in answers.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store: keys with revisions, pages, watches and an era.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      uint64
	items    map[string]item
	events   []item
	// compacted is the revision up to which changes are no longer available.
	compacted uint64
	away      bool
	changed   chan struct{}
	listener  net.Listener
	conns     map[net.Conn]bool
}

// snapshot is a copy of the store's contents.
type snapshot struct {
	items    map[string]item
	revision uint64
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, era: 1, items: map[string]item{}, changed: make(chan struct{}), listener: l, conns: map[net.Conn]bool{}}
	h := &http.Server{Handler: s, ConnState: func(c net.Conn, t http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch t {
		case http.StateNew:
			s.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = h.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key. It returns false while the store is away: nothing was written then.
func (s *store) put(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
	return true
}

// remove deletes a key. It returns false while the store is away.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(item{Key: key, Deleted: true})
	return true
}

func (s *store) apply(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if o, ok := s.items[i.Key]; ok {
		i.Created = o.Created
	}
	s.items[i.Key] = i
	if i.Deleted {
		delete(s.items, i.Key)
	}
	s.events = append(s.events, i)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copied returns a copy of the store's contents.
func (s *store) copied() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{maps.Clone(s.items), s.revision}
}

// leave makes the store unavailable: calls are answered 503 and watches are cut.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
	for c := range s.conns {
		_ = c.Close()
	}
}

// comeBack makes the store available again, from the copy c unless it is nil. The era rises then, and
// revisions go back to that of the copy.
func (s *store) comeBack(c *snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if c != nil {
		s.era++
		s.items, s.revision, s.compacted, s.events = maps.Clone(c.items), c.revision, c.revision, nil
	}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	if s.away {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Unlock()
	switch q := r.URL.Query(); r.URL.Path {
	case "/kv-key":
		s.key(w, q.Get("key"))
	case "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		item
		At uint64 `json:"at"`
	}{i, s.revision})
}

// storePage is the number of items of a page.
const storePage = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	is := []item{}
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(k, prefix) && k > after {
			is = append(is, s.items[k])
		}
	}
	more := len(is) > storePage
	if more {
		is = is[:storePage]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": is, "has_more": more, "at": s.revision})
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
	for over := false; ; {
		s.mu.Lock()
		es := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				es = append(es, e)
			}
		}
		at, changed := s.revision, s.changed
		gone, away := after < s.compacted || after > s.revision, s.away
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(es) > 0 || over:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": es, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
			over = true
		case <-changed:
		}
	}
}
