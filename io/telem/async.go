package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the number of log lines that are queued for a slow destination. At a
// few hundred bytes each they take less than a megabyte.
const maxQueuedLines = 1024

// AsyncWriter is a writer of log lines whose Write never blocks. It queues lines for its
// destination. Lines that arrive while the queue is full are dropped and counted, and their
// number is logged once the destination accepts lines again. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

var _ io.WriteCloser = (*AsyncWriter)(nil)

// NewAsyncWriter returns an AsyncWriter that writes to w. Each line is written as soon
// as w has accepted those before it. The caller must call Close to end its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a copy of one line, or drops it. It never fails.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since NewAsyncWriter.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

func (b *AsyncWriter) run() {
	defer close(b.done)
	var reported uint64
	for l := range b.lines {
		if l == nil {
			return
		}
		// There is nowhere else to report that the destination failed.
		_, _ = b.out.Write(l)
		if n := b.dropped.Load(); n > reported {
			fmt.Fprintf(b.out, "level=INFO msg=\"log lines dropped\" lines=%d\n", n-reported)
			reported = n
		}
	}
}

// Close writes the queued lines and ends the goroutine. It blocks until the destination has
// accepted them. Lines passed to Write after Close are lost. Close may be called more than once.
func (b *AsyncWriter) Close() error {
	b.once.Do(func() { b.lines <- nil })
	<-b.done
	return nil
}
