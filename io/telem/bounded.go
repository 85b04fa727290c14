package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// waitingLines is how many log lines wait for a reader that is slow; at a few
// hundred bytes each they stay below a megabyte.
const waitingLines = 1024

// AsyncWriter is a writer that never blocks: lines that its destination can't take in
// time are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

var _ io.WriteCloser = (*AsyncWriter)(nil)

// NewAsyncWriter returns a Bounded in front of w. It keeps no line back: each is
// handed to w as soon as w has taken those before it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: w, lines: make(chan []byte, waitingLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write hands over one line. It never fails.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

func (b *AsyncWriter) run() {
	defer close(b.done)
	var told uint64
	for l := range b.lines {
		if l == nil {
			return
		}
		// A destination that fails can't be told about it.
		_, _ = b.out.Write(l)
		if n := b.dropped.Load(); n > told {
			fmt.Fprintf(b.out, "level=INFO msg=\"log lines dropped\" lines=%d\n", n-told)
			told = n
		}
	}
}

// Close writes what waits. Lines written later are dropped.
func (b *AsyncWriter) Close() error {
	b.once.Do(func() { b.lines <- nil })
	<-b.done
	return nil
}
