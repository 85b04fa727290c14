package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault of a replica in serving one request.
type Fault string

// Faults of replicas. All but Full run the request.
const (
	NoFault Fault = ""
	// Full rejects the request with 503 and reports that it was not executed.
	Full Fault = "full"
	// Failing responds with 500.
	Failing Fault = "failing"
	// TruncateStream closes the connection in the middle of the third event of a stream.
	TruncateStream Fault = "cut-events"
	// TruncateBody closes the connection before the end of the body of a plain response.
	TruncateBody Fault = "cut-body"
	// Disconnect closes the connection without a response.
	Disconnect Fault = "lost"
	// WrongID responds with the id and the receipt of another request.
	WrongID Fault = "foreign"
	// NoReceipt responds without a receipt.
	NoReceipt Fault = "unsigned"
	// ExtraResponse sends a second response after a plain one.
	ExtraResponse Fault = "extra"
	// Hang never responds.
	Hang Fault = "mute"
)

// Replica simulates one replica of a service on the users' platform. It serves HTTP/1.1
// on raw TCP connections, so that it can violate the protocol. It is safe for
// concurrent use; the exported fields must not be changed while requests are served.
type Replica struct {
	ID string
	// Events is the number of events in a streamed response. If 0, responses are
	// plain.
	Events int
	// Delay is the time before each event, or before a plain response. SetDelay changes it once requests arrive.
	Delay time.Duration
	// Version is the version of the replica's software, which the store lists. Streams of
	// different versions differ. If empty, it is listed as DefaultVersion.
	Version string
	// Born tells successive processes with the same ID apart; 0 if the store doesn't list it.
	Born int64
	// Zone is the data centre that the store lists; if empty, z1. ColdMs is the rest of the
	// replica's warm-up that it lists.
	Zone   string
	ColdMs int
	// Slots is the number of requests that the store lists; if 0, replicaSlots.
	Slots int
	// Answer, unless it is nil, answers the requests that the replica runs. Head has the header lines
	// of all responses. It reports false if the connection must be closed.
	Answer func(c net.Conn, q *http.Request, head string) bool

	listener net.Listener
	faults   *faults
	mu       sync.Mutex
	runs     map[string]int
	// took holds the faults that the runs of each id took.
	took     map[string][]Fault
	requests []*http.Request
	arrivals []Arrival
	conns    map[net.Conn]bool
	// limit is the header line with the limit that responses name, or "".
	limit   string
	notices notices
	silence silence
	crash   crash
	reports reports
}

// faults holds the fault of the next requests and the number left of them. Replicas may
// share it.
type faults struct {
	mu   sync.Mutex
	next Fault
	left int
	// pauseEvent and pauseTime belong to the fault silent.
	pauseEvent int
	pauseTime  time.Duration
}

// take returns the fault of one request and counts it down.
func (f *faults) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == 0 {
		return NoFault
	}
	f.left--
	return f.next
}

// NewReplica returns a replica that serves on a free port of the loopback address.
func NewReplica(id string, events int, delay time.Duration) (*Replica, error) {
	return NewReplicaAt("127.0.0.1:0", id, events, delay)
}

// NewReplicaAt returns a replica that serves on an address. Replicas that crash need one that
// no other server takes after the crash, while the store still lists it.
func NewReplicaAt(address, id string, events int, delay time.Duration) (*Replica, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	r := &Replica{ID: id, Events: events, Delay: delay, listener: l, faults: &faults{}, runs: map[string]int{}, took: map[string][]Fault{}, conns: map[net.Conn]bool{}, reports: reports{ended: map[string]time.Time{}}}
	go r.run()
	return r, nil
}

// Address returns the address that the replica serves on, as IP:port.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Inject injects a fault into the next n requests. It replaces earlier faults.
func (r *Replica) Inject(f Fault, n int) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	r.faults.next, r.faults.left = f, n
}

// SetLimit makes responses name a limit, as the text of a decimal number of requests a
// second; "" ends it.
func (r *Replica) SetLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit = ""; perSecond != "" {
		r.limit = "Server-Limit: " + perSecond + "\r\n"
	}
}

// SetDelay sets Delay while requests are running.
func (r *Replica) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Delay = d
}

func (r *Replica) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Delay
}

// ShareFaults makes o share the faults of r: the next request at either replica takes the
// next fault. It must be called before any requests.
func (r *Replica) ShareFaults(o *Replica) { o.faults = r.faults }

// Runs returns how often the request with an id was run. The id is that of the
// Attempt-Id header.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Took reports whether a run of the request with an id took the fault.
func (r *Replica) Took(id string, f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.took[id], f)
}

// Requests returns the heads of all requests that were run, in order.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.requests...)
}

// Arrival is a request that reached a replica, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
	// Misdirected is true if it names another replica, so that it was answered with 421.
	Misdirected bool
}

// Arrivals returns all requests that reached the replica, in order.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Connections returns the number of open connections.
func (r *Replica) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close stops the replica and closes all connections, also those with responses in
// progress.
func (r *Replica) Close() error {
	err := r.listener.Close()
	r.Pause(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // an error means that it is closed already
	}
	return err
}

// run accepts connections until Close.
func (r *Replica) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		r.mu.Lock()
		r.conns[c] = true
		if r.crash.down { // accepted just before the crash
			ResetConn(c)
		}
		r.mu.Unlock()
		go r.loop(&pausedConn{c, &r.silence})
	}
}

// loop serves one connection.
func (r *Replica) loop(c *pausedConn) {
	defer func() {
		_ = c.Close() // an error means that it is closed already
		r.mu.Lock()
		delete(r.conns, c.Conn)
		r.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !r.serve(c, q, string(body)) {
			return
		}
	}
}

// receive takes the fault of a request and records the request as run, unless it is
// rejected. It also returns the header lines that the replica says of itself.
func (r *Replica) receive(q *http.Request) (f Fault, says string) {
	f = r.faults.take()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{q.Header.Get("Attempt-Id"), time.Now(), q.Header.Get("Expect-Replica") != r.ID})
	if (!f.turnsAway() || f == TurnsAwayRan) && q.Header.Get("Expect-Replica") == r.ID {
		id := q.Header.Get("Attempt-Id")
		r.runs[id]++
		if f != NoFault {
			r.took[id] = append(r.took[id], f)
		}
		r.requests = append(r.requests, q)
	}
	return f, r.limit + r.notices.leaving
}

// serve responds to one request. It reports false if the connection must be closed.
func (r *Replica) serve(c *pausedConn, q *http.Request, body string) bool {
	if isReport(q) {
		return r.sendReport(c, q)
	}
	f, says := r.receive(q)
	id := q.Header.Get("Attempt-Id")
	if q.Header.Get("Expect-Replica") != r.ID {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.ID)
	}
	head := fmt.Sprintf("Attempt-Id: %s\r\nReplica-Stamp: %s.%s\r\n%s", id, r.ID, id, says)
	if f.turnsAway() {
		return r.turnAway(c, f, id, says, head)
	}
	if r.Answer != nil {
		defer r.beginRun(id)()
		return r.Answer(c, q, head)
	}
	if sendEndless(c, f, head) {
		return false
	}
	switch f {
	case Failing:
		return write(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 6\r\n\r\nfailed", head)
	case Declining:
		return write(c, "HTTP/1.1 400 Bad Request\r\n%sContent-Length: 8\r\n\r\ndeclined", head)
	case Disconnect:
		return false
	case Hang:
		_, err := c.Read(make([]byte, 1))
		return err == nil
	case WrongID:
		head = fmt.Sprintf("Attempt-Id: other\r\nReplica-Stamp: %s.other\r\n", r.ID)
	case NoReceipt:
		head = fmt.Sprintf("Attempt-Id: %s\r\n", id)
	}
	r.pauseAt(f, 0)
	if r.poisoned(q, body) {
		time.Sleep(crashDelay)
		r.Crash()
		return false
	}
	if r.Events > 0 {
		defer r.beginRun(id)()
		return r.stream(c, q, f, head)
	}
	time.Sleep(r.delay())
	b := PlainBody(r.ID, q)
	if f.unframed() {
		unframedPlain(c, b, f, head)
		return false
	}
	if f == TruncateBody {
		write(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(b)+10, b)
		return false
	}
	ok := write(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
	if f == ExtraResponse {
		write(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nextra", head)
	}
	return ok
}

// PlainBody returns the body of a plain response by the replica with an id.
func PlainBody(id string, q *http.Request) string {
	return fmt.Sprintf("%s %s %s", id, q.Method, q.RequestURI)
}

// DefaultVersion is the version of replicas that have none of their own.
const DefaultVersion = "v1"

// EventText returns event n of a stream, from 1, as replicas of DefaultVersion send it.
func EventText(n int) string { return VersionEventText("", n) }

// VersionEventText returns event n of a stream, from 1, as replicas of a version send it.
func VersionEventText(version string, n int) string {
	if version == "" || version == DefaultVersion {
		return fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
	}
	return fmt.Sprintf("id: %d\ndata: part %d by %s\n\n", n, n, version)
}

// stream sends the events that follow the request's Last-Event-Id, or all of them. It
// reports false if the connection must be closed.
func (r *Replica) stream(c *pausedConn, q *http.Request, f Fault, head string) bool {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // absent: 0, the start of the stream
	if f.unframed() {
		r.unframedStream(c, from, f, head)
		return false
	}
	if !write(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head) {
		return false
	}
	for n := from + 1; n <= r.Events; n++ {
		time.Sleep(r.delay())
		r.pauseAt(f, n-from)
		t := VersionEventText(r.Version, n)
		if f == TruncateStream && n == from+3 {
			t = strings.TrimSuffix(t, "\n\n")
			write(c, "%x\r\n%s\r\n", len(t), t)
			return false
		}
		if !write(c, "%x\r\n%s\r\n", len(t), t) {
			return false
		}
	}
	return write(c, "0\r\n\r\n")
}

// write reports whether it could write the formatted text.
func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}
