package dial

import (
	"bytes"
	"errors"
	"math"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// ErrJoined reports a response whose head has the first line of another one within a line. One of the two
// was cut off, and which lines belong to which is unknown.
var ErrJoined = errors.New("head of a response within that of another")

// statusLine is the first line of a response as far as its reason.
var statusLine = regexp.MustCompile(`(?m)HTTP/1\.[01] [1-5][0-9][0-9]( |\r?$)`)

// unlimited is the number of bytes left to a source without bound.
const unlimited = math.MaxInt64

// source reads from a connection until a number of bytes have been read.
type source struct {
	net  net.Conn
	left int64
	// recording is true while what is read is added to read.
	recording bool
	read      []byte
}

// Read implements io.Reader. It fails with ErrHeadTooLong at the bound.
func (o *source) Read(b []byte) (int, error) {
	if o.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := o.net.Read(b[:min(int64(len(b)), o.left)])
	o.left -= int64(n)
	if o.recording {
		o.read = append(o.read, b[:n]...)
	}
	return n, err
}

// readHead reads the head of a response to q. It is checked as it was sent, because net/http removes
// some headers.
func (c *Conn) readHead(q *http.Request) (*http.Response, error) {
	b, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.source.recording, c.source.read = true, slices.Clone(b)
	a, err := http.ReadResponse(c.reader, q)
	read := c.source.read
	c.source.recording, c.source.read = false, nil
	if err != nil {
		return nil, err
	}
	if joined(read[:len(read)-c.reader.Buffered()], c.header) {
		return nil, ErrJoined
	}
	return a, nil
}

// joined reports whether the first line of another response is within a line of the head. One that a header
// of the request has, sent, isn't: targets repeat the request's id, also within other values.
func joined(head []byte, sent http.Header) bool {
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	if statusLine.Match(first[1:]) {
		return true
	}
	return slices.ContainsFunc(statusLine.FindAll(rest, -1), func(l []byte) bool {
		return !contains(sent, strings.TrimSuffix(string(l), "\r"))
	})
}

// contains reports whether a value of the header contains a text.
func contains(h http.Header, text string) bool {
	for _, vs := range h {
		if slices.ContainsFunc(vs, func(v string) bool { return strings.Contains(v, text) }) {
			return true
		}
	}
	return false
}
