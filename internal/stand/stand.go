// Package stand has small stand-ins for what kingcupstand serves and reads: a
// model engine, a plain service and the platform. They speak the published
// protocols and keep a journal of what they ran, so that a test can tell what
// really happened from what callers were told.
//
// # Usage
//
//	e := stand.NewEngine(stand.EngineConfig{Step: 4 * time.Millisecond, Batch: 8})
//	defer e.Close()
//	http.Serve(listener, e)
//	j := e.Journal()
package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Journal is what a target ran.
type Journal struct {
	// RunsByID counts the dispatches of each request id.
	RunsByID map[string]int `json:"runs"`
	// RunsByContent counts the dispatches of each content, by its Fingerprint in
	// hexadecimal. Two requests of a test never have the same content.
	RunsByContent map[string]int `json:"works"`
	// CompletedByID counts the whole answers of each request id.
	CompletedByID map[string]int `json:"finished"`
	// Prefill, Cached and Wasted are prompt tokens: computed, found in the prefix
	// cache, and computed for answers that were not finished.
	PrefillTokens int `json:"prefill"`
	CachedTokens  int `json:"cached"`
	WastedTokens  int `json:"wasted"`
	// OutputTokens is the number of tokens generated.
	OutputTokens int `json:"output"`
}

// journal is a Journal that several goroutines write.
type journal struct {
	mu sync.Mutex
	j  Journal
}

func newJournal() *journal {
	return &journal{j: Journal{
		RunsByID:      make(map[string]int),
		RunsByContent: make(map[string]int),
		CompletedByID: make(map[string]int),
	}}
}

func (j *journal) update(f func(*Journal)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(&j.j)
}

// copy returns a journal that does not change any more.
func (j *journal) copy() Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.j
	c.RunsByID = maps.Clone(j.j.RunsByID)
	c.RunsByContent = maps.Clone(j.j.RunsByContent)
	c.CompletedByID = maps.Clone(j.j.CompletedByID)
	return c
}

// ran notes the dispatch of a request.
func (j *journal) ran(id string, work uint64) {
	j.update(func(j *Journal) {
		j.RunsByID[id]++
		j.RunsByContent[ContentKey(work)]++
	})
}

// ContentKey returns the form of a fingerprint in a Journal.
func ContentKey(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
