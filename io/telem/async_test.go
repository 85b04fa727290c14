package telem_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupstand/io/telem"
)

// stuck is a destination whose writes block until release is closed.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// A blocked destination must not block those that log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
	b := telem.NewAsyncWriter(s)
	start := time.Now()
	for i := range 10_000 {
		if _, err := fmt.Fprintf(b, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(start); d > time.Second {
		t.Errorf("writing 10,000 lines to a blocked destination took %v, want at most 1 s", d)
	}
	if b.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	close(s.release)
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	got := s.text.String()
	if !strings.Contains(got, "log lines dropped") || !strings.HasPrefix(got, "line 0\nline") && !strings.HasPrefix(got, "line 0\n") {
		t.Errorf("got %q, want line 0 first and a line with the number of dropped ones", got[:min(len(got), 200)])
	}
}
