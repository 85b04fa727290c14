package stand

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store simulates the key-value store of the users' platform. It is safe for concurrent
// use.
//
// Each change of a key increments the store's revision. GET /kv-key returns a key, GET
// /kv-range a page of the keys with a prefix, and GET /kv-watch the changes after a
// revision; if there are none yet, it waits up to wait_ms milliseconds for one. A watch
// from a revision whose changes were compacted is refused with status 410.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	// Changes with revisions up to compacted are no longer available.
	compacted    uint64
	status       int
	unresponsive bool
	// era is the number of restorations.
	era     uint64
	changed chan struct{}
	// reports counts the entries that were written of each process of a replica.
	reports map[string]int
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]storeItem{}, reports: map[string]int{}, changed: make(chan struct{})}
}

// Put sets the value of a key.
func (s *Store) Put(key string, value []byte) {
	s.apply(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// PutText sets the value of a key as it stands in responses, where it should be in base64.
func (s *Store) PutText(key, value string) { s.apply(storeItem{Key: key, Value: value}) }

// Register registers a replica of a service that is ready for requests.
func (s *Store) Register(r *Replica, service string) { s.putReplica(r, service, "ready") }

// Drain registers a replica of a service that is draining.
func (s *Store) Drain(r *Replica, service string) { s.putReplica(r, service, "draining") }

// replicaSlots is the number of requests that a registered replica runs at once.
const replicaSlots = 4

// putReplica writes the key of a replica with a state.
func (s *Store) putReplica(r *Replica, service, state string) {
	version := r.Version
	if version == "" {
		version = DefaultVersion
	}
	born := ""
	if r.Born != 0 {
		born = fmt.Sprintf(`,"born":%d`, r.Born)
	}
	process := fmt.Sprint(r.ID, " ", r.Born)
	s.mu.Lock()
	s.reports[process]++
	n := s.reports[process]
	s.mu.Unlock()
	s.Put("servers/"+r.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_remaining_ms":%d,"sequence":%d%s}`,
		service, r.Address(), cmp.Or(r.Zone, "z1"), version, cmp.Or(r.Slots, replicaSlots), state, r.ColdMs, n, born))
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.apply(storeItem{Key: key, Deleted: true}) }

// apply makes a change under the next revision.
func (s *Store) apply(i storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	s.items[i.Key] = i
	if i.Deleted {
		delete(s.items, i.Key)
	}
	s.events = append(s.events, i)
	s.notify()
}

// notify wakes all watches. s.mu must be held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history of changes, as a store does when it compacts.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.events = s.revision, nil
}

// Backup returns a function that restores the store to what it holds now, under a new era, as
// after a loss of the newer changes. Revisions are given out again.
func (s *Store) Backup() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, revision := maps.Clone(s.items), s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.items, s.revision, s.compacted, s.events = maps.Clone(items), revision, revision, nil
		s.era++
		s.notify()
	}
}

// Fail makes new calls return an HTTP status; 0 ends the fault.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.notify()
}

// SetUnresponsive sets whether new calls hang until their callers give up.
func (s *Store) SetUnresponsive(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = on
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status, unresponsive, era := s.status, s.unresponsive, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if unresponsive {
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

// reply writes v as JSON with status 200.
func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// key serves a read of one key.
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

// storePage is the number of items in a page; small, so that tests get several pages.
const storePage = 3

// list serves one page of the keys with a prefix, in order.
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

// watch serves the changes after a revision, or none when wait_ms expires.
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

// since returns the changes after a revision to keys with a prefix, the current
// revision, whether the store lacks that revision or compacted some of those changes, and a
// channel that is closed on the next change.
func (s *Store) since(after uint64, prefix string) (es []storeItem, at uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	es = []storeItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			es = append(es, e)
		}
	}
	return es, s.revision, after < s.compacted || after > s.revision, s.changed
}
