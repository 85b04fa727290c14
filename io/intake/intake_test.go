package intake_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcupstand/io/intake"
)

// server serves requests with an intake, and answers with the size of the body or the error.
func server(t *testing.T, l intake.Limits, deadline time.Duration) (address string) {
	t.Helper()
	i := intake.New(l, func(intake.Report) {})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			finish := intake.Refuse(w, r, nil)
			w.WriteHeader(http.StatusNotFound)
			_ = finish()
			return
		}
		b, err := i.Read(w, r, intake.Terms{Limit: 4 << 20, Deadline: time.Now().Add(deadline)})
		if err != nil {
			finish := intake.Refuse(w, r, err)
			w.WriteHeader(http.StatusServiceUnavailable)
			for _, e := range []error{intake.ErrTooLong, intake.ErrNoMemory, intake.ErrSlow, intake.ErrTimeout, intake.ErrCut} {
				if errors.Is(err, e) {
					fmt.Fprint(w, e)
				}
			}
			_ = finish()
			return
		}
		defer b.Release()
		text, err := b.Join(0)
		fmt.Fprint(w, len(text), err)
	})
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	i.Attach(s)
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if n, err = i.Listener(n); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(n) }()
	t.Cleanup(func() { _ = s.Close() })
	return n.Addr().String()
}

// call sends a text on a new connection and returns what is received until it is closed.
func call(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(c, text) }() // the answer shows it
	b, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("after %q: %v", b, err)
	}
	return string(b)
}

const long = 3 << 20 // larger than the account of 8 MiB of memory

// Guards against a single body inside the limits that is refused in calm, with or without a length.
func TestLargestBodyInCalm(t *testing.T) {
	a := server(t, intake.Limits{Memory: 8 << 20}, time.Minute)
	body := strings.Repeat("x", long)
	for name, text := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", long, body),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", long, body),
	} {
		got := call(t, a, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+text)
		if !strings.HasSuffix(got, fmt.Sprint(long, " <nil>")) {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// Guards against a refusal that is not sent before the whole body was received, and a connection on which the
// rest of a body is taken for a request.
func TestBodyThatStopsShort(t *testing.T) {
	a := server(t, intake.Limits{}, 500*time.Millisecond)
	const short = "Content-Length: 100\r\n\r\nGET /later HTTP/1.1\r\nHost: h\r\n\r\n"
	for path, want := range map[string]string{"/": intake.ErrTimeout.Error(), "/unread": "404 Not Found"} {
		got := call(t, a, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"+short)
		if !strings.Contains(got, want) || !strings.Contains(got, "Connection: close") || strings.Count(got, "HTTP/1.1") != 1 {
			t.Errorf("%s: got %q", path, got)
		}
	}
}

// Guards against a body over the limit that is received before it is refused.
func TestBodyOverTheLimit(t *testing.T) {
	a := server(t, intake.Limits{Memory: 64 << 20}, time.Minute)
	body := strings.Repeat("x", 5<<20)
	for name, text := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<40, body[:1000]),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body), body),
	} {
		if got := call(t, a, "POST / HTTP/1.1\r\nHost: h\r\n"+text); !strings.Contains(got, intake.ErrTooLong.Error()) {
			t.Errorf("%s: got %q", name, got)
		}
	}
}
