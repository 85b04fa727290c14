package telem_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupstand/io/telem"
)

// stuck is a destination that nobody reads until it is released.
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

func TestBoundedNeverBlocks(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
	b := telem.NewAsyncWriter(s)
	start := time.Now()
	for i := range 10_000 {
		if _, err := fmt.Fprintf(b, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(start); d > time.Second {
		t.Errorf("10,000 lines took %v while nobody read", d)
	}
	if b.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(s.release)
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	got := s.text.String()
	if !strings.Contains(got, "log lines dropped") || !strings.HasPrefix(got, "line 0\nline") && !strings.HasPrefix(got, "line 0\n") {
		t.Errorf("got %q", got[:min(len(got), 200)])
	}
}
