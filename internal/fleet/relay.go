package fleet

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Relay passes TCP connections on to a process. It can cut and reset them, refuse new
// ones, delay bytes and hold them back both ways or one, as a broken network does.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	thaw  *sync.Cond
	conns map[net.Conn]bool
	cut   bool
	// asks and answers are true while bytes to and from the process are held.
	asks    bool
	answers bool
	delay   time.Duration
	closed  bool
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
		go r.loop(c, d, &r.asks)
		go r.loop(d, c, &r.answers)
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

// loop passes bytes from one connection to the other while they are not held.
func (r *Relay) loop(from, to net.Conn, held *bool) {
	b := make([]byte, relayChunk)
	for {
		n, err := from.Read(b)
		r.wait(held)
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

// wait returns when bytes are not held, and after the delay.
func (r *Relay) wait(held *bool) {
	r.mu.Lock()
	for *held && !r.closed {
		r.thaw.Wait()
	}
	d := r.delay
	r.mu.Unlock()
	time.Sleep(d)
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// Cut closes all connections and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.set(func() {
		r.cut = true
		r.closeAll()
	})
}

// Freeze holds all bytes back until Heal.
func (r *Relay) Freeze() { r.set(func() { r.asks, r.answers = true, true }) }

// FreezeOutput holds back what the process sends until Heal; it still gets everything.
func (r *Relay) FreezeOutput() { r.set(func() { r.answers = true }) }

// Delay delays each read by d until Heal.
func (r *Relay) Delay(d time.Duration) { r.set(func() { r.delay = d }) }

// Reset resets all connections; new ones are passed on.
func (r *Relay) Reset() {
	r.set(func() {
		for c := range r.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // it may be closed already
			}
		}
		r.closeAll()
	})
}

// Heal ends what the others began.
func (r *Relay) Heal() {
	r.set(func() { r.cut, r.asks, r.answers, r.delay = false, false, false, 0 })
}

func (r *Relay) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.thaw.Broadcast()
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
