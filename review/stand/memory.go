package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// edgeMemory is memory_mb of an edge machine.
	edgeMemory = 284
	// maxBody is max_body_bytes of the configuration.
	maxBody = 4 << 20
)

// memory sends requests with bodies of max_body_bytes at the usual rate of a front, on kept connections.
// The platform kills a process that exceeds memory_mb. No request that was passed on to a sound replica may
// lose its connection without an answer more than three times.
func memory(w *world) (bool, error) {
	rs := planners(6, 40*time.Millisecond, false)
	if err := w.begin(1, edgeMemory, rs); err != nil {
		return false, err
	}
	f := w.fronts[0]
	go w.limitMemory(f, edgeMemory<<20)
	body := bytes.Repeat([]byte("x"), 2<<10)
	if w.trouble {
		body = bytes.Repeat([]byte("x"), maxBody)
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	var os []outcome
	for i := range requesters {
		g.Go(func() {
			time.Sleep(time.Duration(i) * time.Second * streamsEach / requesters)
			c, err := connect(f.callers)
			if err != nil {
				w.note("requester %d cannot connect: %v", i, err)
				return
			}
			defer c.net.Close()
			for n := range rounds {
				q := call{id: w.id(), method: "POST", path: "/plan-once/week", limit: 15 * time.Second}
				if n > 0 { // the first request of a connection is short
					q.body = body
				}
				o := c.send(q)
				o.kept = n > 0
				w.noteOutcome(0, o)
				mu.Lock()
				os = append(os, o)
				mu.Unlock()
				if o.err != nil || o.status != 200 {
					return
				}
			}
		})
	}
	g.Wait()
	ran := map[string]bool{}
	for _, a := range w.arrivalsOf() {
		ran[a.id] = true
	}
	lost, whole := 0, 0
	for _, o := range os {
		switch {
		case o.status == 200 && o.whole && len(o.events()) == rs[0].events:
			whole++
		case ran[o.id] && o.kept && o.err != nil:
			lost++
		}
	}
	w.say("%d requests, %d answered whole, %d from a kept connection passed on and closed without a whole answer; most memory %d MB of %d", len(os), whole, lost, w.peak>>20, edgeMemory)
	return lost > 3, nil
}

// requesters begin one after the other within streamsEach seconds, and send as many requests as rounds, one
// after the other.
const (
	requesters  = 60
	streamsEach = 3
	rounds      = 5
)

// limitMemory kills a process that exceeds its memory, as the platform does.
func (w *world) limitMemory(f *process, limit int64) {
	status := fmt.Sprintf("/proc/%d/status", f.command.Process.Pid)
	for {
		select {
		case <-f.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		n := resident(status)
		w.mu.Lock()
		w.peak = max(w.peak, n)
		w.mu.Unlock()
		if n > limit {
			w.note("%s has %d MB of memory and is killed: it may have %d", f.name, n>>20, limit>>20)
			_ = f.command.Process.Kill()
			return
		}
	}
}

// resident returns the memory of a process in bytes, from its status file.
func resident(status string) int64 {
	b, _ := os.ReadFile(status) // it is gone with the process
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}
