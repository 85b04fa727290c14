package gossip_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc"

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
	started := time.Now()
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
	if n, most := len(l.text), 121+60*time.Since(started).Seconds(); n < 2 || float64(n) > most {
		t.Errorf("%d lines, want up to %.0f", n, most)
	}
	if !strings.Contains(strings.Join(l.text, ""), "dropped-before=") {
		t.Error("no line has the number of those that were dropped before it")
	}
}

// peer answers the questions of fronts.
type peer struct {
	origin  *wire.OriginReply
	records *wire.RecordsReply
}

func (p *peer) Origin(context.Context, *wire.OriginRequest) (*wire.OriginReply, error) {
	return p.origin, nil
}

func (p *peer) Records(context.Context, *wire.RecordsRequest) (*wire.RecordsReply, error) {
	return p.records, nil
}

func (p *peer) Fetch(context.Context, *wire.FetchRequest) (*wire.FetchReply, error) {
	return &wire.FetchReply{}, nil
}

// Guards against fronts that lose each other, as one has a stream's version from an answer that its peers
// refuse in a heartbeat.
func TestOddNamesInRepliesAreNotUsed(t *testing.T) {
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := n.Addr().String()
	_ = n.Close()
	b, err := gossip.New(a, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	long := strings.Repeat("v", 300)
	p := &peer{
		origin: &wire.OriginReply{Service: "llm", Version: long, Recorded: true},
		records: &wire.RecordsReply{Streams: []*wire.StreamOrigin{
			{Service: "llm", Version: long, Streams: []uint64{1}},
			{Service: long, Version: "v1", Streams: []uint64{2}},
			{Service: "llm", Streams: []uint64{3}},
			{Service: "llm", Version: "v1", Streams: []uint64{4}},
		}},
	}
	go func() {
		_ = b.Serve(t.Context(), func(m drpc.Mux) error {
			return errors.Join(wire.DRPCRegisterFront(m, p), wire.DRPCRegisterKeeper(m, p))
		})
	}()
	if o, err := b.Origin(t.Context(), a, &wire.OriginRequest{}); err == nil {
		t.Errorf("got %.60v, want an error", o)
	}
	r, err := b.Records(t.Context(), a)
	if err != nil || len(r.Streams) != 1 || r.Streams[0].Version != "v1" || r.Streams[0].Service != "llm" {
		t.Errorf("got %.60v, error %v, want the fourth record alone", r, err)
	}
}
