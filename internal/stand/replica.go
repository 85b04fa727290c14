package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a replica does wrong with its next requests.
type Fault string

// Misdeeds of replicas.
const (
	NoFault Fault = ""
	// Full rejects the request and promises that it has not run.
	Full Fault = "full"
	// Failing runs the request and answers 500.
	Failing Fault = "failing"
	// TruncateStream ends the connection within the third event of a stream.
	TruncateStream Fault = "cut-events"
	// TruncateBody ends the connection within the body of a plain answer.
	TruncateBody Fault = "cut-body"
	// Disconnect runs the request and closes the connection without an answer.
	Disconnect Fault = "lost"
	// WrongID answers with another request's id.
	WrongID Fault = "foreign"
	// NoReceipt answers without a receipt.
	NoReceipt Fault = "unsigned"
	// ExtraResponse sends a second answer behind the first.
	ExtraResponse Fault = "extra"
	// Hang runs the request and never answers.
	Hang Fault = "mute"
)

// Replica stands in for a replica on the users' platform.
type Replica struct {
	ID string
	// Events is the length of a stream; 0 makes it a plain service.
	Events int
	// Delay is the time between two events, and to a plain answer.
	Delay time.Duration

	listen  net.Listener
	trouble *trouble
	mu      sync.Mutex
	runs    map[string]int
	seen    []*http.Request
	conns   map[net.Conn]bool
}

// trouble is what the next requests meet, at one replica or several.
type trouble struct {
	mu   sync.Mutex
	next Fault
	left int
}

// take returns what a request meets.
func (t *trouble) take() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == 0 {
		return NoFault
	}
	t.left--
	return t.next
}

// NewReplica returns a replica on a loopback address.
func NewReplica(id string, events int, pause time.Duration) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	r := &Replica{ID: id, Events: events, Delay: pause, listen: l, trouble: &trouble{}, runs: map[string]int{}, conns: map[net.Conn]bool{}}
	go r.run()
	return r, nil
}

// Address returns IP:port.
func (r *Replica) Address() string { return r.listen.Addr().String() }

// Inject makes the next n requests meet a misdeed.
func (r *Replica) Inject(m Fault, n int) {
	r.trouble.mu.Lock()
	defer r.trouble.mu.Unlock()
	r.trouble.next, r.trouble.left = m, n
}

// ShareFaults makes another replica's requests meet the misdeeds as well: whichever
// gets the next request commits the next one. It must be called before requests.
func (r *Replica) ShareFaults(o *Replica) { o.trouble = r.trouble }

// Runs returns how often the request with an id was run.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Requests returns the heads of all requests that were run.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.seen...)
}

// Connections returns how many connections are open.
func (r *Replica) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close ends the replica and cuts all answers.
func (r *Replica) Close() error {
	err := r.listen.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // it ends either way
	}
	return err
}

func (r *Replica) run() {
	for {
		c, err := r.listen.Accept()
		if err != nil {
			return // closed
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.loop(c)
	}
}

// loop serves one connection.
func (r *Replica) loop(c net.Conn) {
	defer func() {
		_ = c.Close() // nothing is left to say
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !r.serve(c, q) {
			return
		}
	}
}

// misdeed takes what the next request meets, and counts the request if it runs.
func (r *Replica) misdeed(q *http.Request) Fault {
	m := r.trouble.take()
	r.mu.Lock()
	defer r.mu.Unlock()
	if m != Full && q.Header.Get("Expect-Replica") == r.ID {
		r.runs[q.Header.Get("Attempt-Id")]++
		r.seen = append(r.seen, q)
	}
	return m
}

// serve answers one request. It reports false if the connection is to end.
func (r *Replica) serve(c net.Conn, q *http.Request) bool {
	m := r.misdeed(q)
	id := q.Header.Get("Attempt-Id")
	if q.Header.Get("Expect-Replica") != r.ID {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
	}
	head := fmt.Sprintf("Attempt-Id: %s\r\nReplica-Stamp: %s.%s\r\n", id, r.ID, id)
	switch m {
	case Full:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case Failing:
		return write(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 6\r\n\r\nfailed", head)
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
	if r.Events > 0 {
		return r.stream(c, q, m, head)
	}
	time.Sleep(r.Delay)
	b := PlainBody(r.ID, q)
	if m == TruncateBody {
		write(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(b)+10, b)
		return false
	}
	ok := write(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
	if m == ExtraResponse {
		write(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nextra", head)
	}
	return ok
}

// PlainBody is the body of a plain answer.
func PlainBody(id string, q *http.Request) string {
	return fmt.Sprintf("%s %s %s", id, q.Method, q.RequestURI)
}

// EventText is the event with a number, as replicas send it.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n) }

func (r *Replica) stream(c net.Conn, q *http.Request, m Fault, head string) bool {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // none means from the start
	if !write(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head) {
		return false
	}
	for n := from + 1; n <= r.Events; n++ {
		time.Sleep(r.Delay)
		t := EventText(n)
		if m == TruncateStream && n == from+3 {
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

func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}
