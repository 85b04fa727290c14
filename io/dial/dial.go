// Package dial keeps connections to targets and sends one request on each at a
// time, exactly once.
//
// # Usage
//
//	d := dial.New(log)
//	c, err := d.Get(ctx, address, dial.Fresh)
//	wrote, err := c.Send(request)
//	a, err := c.Receive(request.Method)
//	n, err := a.Body.Read(b)
//	d.Put(c, a)   // or c.Close()
//
// net/http's own client repeats requests on lost connections and may hand a late
// answer to the next request. Here the caller learns whether a byte has left, and
// a connection that carried anything unexpected is never used again.
package dial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// ErrUnexpectedData is returned when a connection that should be quiet has bytes on it.
var ErrUnexpectedData = errors.New("unexpected bytes on connection")

// Times of connections.
const (
	// connectTimeout is many times the way between data centres, and short enough
	// to try another target within a caller's goal.
	connectTimeout = 200 * time.Millisecond
	// unackedTimeout ends a connection whose bytes nobody confirms.
	unackedTimeout = 1500 * time.Millisecond
	// probeTime is the pause between probes of a silent connection.
	probeTime = time.Second
	// probes is how many unanswered probes end a connection.
	probes = 2
	// defaultKeep is used if a target does not say how long it keeps connections.
	defaultKeep = 4 * time.Second
	// keepPart is the part of the target's own idle time in which a connection is
	// used again, so that request and close don't cross.
	keepPart = 0.6
	// freshPart is the same for requests that must not meet a closed connection.
	freshPart = 0.3
	// perAddress bounds the idle connections to one target.
	perAddress = 32
	// buffer is the size of a connection's read buffer, in bytes.
	buffer = 2 << 10
	// sweepTime is the pause between searches for connections idle too long.
	sweepTime = time.Second
)

// IdleLimit says how long a connection may have been idle.
type IdleLimit float64

// Ages of connections.
const (
	// Lenient connections may meet the target's close.
	Lenient IdleLimit = keepPart
	// Strict ones have been idle only for a short time.
	Strict IdleLimit = freshPart
)

// Dialer keeps idle connections. It is safe for concurrent use.
type Dialer struct {
	log    logr.Logger
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
	opened int
	reused int
}

// New returns a Dialer without connections.
func New(l logr.Logger) *Dialer {
	return &Dialer{
		log:  l,
		idle: map[string][]*Conn{},
		dialer: net.Dialer{
			Timeout: connectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeTime, Interval: probeTime, Count: probes,
			},
			Control: control,
		},
	}
}

// control sets how long sent bytes may stay unconfirmed.
func control(_, _ string, c syscall.RawConn) error {
	var e error
	err := c.Control(func(fd uintptr) {
		e = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, e)
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	net     net.Conn
	reader  *bufio.Reader
	address string
	// Reused is true if an earlier request used the connection.
	Reused bool
	since  time.Time
	keep   time.Duration
}

// Get returns an idle connection of at most the given age, or opens one. No byte
// of a request has left if it fails.
func (d *Dialer) Get(ctx context.Context, address string, a IdleLimit) (*Conn, error) {
	for {
		c := d.take(address)
		if c == nil {
			return d.open(ctx, address)
		}
		if c.quiet(a) {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
}

// take returns the connection that was used last.
func (d *Dialer) take(address string) *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.idle[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	d.idle[address] = l[:len(l)-1]
	d.reused++
	return c
}

func (d *Dialer) open(ctx context.Context, address string) (*Conn, error) {
	n, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	d.mu.Lock()
	d.opened++
	d.mu.Unlock()
	return &Conn{net: n, reader: bufio.NewReaderSize(n, buffer), address: address, keep: defaultKeep}, nil
}

// Counts returns how many connections were opened and how often one was used again.
func (d *Dialer) Counts() (opened, reused int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened, d.reused
}

// quiet reports whether the connection may be used again: it is young enough, the
// target has not closed it, and no stray byte has arrived.
func (c *Conn) quiet(a IdleLimit) bool {
	if c.reader.Buffered() > 0 || time.Since(c.since) > time.Duration(float64(c.keep)*float64(a)) {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ok = false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = errors.Is(e, unix.EAGAIN)
		return true
	})
	return ok && err == nil
}

// Put keeps a connection whose answer was read to its end for the next request,
// unless the answer forbids it.
func (d *Dialer) Put(c *Conn, a *http.Response) {
	c.since = time.Now()
	if a.Close || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	if s, ok := keepAlive(a.Header.Get("Keep-Alive")); ok {
		c.keep = s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[c.address]) >= perAddress {
		c.Close()
		return
	}
	d.idle[c.address] = append(d.idle[c.address], c)
}

// keepAlive returns the timeout of a Keep-Alive header.
func keepAlive(v string) (time.Duration, bool) {
	for f := range strings.SplitSeq(v, ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil {
				return time.Duration(s) * time.Second, true
			}
		}
	}
	return 0, false
}

// Run closes connections that have been idle too long until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	t := time.NewTicker(sweepTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.sweep()
		}
	}
}

func (d *Dialer) sweep() {
	d.mu.Lock()
	var old []*Conn
	for a, l := range d.idle {
		n := 0
		for n < len(l) && time.Since(l[n].since) > time.Duration(float64(l[n].keep)*keepPart) {
			n++
		}
		old = append(old, l[:n]...)
		if d.idle[a] = l[n:]; len(l) == n {
			delete(d.idle, a)
		}
	}
	d.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the request target as the caller sent it, byte for byte.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes a request. Sent is false only if no byte of it has left.
func (c *Conn) Send(q Request) (sent bool, err error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	if err := q.Header.Write(&b); err != nil {
		return false, fmt.Errorf("write request: %w", err)
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	v := net.Buffers{[]byte(b.String())}
	if len(q.Body) > 0 {
		v = append(v, q.Body)
	}
	n, err := v.WriteTo(c.net)
	if err != nil {
		return n > 0, fmt.Errorf("write request: %w", err)
	}
	return true, nil
}

// Receive reads the head of the answer, passing over interim ones.
func (c *Conn) Receive(method string) (*http.Response, error) {
	q := &http.Request{Method: method}
	for {
		a, err := http.ReadResponse(c.reader, q)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
}

// Close closes the connection, which the target takes as a cancellation. An error
// can't be acted on: the connection is gone either way.
func (c *Conn) Close() { _ = c.net.Close() }
