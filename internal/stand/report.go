package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// pathReport is the path of a replica's report.
const pathReport = "/report"

// reports holds what a replica's report lists.
type reports struct {
	// age is how old reports are.
	age time.Duration
	// ended is when each run ended; the zero time for those that go on.
	ended map[string]time.Time
}

// SetReportAge sets how old the replica's reports are. They then list each run for that long
// after its end.
func (r *Replica) SetReportAge(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports.age = d
}

// beginRun notes that the replica runs a request. The result is called at its end.
func (r *Replica) beginRun(id string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports.ended[id] = time.Time{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reports.ended[id] = time.Now()
	}
}

// isReport reports whether a request asks for the replica's report.
func isReport(q *http.Request) bool { return q.Method == http.MethodGet && q.URL.Path == pathReport }

// sendReport sends the replica's report. It reports false if the connection must be closed.
func (r *Replica) sendReport(c net.Conn, q *http.Request) bool {
	if id := q.Header.Get("Expect-Replica"); id != "" && id != r.ID {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	r.mu.Lock()
	runs := [][]any{}
	for id, at := range r.reports.ended {
		if at.IsZero() || time.Since(at) < r.reports.age {
			runs = append(runs, []any{id, 100, 1, 0})
		}
	}
	r.mu.Unlock()
	b, err := json.Marshal(map[string]any{"stage": "colocated", "running": len(runs), "runs": runs})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	return write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}
