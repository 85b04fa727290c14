package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kingcupstand/core/call"
	"kingcupstand/core/conf"
	"kingcupstand/core/gate"
	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// countingListener counts the bytes that its connections carry in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSync measures one sync with an agent over loopback: the bytes in both
// directions, and the CPU time of both sides together.
func BenchmarkSync(b *testing.B) {
	s := &spec.Settings{Name: "engine-1", DataCentre: "dc-1"}
	t, err := telem.New(io.Discard, s.Name, s)
	if err != nil {
		b.Fatal(err)
	}
	defer t.Close()
	load := gate.Load{
		Incarnation: 1 << 63, Uptime: time.Hour, Running: 16, RunningTokens: 20_000, Queued: 30, Batch: 16,
		Speed: gate.Speed{Prefill: 100 * time.Microsecond, Step: 4 * time.Millisecond},
	}
	for r := range call.Rank(4) {
		load.Tiers = append(load.Tiers, gate.TierLoad{Rank: r + 1, Work: time.Second})
	}
	n, err := node.New(s, t, nil, link.New(nil), node.Hooks{
		Config: func(*conf.Config) {}, OwnLoad: func() *wire.Load { return link.PackLoad(load) },
	})
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = link.Serve(ctx, countingListener{l, &bytes}, nil, nil, n) }()
	k := link.New(nil)
	defer k.Close()
	q := &wire.SyncRequest{Process: "entry-123", Incarnation: 1 << 62, Revision: 123456}
	if _, err := k.Sync(ctx, l.Addr().String(), q); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	cpu := cpuTime()
	for b.Loop() {
		if _, err := k.Sync(ctx, l.Addr().String(), q); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/sync")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/sync")
}

// BenchmarkDocument measures the parsing and checking of a document with 550 contracts.
func BenchmarkDocument(b *testing.B) {
	d := "revision: 1\ntiers: [{name: t1, rank: 1}, {name: t2, rank: 2}, {name: t3, rank: 3}, {name: t4, rank: 4}]\nmodels: [m]\ncontracts:\n"
	for i := range 550 {
		d += fmt.Sprintf(`  - workspace: w%d
    key-hashes: [%s]
    share: 0.0018
    models: [m]
    default-tier: t1
    tiers: [{tier: t1, deadline-ms: 1000}, {tier: t2, deadline-ms: 5000}, {tier: t3, deadline-ms: 9000}, {tier: t4, deadline-ms: 9000, overload: wait}]
`, i, conf.HashKey(fmt.Sprint(i)))
	}
	b.ReportMetric(float64(len(d)), "B/document")
	for b.Loop() {
		if _, ps := conf.ParseDocument([]byte(d)); len(ps) > 0 {
			b.Fatal(ps[0])
		}
	}
	b.ReportMetric(float64(len(d)), "B/document")
}
