// Package stand simulates the services that kingcupstand depends on, for tests, load
// runs and local trials.
//
// For entries and agents there are Engine (a model engine with continuous batching and
// a prefix cache), Service (a plain HTTP service) and Platform (the service that
// publishes configuration and instance list). For fronts there are Store (the key-value
// store of the users' platform) and Replica (a replica of a service on that platform).
//
// The stand-ins implement the published protocols, and most can inject faults. Targets
// record what they ran, so that a test can compare it with the responses that callers
// received. An engine and a service keep a Journal; a replica counts its runs. The
// content of a response depends on the request, so that a test can check that a response
// belongs to its request.
//
// Store and Replica use that platform's own words for what its wire names: a server that
// is "draining", a "zone", an attempt's id and the replica's stamp (the receipt).
//
// # Usage
//
//	e := stand.NewEngine(stand.EngineConfig{
//		Step: 4 * time.Millisecond, PrefillPerStep: 256, Batch: 8, CacheTokens: 20_000,
//	})
//	defer e.Close()
//	http.Serve(listener, e)
//	j := e.Journal() // what the engine ran
package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Journal records what a target ran.
type Journal struct {
	// RunsByID counts the requests received with each request id.
	RunsByID map[string]int `json:"runs"`
	// RunsByContent counts the requests received with each content, by ContentKey of its
	// Fingerprint. It reveals a request that was run under two ids, as no two requests of a
	// test have the same content.
	RunsByContent map[string]int `json:"works"`
	// CompletedByID counts the complete responses for each request id.
	CompletedByID map[string]int `json:"finished"`
	// PrefillTokens, CachedTokens and WastedTokens count prompt tokens: those computed,
	// those found in the prefix cache, and those computed for responses that were not
	// completed.
	PrefillTokens int `json:"prefill"`
	CachedTokens  int `json:"cached"`
	WastedTokens  int `json:"wasted"`
	// OutputTokens counts the generated tokens.
	OutputTokens int `json:"output"`
}

// journal is a Journal that is safe for concurrent use.
type journal struct {
	mu     sync.Mutex
	counts Journal
}

func newJournal() *journal {
	return &journal{counts: Journal{
		RunsByID:      make(map[string]int),
		RunsByContent: make(map[string]int),
		CompletedByID: make(map[string]int),
	}}
}

// update calls f with the lock held.
func (j *journal) update(f func(*Journal)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(&j.counts)
}

// copy returns a copy that later updates do not change.
func (j *journal) copy() Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.counts
	c.RunsByID = maps.Clone(j.counts.RunsByID)
	c.RunsByContent = maps.Clone(j.counts.RunsByContent)
	c.CompletedByID = maps.Clone(j.counts.CompletedByID)
	return c
}

// recordRun counts a received request by its id and the fingerprint of its content.
func (j *journal) recordRun(id string, content uint64) {
	j.update(func(j *Journal) {
		j.RunsByID[id]++
		j.RunsByContent[ContentKey(content)]++
	})
}

// ContentKey returns the key of a fingerprint in a Journal: its hexadecimal form.
func ContentKey(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// writeJSON writes a response. An error means that the caller is gone.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
