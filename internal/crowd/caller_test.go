//go:build crowd

package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// tries is how often a caller of the crowd sends its request, if it is refused or closed.
	tries = 3
	// wholeEvery is the number of callers of which one sends its whole body. The others stop a byte short.
	wholeEvery = 10
	// settleTime is the time without a byte sent or an answer after which a crowd counts as settled, and
	// settleLimit the longest time for that.
	settleTime  = 1500 * time.Millisecond
	settleLimit = 2 * time.Minute
	// ordinaryTries is how often an ordinary request is sent, and ordinaryTimeout how long one may take
	// before the process counts as hanging.
	ordinaryTries   = 60
	ordinaryTimeout = time.Minute
)

// pattern is how the callers of a crowd send their bodies.
type pattern struct {
	name string
	// callers is the size of the crowd.
	callers int
	// size is the size of each body in bytes. chunk is that of its chunks, 0 for a body with a length.
	size, chunk int
	// piece is the size of the pieces that are written at once, with a pause between them; 0 for all.
	piece int
	// most is the number of bytes after which a caller stops at the latest; 0 for all but one.
	most int
	// whole is true if no caller stops short.
	whole bool
}

const (
	bodyLimit = 1_000_000
	pause     = time.Millisecond
)

// patterns are those of the users' report.
var patterns = []pattern{
	{name: "whole", callers: 300, size: bodyLimit},
	{name: "pieces", callers: 300, size: bodyLimit, piece: 16 << 10},
	{name: "chunked", callers: 300, size: bodyLimit, chunk: 64 << 10},
	{name: "chunked in pieces", callers: 300, size: bodyLimit, chunk: 64 << 10, piece: 16 << 10},
	{name: "small chunks", callers: 300, size: bodyLimit, chunk: 8},
	{name: "many short bodies", callers: 1000, size: 60_000},
	{name: "many short chunked bodies", callers: 1000, size: 60_000, chunk: 1 << 10},
	{name: "over the limit, announced", callers: 300, size: 1 << 30, most: 8 << 20},
	{name: "over the limit, just sent", callers: 300, size: 1 << 30, chunk: 64 << 10, most: 8 << 20},
}

// request is what callers send, but for its body.
type request struct {
	address string
	// head returns the lines of the head but for those of the body, with CRLF.
	head func(id string) string
	// frame surrounds the body's text.
	prefix, suffix string
	// ran returns how often the request with an id has run at the targets.
	ran func(id string) int
}

// crowd is a number of callers that send requests by a pattern.
type crowd struct {
	t       *testing.T
	pattern pattern
	request request
	sent    atomic.Int64
	answers atomic.Int64
	open    sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	status  map[int]int
}

var idCount atomic.Int64

func newID() string { return fmt.Sprintf("crowd-%d", idCount.Add(1)) }

// body returns a body of a size as it is written, and the number of bytes of it that are sent by a
// caller that stops short.
func (c *crowd) body() (text []byte, short int) {
	p := c.pattern
	n := p.size
	if p.most > 0 {
		n = p.most
	}
	content := []byte(c.request.prefix + strings.Repeat("x", n-len(c.request.prefix)-len(c.request.suffix)) + c.request.suffix)
	if p.chunk == 0 {
		return content, n - 1
	}
	var b bytes.Buffer
	for len(content) > 0 {
		k := min(p.chunk, len(content))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", k, content[:k])
		content = content[k:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes(), b.Len() - len("\r\n0\r\n\r\n") - 1
}

// startCrowd starts the callers. They stay until the end of the test.
func startCrowd(t *testing.T, p pattern, q request) *crowd {
	c := &crowd{t: t, pattern: p, request: q, stop: make(chan struct{}), status: map[int]int{}}
	text, short := c.body()
	for i := range p.callers {
		b := text
		if p.most > 0 || !p.whole && i%wholeEvery != 0 {
			b = text[:short]
		}
		c.open.Go(func() { c.run(b) })
	}
	t.Cleanup(func() {
		close(c.stop)
		c.open.Wait()
	})
	return c
}

// run is one caller.
func (c *crowd) run(body []byte) {
	for range tries {
		select {
		case <-c.stop:
			return
		default:
			c.try(body)
		}
	}
}

// try sends one request, and stays on its connection until that is closed.
func (c *crowd) try(body []byte) {
	n, err := net.Dial("tcp4", c.request.address)
	if err != nil {
		return
	}
	defer n.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-c.stop:
			_ = n.Close() // ends the caller
		case <-done:
		}
	}()
	id := newID()
	go c.send(n, id, body)
	a, err := http.ReadResponse(bufio.NewReaderSize(n, 512), nil)
	if err != nil {
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil {
		c.note(id, a, string(b))
	}
	_, _ = io.Copy(io.Discard, n) // until it is closed
}

// send writes the request.
func (c *crowd) send(n net.Conn, id string, body []byte) {
	length := "Transfer-Encoding: chunked"
	if c.pattern.chunk == 0 {
		length = "Content-Length: " + strconv.Itoa(c.pattern.size)
	}
	if _, err := fmt.Fprintf(n, "%s%s\r\n\r\n", c.request.head(id), length); err != nil {
		return
	}
	for len(body) > 0 {
		k := len(body)
		if c.pattern.piece > 0 {
			k = min(k, c.pattern.piece)
			time.Sleep(pause)
		}
		m, err := n.Write(body[:k])
		c.sent.Add(int64(m))
		if err != nil {
			return
		}
		body = body[k:]
	}
}

// note checks an answer: a refusal that promises that the request has not run names when to come back,
// and is true.
func (c *crowd) note(id string, a *http.Response, body string) {
	c.answers.Add(1)
	c.mu.Lock()
	c.status[a.StatusCode]++
	c.mu.Unlock()
	checkRefusal(c.t, id, a, body, c.request.ran)
}

func checkRefusal(t *testing.T, id string, a *http.Response, body string, ran func(string) int) {
	switch a.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if n := ran(id); n > 0 || a.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d (%q), Retry-After %q, ran %d times", id, a.StatusCode, body, a.Header.Get("Retry-After"), n)
		}
	case http.StatusOK, http.StatusRequestEntityTooLarge, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		t.Errorf("%s: status %d (%q)", id, a.StatusCode, body)
	}
}

// settle waits until the callers send nothing more and get no more answers.
func (c *crowd) settle() {
	last, since := int64(-1), time.Now()
	for end := time.Now().Add(settleLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n := c.sent.Load() + c.answers.Load(); n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) > settleTime {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d callers have sent %d MB; answers by status: %v", c.pattern.callers, c.sent.Load()/1_000_000, c.status)
}

// checkOrdinary checks that a single request with a body of a size is answered, after refusals that
// promise that it hasn't run.
func checkOrdinary(t *testing.T, q request, size int) {
	t.Helper()
	last := ""
	for range ordinaryTries {
		id := newID()
		s, after, b, err := callOnce(t, q, id, size)
		switch {
		case err != nil:
			t.Errorf("an ordinary request with a body of %d bytes: %v", size, err)
			return
		case s == http.StatusOK:
			if n := q.ran(id); n != 1 {
				t.Errorf("an ordinary request has run %d times", n)
			}
			return
		case s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests && s != http.StatusRequestTimeout:
			t.Errorf("an ordinary request with a body of %d bytes: status %d (%q)", size, s, b)
			return
		}
		last = fmt.Sprintf("%d (%q)", s, b)
		time.Sleep(after)
	}
	t.Errorf("an ordinary request with a body of %d bytes got no answer in %d tries; the last refusal: %s", size, ordinaryTries, last)
}

// callOnce sends a request on a new connection.
func callOnce(t *testing.T, q request, id string, size int) (status int, after time.Duration, body string, err error) {
	n, err := net.DialTimeout("tcp4", q.address, ordinaryTimeout)
	if err != nil {
		return 0, 0, "", err
	}
	defer n.Close()
	if err := n.SetDeadline(time.Now().Add(ordinaryTimeout)); err != nil {
		return 0, 0, "", err
	}
	go func() {
		text := q.prefix + strings.Repeat("x", max(0, size-len(q.prefix)-len(q.suffix))) + q.suffix
		_, _ = fmt.Fprintf(n, "%sContent-Length: %d\r\n\r\n%s", q.head(id), len(text), text) // the answer shows it
	}()
	a, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0, 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, 0, "", err
	}
	checkRefusal(t, id, a, string(b), q.ran)
	s, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64) // checkRefusal has checked that it is there
	return a.StatusCode, time.Duration(s * float64(time.Second)), string(b), nil
}
