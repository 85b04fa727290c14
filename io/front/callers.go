package front

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// connectionMemory is the part of the process's memory that is for callers' connections, as a divisor.
	connectionMemory = 8
	// connectionBytes is what a connection takes that carries no request: its buffers and its goroutine.
	connectionBytes = 24 << 10
	// callersInterval is how often connections beyond that are closed.
	callersInterval = time.Second
)

// callers tracks the connections of callers. Those that carry no request are closed, the one that was used
// least recently first, if all connections together take too much memory.
type callers struct {
	// most is the number of connections above which idle ones are closed; 0 means no limit.
	most int
	mu   sync.Mutex
	open map[net.Conn]struct{}
	idle map[net.Conn]time.Time
}

// newCallers returns callers without connections, for a process that may use so many MiB; 0 means no limit.
func newCallers(mib uint32) *callers {
	return &callers{
		most: int(mib) << 20 / connectionMemory / connectionBytes,
		open: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{},
	}
}

// observe is the ConnState of the callers' server.
func (c *callers) observe(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, n)
	switch s {
	case http.StateNew:
		c.open[n] = struct{}{}
	case http.StateIdle:
		c.idle[n] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, n)
	}
}

// closeIdle closes idle connections beyond the limit and returns their number. A request that crosses the
// close has not been read; its caller sends it again.
func (c *callers) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.open) - c.most
	if c.most == 0 || n <= 0 {
		return 0
	}
	var is []net.Conn
	for i := range c.idle {
		is = append(is, i)
	}
	slices.SortFunc(is, func(a, b net.Conn) int { return c.idle[a].Compare(c.idle[b]) })
	is = is[:min(n, len(is))]
	for _, i := range is {
		_ = i.Close() // it is unusable either way
		delete(c.idle, i)
	}
	return len(is)
}

// runCallers closes idle connections of callers beyond the limit, until ctx ends.
func (f *Front) runCallers(ctx context.Context) {
	t := time.NewTicker(callersInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if n := f.callers.closeIdle(); n > 0 {
				f.meter.callersClosed.Inc(int64(n))
				f.log("callers", "idle connections of callers closed", "closed", n, "most", f.callers.most)
			}
		}
	}
}
