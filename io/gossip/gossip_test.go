package gossip_test

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupstand/io/gossip"
	"kingcupstand/io/telem"
	"kingcupstand/schema/wire"
)

// lines counts log lines. It is safe for concurrent use.
type lines struct {
	mu   sync.Mutex
	text []string
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, string(b))
	return len(b), nil
}

// Guards against a front or a keeper that is busy with its log: anybody may send it any number of messages that
// are no heartbeats.
func TestLinesAboutInvalidHeartbeatsAreLimited(t *testing.T) {
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := n.Addr().String()
	_ = n.Close()
	l := &lines{}
	b, err := gossip.New(a, telem.NewLogger(l, "info"))
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	g.Go(func() { b.Run(func(*wire.Beat) {}) })
	u, err := net.Dial("udp4", a)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	send := func() {
		if _, err := u.Write([]byte("\xff")); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 1000 {
		send()
		if i%5 == 0 {
			time.Sleep(time.Millisecond) // the socket's buffer is small
		}
	}
	time.Sleep(100 * time.Millisecond) // a few lines may be written again
	send()
	time.Sleep(100 * time.Millisecond)
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	g.Wait()
	if n := len(l.text); n < 2 || n > 250 {
		t.Errorf("%d lines, want some", n)
	}
	if !strings.Contains(strings.Join(l.text, ""), "dropped-before=") {
		t.Error("no line has the number of those that were dropped before it")
	}
}
