package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to a process and simulates network faults: reset and
// refused connections, delay, and connections on which no bytes arrive in one direction
// or both. A connection ends in order only if one of its ends does so, as that completes a
// response without framing. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	thaw  *sync.Cond
	conns map[net.Conn]bool
	cut   bool // no new connections
	// frozenIn and frozenOut are true while bytes to and from the process,
	// respectively, are not forwarded.
	frozenIn  bool
	frozenOut bool
	delay     time.Duration
	closed    bool
}

// NewRelay returns a relay that listens on a free port and forwards to an address. It
// runs until Close.
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

// Address returns the address that the relay listens on.
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
		go r.loop(c, d, &r.frozenIn)
		go r.loop(d, c, &r.frozenOut)
	}
}

// add registers a connection. It reports false if the relay accepts none.
func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut || r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

// relayChunk is the size of the forwarding buffer in bytes.
const relayChunk = 16 << 10

// loop forwards bytes from one connection to another until one of them is closed.
func (r *Relay) loop(from, to net.Conn, frozen *bool) {
	b := make([]byte, relayChunk)
	for {
		n, err := from.Read(b)
		r.wait(frozen)
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			broken := !errors.Is(err, io.EOF)
			r.drop(to, broken)
			r.drop(from, broken)
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that it is closed already
	}
	_ = c.Close()
}

// wait blocks while the direction is frozen, and then for the delay.
func (r *Relay) wait(frozen *bool) {
	r.mu.Lock()
	for *frozen && !r.closed {
		r.thaw.Wait()
	}
	d := r.delay
	r.mu.Unlock()
	time.Sleep(d)
}

// drop closes and unregisters a connection, with a reset if broken is true.
func (r *Relay) drop(c net.Conn, broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	if broken {
		reset(c)
		return
	}
	_ = c.Close()
}

// Cut resets all connections and closes new ones at once until Heal.
func (r *Relay) Cut() {
	r.update(func() {
		r.cut = true
		r.resetAll()
	})
}

// Freeze stops forwarding in both directions until Heal; connections stay open.
func (r *Relay) Freeze() { r.update(func() { r.frozenIn, r.frozenOut = true, true }) }

// FreezeOutput stops forwarding what the process sends until Heal. The process still
// receives everything.
func (r *Relay) FreezeOutput() { r.update(func() { r.frozenOut = true }) }

// Delay delays each forwarded chunk by d until Heal.
func (r *Relay) Delay(d time.Duration) { r.update(func() { r.delay = d }) }

// Reset resets all connections. New connections are forwarded.
func (r *Relay) Reset() { r.update(r.resetAll) }

// Heal ends the effects of Cut, Freeze, FreezeOutput and Delay and forwards the bytes that
// were frozen.
func (r *Relay) Heal() {
	r.update(func() { r.cut, r.frozenIn, r.frozenOut, r.delay = false, false, false, 0 })
}

// update calls change with the lock held and wakes frozen directions.
func (r *Relay) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.thaw.Broadcast()
}

// resetAll resets all connections. r.mu must be held.
func (r *Relay) resetAll() {
	for c := range r.conns {
		reset(c)
		delete(r.conns, c)
	}
}

// Close stops the relay and resets all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.thaw.Broadcast()
	_ = r.listener.Close()
	r.resetAll()
}
