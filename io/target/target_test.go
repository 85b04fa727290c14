package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/io/target"
)

// sink takes an answer.
type sink struct {
	connected int
	status    int
	body      strings.Builder
}

func (s *sink) Connected() { s.connected++ }

func (s *sink) Head(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *sink) Data(b []byte) error {
	s.body.Write(b)
	return nil
}

// raw serves each connection by a function and counts the requests it reads.
func raw(t *testing.T, serve func(n int64, c net.Conn)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					n := requests.Add(1)
					serve(n, c)
					if n > 1 {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), &requests
}

const okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestNotRepeated loses the connection of a second request, which the transport
// would send again by itself if it could.
func TestNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name, method, body string
		header             http.Header
	}{
		{"GET", "GET", "", nil},
		{"GET with key", "GET", "", http.Header{"Idempotency-Key": {"k"}}},
		{"POST with key", "POST", "body", http.Header{"Idempotency-Key": {"k"}}},
		{"POST with other key", "POST", "body", http.Header{"X-Idempotency-Key": {"k"}}},
		{"PUT", "PUT", "body", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, requests := raw(t, func(n int64, c net.Conn) {
				if n == 1 {
					_, _ = io.WriteString(c, okay)
				}
			})
			k, err := target.New(u, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			run := func() target.Result {
				q := target.Request{Method: c.method, Path: "/x", Header: c.header}
				if c.body != "" {
					q.Body = strings.NewReader(c.body)
				}
				return k.Run(t.Context(), q, &sink{})
			}
			if r := run(); !r.Complete {
				t.Fatalf("first request: %+v", r)
			}
			if r := run(); r.Complete || !r.Sent {
				t.Errorf("second request: %+v", r)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("the target got %d requests, expected 2", n)
			}
		})
	}
}

// TestRun tries answers and the ways in which they end.
func TestRun(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       int
		body         string
		whole        bool
		reason       call.Reason
	}{
		{"whole", okay, 200, "ok", true, ""},
		{"error status", "HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno", 500, "no", true, ""},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 200, "ok", false, call.ReasonAnswerCut},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 200, "ok", false, call.ReasonAnswerCut},
		{"redirect", "HTTP/1.1 307 Go\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", 307, "", true, ""},
		{"no answer", "", 0, "", false, call.ReasonTargetUnreachable},
		{
			"stream without end", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n",
			200, "data: x\n\n", false, call.ReasonAnswerCut,
		},
		{
			"named event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: e\ndata: x\n\ndata: [DONE]\n\n",
			200, "event: e\ndata: x\n\ndata: [DONE]\n\n", true, "",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, requests := raw(t, func(_ int64, k net.Conn) {
				_, _ = io.WriteString(k, c.answer)
				_ = k.Close()
			})
			k, err := target.New(u, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			s := &sink{}
			q := target.Request{Method: "POST", Path: "/x", Body: strings.NewReader("q")}
			if c.status == http.StatusTemporaryRedirect {
				q = target.Request{Method: "GET", Path: "/x"}
			}
			r := k.Run(t.Context(), q, s)
			if r.Complete != c.whole || r.Reason != c.reason || s.status != c.status || s.body.String() != c.body || !r.Sent {
				t.Errorf("got %+v status %d body %q", r, s.status, s.body.String())
			}
			if requests.Load() != 1 || s.connected != 1 {
				t.Errorf("%d requests, connected %d times", requests.Load(), s.connected)
			}
		})
	}
}

// TestNotSent can say that a request did not run only if nothing left.
func TestNotSent(t *testing.T) {
	k, err := target.New("http://127.0.0.1:1", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if r := k.Run(t.Context(), target.Request{Method: "GET", Path: "/"}, &sink{}); r.Sent || r.Reason != call.ReasonTargetUnreachable {
		t.Errorf("refused connection: %+v", r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := k.Run(ctx, target.Request{Method: "GET", Path: "/"}, &sink{}); r.Sent {
		t.Errorf("canceled before: %+v", r)
	}
}

// TestStalled gives up a target that falls silent.
func TestStalled(t *testing.T) {
	u, _ := raw(t, func(int64, net.Conn) { time.Sleep(time.Second) })
	k, err := target.New(u, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if r := k.Run(t.Context(), target.Request{Method: "GET", Path: "/"}, &sink{}); r.Complete || r.Reason != call.ReasonTargetStalled {
		t.Errorf("got %+v", r)
	}
}
