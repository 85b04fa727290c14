package stand

import (
	"io"
	"net/http"
	"time"
)

// Service is a plain service. It counts its calls by request id and answers with
// what it was sent.
type Service struct {
	delay   time.Duration
	journal *journal
	mux     *http.ServeMux
}

// NewService returns a service that takes so long for each call.
func NewService(delay time.Duration) *Service {
	s := &Service{delay: delay, journal: newJournal(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Journal())
	})
	s.mux.HandleFunc("/", s.call)
	return s
}

// Journal returns what the service ran so far.
func (s *Service) Journal() Journal { return s.journal.copy() }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, q *http.Request) { s.mux.ServeHTTP(w, q) }

func (s *Service) call(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.journal.ran(id, Fingerprint(string(b)))
	time.Sleep(s.delay)
	s.journal.update(func(j *Journal) { j.CompletedByID[id]++ })
	writeJSON(w, http.StatusOK, map[string]string{"method": q.Method, "path": q.URL.RequestURI(), "body": string(b)})
}
