// Package dial is an HTTP/1.1 client that sends each request at most once. It keeps a
// pool of idle connections to each target; a connection carries one request at a time.
//
// # Usage
//
//	d := dial.New(log)
//	go d.Run(ctx)
//	c, err := d.Get(ctx, address, dial.Strict)
//	sent, err := c.Send(request)
//	a, err := c.Receive(request.Method)
//	n, err := a.Body.Read(b)
//	d.Put(c, a)   // or c.Close()
//
// The client of net/http resends requests when a reused connection fails, and may take
// a late response for the response to the next request. Here the caller learns whether
// any byte of a request was sent, and a connection with unexpected bytes on it is never
// reused.
//
// Idle connections are reused for a fraction of the target's keep-alive timeout only, so
// that a request doesn't cross the target's close. Requests that must not run twice use a
// smaller fraction. The connection used last is reused first; Run closes connections that
// have been idle for too long.
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

// ErrUnexpectedData reports unexpected bytes on an idle connection.
var ErrUnexpectedData = errors.New("unexpected bytes on idle connection")

// ErrClosed reports a new connection that was closed before it was used.
var ErrClosed = errors.New("new connection closed by the target")

// ErrHeadTooLong reports a response whose head doesn't end within its bounds.
var ErrHeadTooLong = errors.New("head of the response is too long")

// Bounds of connections.
const (
	// connectTimeout is many times the round trip between data centres, and short
	// enough to try another target within a caller's goal.
	connectTimeout = 200 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged, or a receiver may have no
	// room for more, before the connection is closed. A sound target may be silent for two
	// seconds.
	unackedTimeout = 3500 * time.Millisecond
	// probeInterval is the time between TCP keep-alive probes.
	probeInterval = time.Second
	// probes is how many unanswered probes close a connection.
	probes = 3
	// defaultKeepAlive is the keep-alive timeout of targets that announce none.
	defaultKeepAlive = 4 * time.Second
	// maxKeepAlive is the longest keep-alive timeout that is used. Longer ones are reduced to it.
	maxKeepAlive = time.Hour
	// lenientFraction is the fraction of the target's keep-alive timeout for which an
	// idle connection is reused. The rest keeps a request from crossing the target's
	// close.
	lenientFraction = 0.6
	// strictFraction is the same for requests that can't be sent again after a close.
	strictFraction = 0.3
	// maxIdle is the largest number of idle connections to one target.
	maxIdle = 32
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 2 << 10
	// maxHead is the largest size of the head of a response, in bytes, with the interim
	// responses before it, of which there may be maxInterim.
	maxHead    = 64 << 10
	maxInterim = 8
	// sweepInterval is how often connections that were idle for too long are closed.
	sweepInterval = time.Second
)

// IdleLimit is the longest time that a connection may have been idle to be reused, as a
// fraction of the target's keep-alive timeout.
type IdleLimit float64

// Limits of idle time.
const (
	// Lenient is for requests that may be sent again if the target has closed the
	// connection.
	Lenient IdleLimit = lenientFraction
	// Strict is for requests that may not.
	Strict IdleLimit = strictFraction
)

// Dialer opens connections and keeps idle ones. It is safe for concurrent use.
type Dialer struct {
	log    logr.Logger
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the idle connections by address, the one used last at the end.
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
				Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes,
			},
			Control: control,
		},
	}
}

// control sets the TCP option for unackedTimeout on a new socket.
func control(_, _ string, c syscall.RawConn) error {
	var e error
	err := c.Control(func(fd uintptr) {
		e = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, e)
}

// Conn is one connection. It is used by one request at a time and is not safe for
// concurrent use, except for Close.
type Conn struct {
	net    net.Conn
	source *source
	// reader reads from source.
	reader  *bufio.Reader
	address string
	// Reused is true if the connection was idle before.
	Reused bool
	// Carried is true if an earlier request was sent on the connection, to which a response may
	// belong.
	Carried bool
	// sent is true once a request was sent, and header is that of the latest.
	sent   bool
	header http.Header
	// idleSince is when the connection was opened or the last request ended.
	idleSince time.Time
	// keepAlive is the target's keep-alive timeout.
	keepAlive time.Duration
}

// Get returns an idle connection that is within the limit a, or opens one. The caller
// owns the connection and must pass it to Put or close it. If Get fails, no byte of a
// request was sent.
func (d *Dialer) Get(ctx context.Context, address string, a IdleLimit) (*Conn, error) {
	for {
		c := d.take(address)
		if c == nil {
			return d.Open(ctx, address)
		}
		if c.reusable(a) {
			c.Reused, c.Carried = true, c.sent
			return c, nil
		}
		c.Close()
	}
}

// Check returns nil if an idle connection to the address is open, or one can be opened and is
// still open after the time wait. The connection stays idle. It returns an error that wraps
// ErrClosed if the connection is closed at once.
func (d *Dialer) Check(ctx context.Context, address string, wait time.Duration) error {
	c, err := d.Get(ctx, address, Lenient)
	if err != nil {
		return err
	}
	if !c.Reused {
		time.Sleep(wait)
		if !c.open() {
			c.Close()
			return fmt.Errorf("check %s: %w", address, ErrClosed)
		}
	}
	d.keep(c)
	return nil
}

// Reach opens a connection to the address, which then is idle. Unlike Check, it doesn't take an idle
// connection for a sign that the target accepts new ones. It returns an error that wraps ErrClosed if the
// connection doesn't stay open for the time wait.
func (d *Dialer) Reach(ctx context.Context, address string, wait time.Duration) error {
	c, err := d.Open(ctx, address)
	if err != nil {
		return err
	}
	if wait > 0 {
		time.Sleep(wait)
		if !c.open() {
			c.Close()
			return fmt.Errorf("reach %s: %w", address, ErrClosed)
		}
	}
	d.keep(c)
	return nil
}

// take removes and returns the idle connection that was used last, or nil.
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

// Open opens a connection, whether or not others are idle. The caller owns it as one from Get.
func (d *Dialer) Open(ctx context.Context, address string) (*Conn, error) {
	n, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	d.mu.Lock()
	d.opened++
	d.mu.Unlock()
	o := &source{net: n, left: unlimited}
	return &Conn{net: n, source: o, reader: bufio.NewReaderSize(o, readBuffer), address: address, idleSince: time.Now(), keepAlive: defaultKeepAlive}, nil
}

// Counts returns how many connections were opened and how often an idle one was taken.
func (d *Dialer) Counts() (opened, reused int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened, d.reused
}

// reusable reports whether the connection is within the limit, the target has not closed
// it and no unexpected bytes have arrived.
func (c *Conn) reusable(a IdleLimit) bool {
	return time.Since(c.idleSince) <= time.Duration(float64(c.keepAlive)*float64(a)) && c.open()
}

// open reports whether the target has not closed the connection and no unexpected bytes have
// arrived.
func (c *Conn) open() bool {
	if c.reader.Buffered() > 0 {
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

// Put takes back a connection whose response a was read to its end. It is closed if the
// response or unread bytes forbid reuse, or if enough connections are idle.
func (d *Dialer) Put(c *Conn, a *http.Response) {
	c.idleSince = time.Now()
	if a.Close || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	if s, ok := keepAliveTimeout(a.Header.Get("Keep-Alive")); ok {
		c.keepAlive = s
	}
	d.keep(c)
}

// keep makes a connection idle, or closes it if enough connections are.
func (d *Dialer) keep(c *Conn) {
	c.header = nil
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	d.idle[c.address] = append(d.idle[c.address], c)
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, and false if it has none.
func keepAliveTimeout(v string) (time.Duration, bool) {
	for f := range strings.SplitSeq(v, ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			// At an overflow ParseUint returns the largest number.
			if s, err := strconv.ParseUint(n, 10, 32); err == nil || errors.Is(err, strconv.ErrRange) {
				return min(time.Duration(s)*time.Second, maxKeepAlive), true
			}
		}
	}
	return 0, false
}

// Run closes connections that have been idle for too long, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
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
		for n < len(l) && time.Since(l[n].idleSince) > time.Duration(float64(l[n].keepAlive)*lenientFraction) {
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

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	// URI is the request target as the caller sent it, byte for byte.
	URI  string
	Host string
	// Header must not contain Host or Content-Length, which Send writes itself.
	Header http.Header
	// Body is in blocks.
	Body [][]byte
}

// Send writes a request. It returns false only if no byte of the request was sent; with
// an error and true, the target may have received it.
func (c *Conn) Send(q Request) (sent bool, err error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	if err := q.Header.Write(&b); err != nil {
		return false, fmt.Errorf("write request: %w", err)
	}
	size := 0
	for _, b := range q.Body {
		size += len(b)
	}
	if size > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", size)
	}
	b.WriteString("\r\n")
	v := append(net.Buffers{[]byte(b.String())}, q.Body...)
	c.sent, c.header = true, q.Header
	n, err := v.WriteTo(c.net)
	if err != nil {
		return n > 0, fmt.Errorf("write request: %w", err)
	}
	return true, nil
}

// Receive reads the status and headers of the response to a request with the given
// method. Interim responses (1xx) are skipped. The body is read from the connection.
// It fails with an error that wraps ErrHeadTooLong if the head doesn't end within its bounds:
// a faulty target may send bytes for as long as they are read. It fails with one that wraps ErrJoined
// if a response that was cut off in its head and the one after it read as one.
func (c *Conn) Receive(method string) (*http.Response, error) {
	q := &http.Request{Method: method}
	c.source.left = maxHead
	for range maxInterim + 1 {
		a, err := c.readHead(q)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if a.StatusCode >= http.StatusOK {
			c.source.left = unlimited
			return a, nil
		}
	}
	return nil, fmt.Errorf("read response: %d interim responses: %w", maxInterim+1, ErrHeadTooLong)
}

// Close closes the connection, which the target takes as a cancellation. Its error is
// ignored: the connection is unusable either way.
func (c *Conn) Close() { _ = c.net.Close() }
