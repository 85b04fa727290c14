package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// replica is a replica of a service. One value stands for all processes that serve under one id at one address.
type replica struct {
	id, service, address string
	slots                int
	// events is the number of events of a stream, with the time gap between them, and short that of streams below
	// shortPrefix.
	events, short int
	gap           time.Duration
	// stride is the difference between the ids of two events; 1 if it is 0.
	stride int
	// crashes reports whether a request ends the process as it begins to run, unless it is nil.
	crashes func(q *http.Request) bool
	record  *record
	store   *store

	listener *net.TCPListener
	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	// up is true while the process runs. power is closed when the state changes.
	up    bool
	power chan struct{}
	conns map[net.Conn]bool
	fill  []net.Conn
	// arrived counts the requests that name this replica, by id.
	arrived []arrival
	running map[string]int
	// crashTimes is when processes have crashed.
	crashTimes []time.Time
}

// backAfter is how long a replica is gone that a request has crashed.
const backAfter = 3 * time.Second

// arrival is a request that has reached a replica.
type arrival struct {
	id string
	at time.Time
}

// start starts the first process and lists it.
func (r *replica) start(version string) error {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.listener = l.(*net.TCPListener) // of a TCP address
	r.conns, r.power, r.running = map[net.Conn]bool{}, make(chan struct{}), map[string]int{}
	r.begin(version)
	go r.accept()
	return nil
}

// begin begins a process.
func (r *replica) begin(version string) {
	r.mu.Lock()
	r.version, r.born, r.sequence, r.up = version, time.Now().UnixMilli(), 0, true
	close(r.power)
	r.power = make(chan struct{})
	r.running = map[string]int{}
	r.mu.Unlock()
	r.report()
	go r.heartbeat(r.born)
}

// heartbeat writes the replica's entry as long as the process runs.
func (r *replica) heartbeat(born int64) {
	for {
		time.Sleep(1200 * time.Millisecond)
		r.mu.Lock()
		runs := r.up && r.born == born
		r.mu.Unlock()
		if !runs {
			return
		}
		r.report()
	}
}

// report writes the replica's entry, if the store takes it.
func (r *replica) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	b, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": r.version, "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	r.store.put("servers/"+r.id, b)
}

// isUp reports whether the process runs, and returns a channel that is closed when that changes.
func (r *replica) isUp() (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up, r.power
}

// accept accepts connections while a process runs.
func (r *replica) accept() {
	for {
		if up, power := r.isUp(); !up {
			<-power
			continue
		}
		r.mu.Lock()
		l := r.listener
		r.mu.Unlock()
		c, err := l.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

// darken ends the process as a loss of power does: its host answers nothing, neither on open connections nor to
// new ones.
func (r *replica) darken() error {
	r.mu.Lock()
	r.up = false
	close(r.power)
	r.power = make(chan struct{})
	r.mu.Unlock()
	if err := r.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	// The kernel drops the first packet of a connection if the queue of the listener is full.
	if err := r.backlog(0); err != nil {
		return err
	}
	for range 16 {
		c, err := net.DialTimeout("tcp4", r.address, 50*time.Millisecond)
		if err != nil {
			return nil
		}
		r.fill = append(r.fill, c)
	}
	return fmt.Errorf("%s still accepts connections", r.address)
}

// backlog sets the length of the listener's queue.
func (r *replica) backlog(n int) error {
	c, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := c.Control(func(fd uintptr) { inner = unix.Listen(int(fd), n) }); err != nil {
		return err
	}
	return inner
}

// restart begins another process under the same id after darken. The host resets the connections of the earlier one.
func (r *replica) restart(version string) error {
	r.reset()
	for _, c := range r.fill {
		_ = c.Close() // it was never used
	}
	r.fill = nil
	if err := r.backlog(1024); err != nil {
		return err
	}
	if err := r.listener.SetDeadline(time.Time{}); err != nil {
		return err
	}
	r.begin(version)
	return nil
}

// reset resets all connections.
func (r *replica) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // an error means that it is closed already
		_ = c.Close()
		delete(r.conns, c)
	}
}

// crash ends the process: its host refuses new connections and resets the open ones. Another one begins under
// the same id after the time down.
func (r *replica) crash(down time.Duration) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashTimes = append(r.crashTimes, time.Now())
	close(r.power)
	r.power = make(chan struct{})
	_ = r.listener.Close() // ends accept
	version := r.version
	r.mu.Unlock()
	r.reset()
	time.AfterFunc(down, func() {
		l, err := listenAgain(r.address)
		if err != nil {
			r.record.note("%s can't start again: %v", r.id, err)
			return
		}
		r.mu.Lock()
		r.listener = l
		r.mu.Unlock()
		r.begin(version)
		r.record.note("%s is back", r.id)
	})
}

// refuse cuts the replica off for the time d: its process runs on, but connections to it are refused, and those that
// are open are reset.
func (r *replica) refuse(d time.Duration) error {
	r.mu.Lock()
	l := r.listener
	r.mu.Unlock()
	_ = l.Close() // it is open
	r.reset()
	time.Sleep(d)
	n, err := listenAgain(r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = n
	return nil
}

// listenAgain listens at an address that was in use just before.
func listenAgain(address string) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) })
	}}
	l, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil // of a TCP address
}

// serve serves one connection.
func (r *replica) serve(c net.Conn) {
	r.mu.Lock()
	born := r.born
	r.mu.Unlock()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			break
		}
		if !r.runs(born) {
			return // a host without power leaves the connection as it is
		}
		if !r.answer(c, q, born) {
			break
		}
	}
	if !r.runs(born) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[c] {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// runs reports whether the process that began at born still runs.
func (r *replica) runs(born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.born == born
}

// answer answers one request, and reports false if the connection must be closed.
func (r *replica) answer(c net.Conn, q *http.Request, born int64) bool {
	id := q.Header.Get("Attempt-Id")
	switch {
	case q.Method == http.MethodGet && q.URL.Path == "/healthz":
		return write(c, "HTTP/1.1 200 OK\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
	case q.Header.Get("Expect-Replica") != "" && q.Header.Get("Expect-Replica") != r.id:
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	case q.Method == http.MethodGet && q.URL.Path == "/report":
		return r.sendReport(c, born)
	case id == "":
		return write(c, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	r.mu.Lock()
	r.arrived = append(r.arrived, arrival{id, time.Now()})
	full := len(r.running) >= r.slots
	version := r.version
	if !full {
		r.running[id] = 0
	}
	r.mu.Unlock()
	if full {
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == born {
			delete(r.running, id)
		}
	}()
	from := q.Header.Get("Last-Event-Id")
	r.record.note("replica %s (%s) runs %s after event %q", r.id, version, id, from)
	if r.crashes != nil && r.crashes(q) {
		time.Sleep(r.gap)
		r.record.note("replica %s crashes at %s", r.id, id)
		r.crash(backAfter)
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: %s.%s\r\nWeight-Versions: 1\r\n", id, r.id, id)
	n := r.events
	if strings.HasPrefix(q.URL.Path, shortPrefix) {
		n = r.short
	}
	return r.stream(c, id, from, version, head, n, born)
}

// stream sends the events of a stream of a number of events that come after the event from.
func (r *replica) stream(c net.Conn, id, from, version, head string, events int, born int64) bool {
	if !write(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head) {
		return false
	}
	last, _ := strconv.Atoi(from) // without a number, the stream begins at its start
	stride := max(1, r.stride)
	for n := last/stride + 1; n <= events; n++ {
		time.Sleep(r.gap)
		if !r.runs(born) {
			return true // nothing more comes; the host decides what becomes of the connection
		}
		r.mu.Lock()
		r.running[id] = n
		r.mu.Unlock()
		t := eventText(version, n*stride)
		if !write(c, "%x\r\n%s\r\n", len(t), t) {
			return false
		}
	}
	return write(c, "0\r\n\r\n")
}

// sendReport sends the replica's report.
func (r *replica) sendReport(c net.Conn, born int64) bool {
	r.mu.Lock()
	runs := [][]any{}
	for id, n := range r.running {
		runs = append(runs, []any{id, 600, n, 0})
	}
	sequence := r.sequence
	r.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": sequence, "queued": 0, "running": len(runs), "kv_used": 0, "kv_total": 600000, "kv_handles": 0, "born": born, "runs": runs,
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	return write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// arrivals returns the requests that have reached the replica.
func (r *replica) arrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrived)
}

// eventText is event n of a stream by a version of the software.
func eventText(version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: part %d by %s\n\n", n, n, version)
}

// eventVersion returns the version that an event's text names.
func eventVersion(text string) string {
	_, v, _ := strings.Cut(strings.TrimSpace(text), " by ")
	return v
}

func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}
