package fleet

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Relay passes TCP connections on to a process. It can cut them, refuse new ones
// and hold bytes back, as a broken network does.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	thaw   *sync.Cond
	conns  map[net.Conn]bool
	cut    bool
	frozen bool
	closed bool
}

// NewRelay returns a relay to an address, on a port of its own.
func NewRelay(target string) (*Relay, error) {
	n, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: n, target: target, conns: make(map[net.Conn]bool)}
	r.thaw = sync.NewCond(&r.mu)
	go r.run()
	return r, nil
}

// Address returns the address that peers connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// run accepts connections until Close.
func (r *Relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.add(c) {
			_ = c.Close()
			continue
		}
		d, err := net.Dial("tcp", r.target)
		if err != nil || !r.add(d) {
			_ = c.Close()
			continue
		}
		go r.loop(c, d)
		go r.loop(d, c)
	}
}

func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut || r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

// relayChunk is the most bytes that are passed on at once.
const relayChunk = 16 << 10

// loop passes bytes from one connection to the other.
func (r *Relay) loop(from, to net.Conn) {
	b := make([]byte, relayChunk)
	for {
		n, err := from.Read(b)
		r.wait()
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				err = io.EOF
			}
		}
		if err != nil {
			r.drop(from)
			r.drop(to)
			return
		}
	}
}

// wait returns when the relay is not frozen.
func (r *Relay) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.frozen && !r.closed {
		r.thaw.Wait()
	}
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// Cut closes all connections and refuses new ones until Heal.
func (r *Relay) Cut() { r.set(true, false) }

// Freeze holds all bytes back until Heal.
func (r *Relay) Freeze() { r.set(false, true) }

// Heal ends a Cut or a Freeze.
func (r *Relay) Heal() { r.set(false, false) }

func (r *Relay) set(cut, frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.frozen = cut, frozen
	r.thaw.Broadcast()
	if cut {
		r.closeAll()
	}
}

func (r *Relay) closeAll() {
	for c := range r.conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.thaw.Broadcast()
	_ = r.listener.Close()
	r.closeAll()
}
