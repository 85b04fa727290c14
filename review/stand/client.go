package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a requester.
type call struct {
	id, method, path string
	limit            time.Duration
	body             []byte
	// last is the id of the last event of a stream that is taken up again, and first the id of the request
	// that brought its first event; "" in a new request.
	last, first string
}

// outcome is what a requester has got.
type outcome struct {
	call
	sent, ended time.Time
	status      int
	stamp       string
	// kept is true if the connection had carried a request before.
	kept bool
	// whole is true if the answer has come to its proper end.
	whole bool
	body  string
	// retryAfter is the time that a refusal names; 0 if it names none.
	retryAfter time.Duration
	err        error
}

// events returns the texts of the complete events of a stream.
func (o *outcome) events() []string {
	var es []string
	for _, e := range strings.SplitAfter(o.body, "\n\n") {
		if strings.HasSuffix(e, "\n\n") {
			es = append(es, strings.TrimSpace(e[strings.Index(e, "data: ")+len("data: "):]))
		}
	}
	return es
}

// connection is a requester's connection to a front.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
}

func connect(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// send sends one request and reads its answer, until the requester's time limit.
func (c *connection) send(q call) outcome {
	o := outcome{call: q, sent: time.Now()}
	_ = c.net.SetDeadline(o.sent.Add(q.limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: %s\r\nApi-Key: local-key\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", q.method, q.path, q.id, q.limit.Milliseconds(), len(q.body))
	if strings.HasPrefix(q.path, "/plan") {
		head += fmt.Sprintf("Model: m\r\nToken-Count: 600,200\r\nPrompt-Prefix: 5c1e07a2:500,%s:100\r\n", q.id)
	}
	if q.first != "" {
		head += fmt.Sprintf("Last-Event-Id: %s\r\nResumes: %s\r\n", q.last, q.first)
	}
	if _, o.err = io.WriteString(c.net, head+"\r\n"); o.err == nil {
		_, o.err = c.net.Write(q.body)
	}
	if o.err == nil {
		var a *http.Response
		if a, o.err = http.ReadResponse(c.reader, &http.Request{Method: q.method}); o.err == nil {
			var b []byte
			b, o.err = io.ReadAll(a.Body)
			o.status, o.stamp, o.body, o.whole = a.StatusCode, a.Header.Get("Replica-Stamp"), string(b), o.err == nil
			n, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			o.retryAfter = time.Duration(n * float64(time.Second))
		}
	}
	o.ended = time.Now()
	return o
}

// request sends one request on a new connection.
func request(address string, q call) outcome {
	c, err := connect(address)
	if err != nil {
		return outcome{call: q, sent: time.Now(), ended: time.Now(), err: err}
	}
	defer c.net.Close()
	return c.send(q)
}
