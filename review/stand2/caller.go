package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "week.example"
	key  = "key-windhoek-1"
	// gapLimit is the gap in a stream after which its requester abandons it: two seconds, four times the objective
	// or eight times the pause that its route names, whichever is longest.
	gapLimit = 3200 * time.Millisecond
)

var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("a%08x", attempts.Add(1)) }

// answer is what a requester got.
type answer struct {
	status int
	header http.Header
	body   string
	// events are the events of a stream, and complete is true if the answer has ended as its framing requires.
	events   []string
	complete bool
	err      error
}

var errGap = errors.New("nothing came for too long")

// call sends one request on a new connection and reads its answer until it ends, or nothing comes for gap.
func call(address, method, path, id string, limit, gap time.Duration, extra ...string) (a answer) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: %s\r\nToken-Count: 600,200\r\nModel: m\r\nDeadline-Ms: %d\r\n", method, path, host, id, key, limit.Milliseconds())
	for _, h := range extra {
		b.WriteString(h + "\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	end := time.Now().Add(limit)
	wait := func() { _ = c.SetReadDeadline(time.Now().Add(min(gap, time.Until(end)))) } // it fails only if c is closed
	wait()
	if _, err := c.Write([]byte(b.String())); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	a.status, a.header = r.StatusCode, r.Header
	var text strings.Builder
	p := make([]byte, 4096)
	for {
		wait()
		n, err := r.Body.Read(p)
		text.Write(p[:n])
		if err != nil {
			a.complete, a.err = errors.Is(err, io.EOF), err
			var t net.Error
			if errors.As(err, &t) && t.Timeout() {
				a.err = errGap
			}
			break
		}
	}
	a.body = text.String()
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		es := strings.SplitAfter(a.body, "\n\n")
		a.events = es[:len(es)-1] // the last one is empty, or not complete
	}
	return a
}

// eventID returns the id of an event.
func eventID(text string) int {
	l, _, _ := strings.Cut(strings.TrimPrefix(text, "id: "), "\n")
	n, _ := strconv.Atoi(l) // stand-ins write numbers only
	return n
}

// refusal returns the text of an answer that is no stream.
func (a answer) refusal() string {
	if len(a.events) > 0 {
		return ""
	}
	return strings.TrimSpace(a.body[:min(len(a.body), 60)])
}

// retryAfter returns for how long an answer asks the requester to wait, up to a third of the time left.
func (a answer) retryAfter(left time.Duration) time.Duration {
	s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), left/3)
}
