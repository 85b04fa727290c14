package stand

import (
	"io"
	"net/http"
	"time"
)

// Service simulates a plain HTTP service. It responds to each call with the call's
// method, path and body as JSON, and records it in a journal, which GET /journal
// returns. It is safe for concurrent use.
type Service struct {
	delay   time.Duration
	journal *journal
	mux     *http.ServeMux
}

// NewService returns a service whose calls each take delay.
func NewService(delay time.Duration) *Service {
	s := &Service{delay: delay, journal: newJournal(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Journal())
	})
	s.mux.HandleFunc("/", s.call)
	return s
}

// Journal returns a copy of the service's journal.
func (s *Service) Journal() Journal { return s.journal.copy() }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, q *http.Request) { s.mux.ServeHTTP(w, q) }

// call serves one call.
func (s *Service) call(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.journal.recordRun(id, Fingerprint(string(b)))
	time.Sleep(s.delay)
	s.journal.update(func(j *Journal) { j.CompletedByID[id]++ })
	writeJSON(w, http.StatusOK, map[string]string{"method": q.Method, "path": q.URL.RequestURI(), "body": string(b)})
}
