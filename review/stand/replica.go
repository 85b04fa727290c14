package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beat is how often a replica writes its entry to the store.
const beat = 1200 * time.Millisecond

// replica is a replica of a service: an HTTP/1.1 server that writes its entry to the store. Each start is
// a new process, possibly under the same id and address.
type replica struct {
	world              *world
	id, service        string
	slots, events      int
	gap                time.Duration
	unframed           bool
	mu                 sync.Mutex
	version            string
	addr               string
	born               int64
	sequence           int
	draining, unlisted bool
	up                 bool
	listener           net.Listener
	conns              map[net.Conn]bool
	stopBeat           chan struct{}
	// runs holds when each run began and ended; the latter is zero while it goes on.
	runs map[string][2]time.Time
	// drained is when the store accepted that the replica is draining.
	drained time.Time
}

// start starts a process of the replica with a version of its software.
func (r *replica) start(version string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.addr
	if a == "" {
		a = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", a)
	if err != nil {
		return err
	}
	r.addr, r.listener, r.version = l.Addr().String(), l, version
	r.born, r.sequence, r.draining, r.up = time.Now().UnixMilli(), 0, false, true
	r.drained = time.Time{}
	r.runs = map[string][2]time.Time{}
	r.conns, r.stopBeat = map[net.Conn]bool{}, make(chan struct{})
	r.write()
	r.world.note("replica %s starts, version %s, born %d, address %s", r.id, version, r.born, r.addr)
	go r.accept(l)
	go r.beats(r.stopBeat)
	return nil
}

// write writes the replica's entry. The lock must be held.
func (r *replica) write() bool {
	if r.unlisted {
		return false
	}
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.sequence++
	return r.world.store.put("servers/"+r.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z1","version":%q,"slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		r.service, r.addr, r.version, r.slots, state, r.sequence, r.born))
}

// beats writes the entry regularly, until the process ends.
func (r *replica) beats(stop <-chan struct{}) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			r.mu.Lock()
			if r.up {
				r.write()
			}
			r.mu.Unlock()
		}
	}
}

// drain reports that the replica is draining. It returns when the store has accepted that.
func (r *replica) drain() time.Time {
	for {
		r.mu.Lock()
		r.draining = true
		if r.write() {
			r.drained = time.Now()
			r.mu.Unlock()
			r.world.note("replica %s: the store has accepted that it is draining", r.id)
			return r.drained
		}
		r.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// exit ends the process. The system closes its connections; the entry is removed if the store takes that.
func (r *replica) exit(remove bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	close(r.stopBeat)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.world.note("replica %s ends, %d connections", r.id, len(r.conns))
	if remove {
		r.world.store.remove("servers/" + r.id)
	}
}

func (r *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.listener != l || !r.up {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
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
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil || !r.answer(c, q, n) {
			return
		}
	}
}

func (r *replica) answer(c net.Conn, q *http.Request, size int64) bool {
	id := q.Header.Get("Attempt-Id")
	r.mu.Lock()
	version, born, draining := r.version, r.born, r.draining
	r.mu.Unlock()
	if q.URL.Path == "/report" {
		t := r.report(born)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(t), t)
		return err == nil
	}
	if q.Header.Get("Expect-Replica") != r.id {
		r.world.note("replica %s: %s is for another replica (421)", r.id, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	defer r.run(id)()
	r.world.arrived(r, id, version, q.Header.Get("Last-Event-Id"), size)
	leaving := ""
	if draining {
		leaving = "Server-Leaving: 1\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: %s.%s.%d\r\n%s", id, r.id, id, born, leaving)
	if r.events == 0 {
		time.Sleep(r.gap)
		t := "answer to " + id + "\n"
		_, err := fmt.Fprintf(c, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, len(t), t)
		return err == nil
	}
	return r.stream(c, head, version, q.Header.Get("Last-Event-Id"))
}

// reportAge is how old a report is.
const reportAge = 500 * time.Millisecond

// run records a run, and returns the function that records its end.
func (r *replica) run(id string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = [2]time.Time{time.Now()}
	runs := r.runs
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		runs[id] = [2]time.Time{runs[id][0], time.Now()}
	}
}

// report returns the replica's report, which is as of reportAge ago.
func (r *replica) report(born int64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now().Add(-reportAge)
	runs := [][]any{}
	for id, t := range r.runs {
		if t[0].Before(at) && (t[1].IsZero() || t[1].After(at)) {
			runs = append(runs, []any{id, 600, 1, 0})
		}
	}
	b, _ := json.Marshal(map[string]any{
		"stage": "colocated", "models": []any{}, "busy": false, "sequence": 1, "queued": 0, "running": len(runs),
		"kv_used": 600 * len(runs), "kv_total": 606369, "kv_handles": 0, "born": born, "state": "ready", "runs": runs,
	})
	return string(b)
}

// stream sends the events that follow the one with the id last.
func (r *replica) stream(c net.Conn, head, version, last string) bool {
	from, _ := strconv.Atoi(last)
	head += "Content-Type: text/event-stream\r\n"
	if r.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := from + 1; n <= r.events; n++ {
		time.Sleep(r.gap)
		t := fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, version, n)
		if !r.unframed {
			t = fmt.Sprintf("%x\r\n%s\r\n", len(t), t)
		}
		if _, err := io.WriteString(c, t); err != nil {
			return false
		}
	}
	if r.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
