package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is one run of a case: the store, replicas and fronts, and the record.
type world struct {
	store    *store
	replicas []*replica
	fronts   []*process
	folder   string
	// trouble is false if the case is to run without its disruption.
	trouble bool
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	// arrivals are the requests that reached replicas.
	arrivals []arrival
	calls    int
	// peak is the most memory that a limited process had.
	peak int64
}

// arrival is a request that reached a replica and began to run there.
type arrival struct {
	replica, id, version, last string
	at                         time.Time
	// afterDrain is how long before the store had accepted that the replica is draining; 0 if it had not.
	afterDrain time.Duration
	size       int64
}

func newWorld(record string) (*world, error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	w.store, err = newStore()
	w.note("trouble: %v", w.trouble)
	return w, err
}

// note writes a line to the record, with the time since the beginning.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(r *replica, id, version, last string, size int64) {
	a := arrival{replica: r.id, id: id, version: version, last: last, at: time.Now(), size: size}
	r.mu.Lock()
	if !r.drained.IsZero() {
		a.afterDrain = a.at.Sub(r.drained)
	}
	r.mu.Unlock()
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.note("replica %s (%s) runs %s, after event %q, body %d bytes", r.id, version, id, last, size)
}

// arrivalsOf returns the requests that reached replicas so far.
func (w *world) arrivalsOf() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// add starts a replica.
func (w *world) add(r *replica, version string) error {
	r.world = w
	w.replicas = append(w.replicas, r)
	return r.start(version)
}

// id returns the id of the next request.
func (w *world) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return fmt.Sprintf("a%05d", w.calls)
}

// noteOutcome records the answer to a request.
func (w *world) noteOutcome(front int, o outcome) {
	w.note("request %s %s %s to front %d, sent at %.3f: status %d, stamp %q, whole %v, events %d, error %v",
		o.id, o.method, o.path, front+1, o.sent.Sub(w.began).Seconds(), o.status, o.stamp, o.whole, len(o.events()), o.err)
}

// process is a front.
type process struct {
	name, callers, readiness string
	settings, log            string
	command                  *exec.Cmd
	done                     chan struct{}
}

// start starts the process with the command of the deploy file.
func (f *process) start() error {
	log, err := os.OpenFile(f.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.command, f.done = exec.Command("target/front"), make(chan struct{})
	f.command.Env = append(os.Environ(), "KINGCUPSTAND_BOOT="+f.settings)
	f.command.Stdout, f.command.Stderr = log, log
	if err := f.command.Start(); err != nil {
		return err
	}
	c, done := f.command, f.done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

// kill ends the process at once.
func (f *process) kill() {
	_ = f.command.Process.Kill()
	<-f.done
}

// freePort returns a port that is free on an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	_, p, err := net.SplitHostPort(l.Addr().String())
	return p, err
}

// frontIP returns the loopback address of a front, from 0. Those of two runs differ.
func frontIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 11+n)
}

// startFronts starts fronts as the deploy file does, with the settings that its template yields for a small
// deployment. All have the same ports, each at an address of its own.
func (w *world) startFronts(n, memory int) error {
	var ports [5]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(frontIP(0)); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", frontIP(i)+":"+ports[2]))
	}
	for i := range n {
		ip := frontIP(i)
		f := &process{name: fmt.Sprintf("front-%d", i+1), callers: ip + ":" + ports[0], readiness: ip + ":" + ports[1]}
		settings := filepath.Join(w.folder, f.name+".yaml")
		text := fmt.Sprintf(`name: %q
region: "r1"
data-centre: "z1"
callers: %q
readiness: %q
control: "%s:%s"
metrics: "%s:%s"
peer: "%s:%s"
seeds: [%s]
store: %q
grace-ms: 8000
memory-mib: %d
descriptors: 4100
retry-ratio: 0.2
retry-slack: 56
retry-window-ms: 10000
allowance-window-ms: 8000
contracts: ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
logs:
  level: info
`, f.name, f.callers, f.readiness, ip, ports[2], ip, ports[3], ip, ports[4], strings.Join(seeds, ","), w.store.address(), memory)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.settings, f.log = settings, filepath.Join(w.folder, f.name+".log")
		if err := f.start(); err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	for _, f := range w.fronts {
		if err := f.waitReady(); err != nil {
			return err
		}
	}
	w.note("%d fronts are ready", n)
	return nil
}

// waitReady waits until the front reports itself ready.
func (f *process) waitReady() error {
	for range 200 {
		a, err := http.Get("http://" + f.readiness + "/readyz")
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", f.name)
}

// close ends all processes.
func (w *world) close() {
	for _, f := range w.fronts {
		if f.command != nil {
			f.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// configuration is the operator's configuration of the cases.
const configuration = `{
  "version": 3,
  "routes": [
    {"name": "plan", "host": "service.example", "prefix": "/plan/", "route_kind": "streaming", "timeout_ms": 15000, "latency_goal_ms": 800, "gap_goal_ms": 400, "priority": 0, "service": "planner", "max_attempts": 2, "sticky": true, "resumable": true},
    {"name": "plan-once", "host": "service.example", "prefix": "/plan-once/", "route_kind": "streaming", "timeout_ms": 15000, "latency_goal_ms": 800, "gap_goal_ms": 400, "priority": 0, "service": "planner", "max_attempts": 2, "sticky": true},
    {"name": "sheet", "host": "service.example", "prefix": "/sheet/", "route_kind": "non_idempotent", "timeout_ms": 1500, "latency_goal_ms": 100, "priority": 2, "service": "sheets", "max_attempts": 2}
  ],
  "services": [
    {"name": "planner", "max_connections": 370, "engine": {"slots": 12, "kv_capacity": 606369}},
    {"name": "sheets", "max_connections": 110}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "windhoek", "api_keys": ["local-key"], "priority": 1, "unit": "token_stream", "uncached_tokens": 200, "rate_per_s": 1000000, "burst": 1000000}]
}`
