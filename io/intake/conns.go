package intake

import (
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// connectionMemory is the part of the process's memory that is for callers' connections, as a divisor.
	// Above it, those are closed that carry no request or a body that doesn't come; at half as many more,
	// further ones wait to be accepted.
	connectionMemory = 8
	// connectionBytes is what a connection takes that carries no request: its buffers and its goroutine.
	connectionBytes = 24 << 10
	// connectionReserve is the part of the connections above which the same are closed, as a divisor, if
	// their number is limited: some are left for new callers.
	connectionReserve = 8
)

// conns tracks the connections of callers.
type conns struct {
	// most is the number of connections above which some are closed, and limit that above which further ones
	// wait to be accepted; 0 means no limit.
	most, limit int
	// exceeded has a value once there are more than most.
	exceeded chan struct{}
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	idle     map[net.Conn]time.Time
}

func newConns(l Limits) *conns {
	c := &conns{exceeded: make(chan struct{}, 1), open: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
	most, limit := math.MaxInt, math.MaxInt
	if l.Memory > 0 {
		most = int(l.Memory / connectionMemory / connectionBytes)
		limit = most + most/2
	}
	if n := l.Connections; n > 0 {
		most, limit = min(most, n-n/connectionReserve), min(limit, n)
	}
	if most < math.MaxInt {
		c.most, c.limit = most, limit
	}
	return c
}

// observe is the ConnState of the callers' server.
func (c *conns) observe(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, n)
	switch s {
	case http.StateNew:
		c.open[n] = struct{}{}
		if c.most > 0 && len(c.open) > c.most {
			select {
			case c.exceeded <- struct{}{}:
			default:
			}
		}
	case http.StateIdle:
		c.idle[n] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, n)
	}
}

// excess returns the number of connections above which some are closed.
func (c *conns) excess() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.most == 0 {
		return 0
	}
	return len(c.open) - c.most
}

// closeIdle closes up to n idle connections, the one that was used least recently first, and returns their
// number. A request that crosses the close has not been read; its caller sends it again.
func (c *conns) closeIdle(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
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
