package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note adds a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// system is a small deployment: fronts as processes, the store and replicas as stand-ins.
type system struct {
	record   *record
	store    *store
	server   *http.Server
	dir      string
	program  string
	base     string
	fronts   []*front
	replicas []*replica
}

// front is one front process.
type front struct {
	name, ip, file string
	mu             sync.Mutex
	cmd            *exec.Cmd
}

func (f *front) callers() string { return f.ip + ":8221" }

var (
	errTaken    = errors.New("no free addresses")
	errNotReady = errors.New("fronts are not ready")
)

// newSystem starts the store of a deployment whose addresses are free.
func newSystem(r *record, program string) (*system, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, store: newStore(), dir: dir, program: program}
	for n := range 50 {
		p := os.Getpid() + n*251
		s.base = fmt.Sprintf("127.%d.%d", 64+p>>8&63, p&255)
		l, err := net.Listen("tcp4", s.base+".1:8225")
		if err != nil {
			continue
		}
		s.server = &http.Server{Handler: s.store}
		go func() { _ = s.server.Serve(l) }() // until the end of the case
		return s, nil
	}
	return nil, errTaken
}

// addReplica starts a replica.
func (s *system) addReplica(r *replica, version string) error {
	r.record, r.store = s.record, s.store
	r.address = fmt.Sprintf("%s.%d:8308", s.base, 100+len(s.replicas))
	if err := r.start(version); err != nil {
		return err
	}
	s.replicas = append(s.replicas, r)
	s.record.note("replica %s (%s) of %s at %s", r.id, version, r.service, r.address)
	return nil
}

// settings is deploy/front.yaml, filled in as on a machine of a small deployment.
const settings = `name: %[1]q
region: "khomas"
data-centre: "z1"
callers: "%[2]s:8221"
readiness: "%[2]s:8224"
control: "%[2]s:8229"
metrics: "%[2]s:9100"
peer: "%[2]s:7600"
seeds: [%[3]s]
store: "%[4]s.1:8225"
grace-ms: 8000
memory-mib: 284
descriptors: 4100
retry-ratio: 0.2
retry-slack: 56
retry-window-ms: 10000
allowance-window-ms: 8000
contracts: ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
logs:
  level: info
`

// startFronts starts a number of fronts and waits until they are ready.
func (s *system) startFronts(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("\"%s.%d:8229\"", s.base, 10+i))
	}
	for i := range n {
		f := &front{name: fmt.Sprintf("edge-z1-%d", i+1), ip: fmt.Sprintf("%s.%d", s.base, 10+i)}
		f.file = filepath.Join(s.dir, f.name+".yaml")
		t := fmt.Sprintf(settings, f.name, f.ip, strings.Join(seeds, ","), s.base)
		if err := os.WriteFile(f.file, []byte(t), 0o600); err != nil {
			return err
		}
		s.fronts = append(s.fronts, f)
		if err := s.startFront(f); err != nil {
			return err
		}
	}
	return s.waitReady(15 * time.Second)
}

// startFront starts the process of a front.
func (s *system) startFront(f *front) error {
	c := exec.Command(s.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPSTAND_BOOT=" + f.file}
	o, err := os.OpenFile(filepath.Join(s.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer o.Close() // the process has a duplicate of the descriptor
	c.Stdout, c.Stderr = o, o
	if err := c.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cmd = c
	s.record.note("%s starts", f.name)
	return nil
}

// kill ends the process of a front.
func (s *system) kill(f *front) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd == nil {
		return
	}
	_ = f.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	_ = f.cmd.Wait()
	f.cmd = nil
	s.record.note("%s is killed", f.name)
}

// ready reports whether a front's readiness check succeeds.
func (f *front) ready() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + f.ip + ":8224/readyz")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// waitReady waits until all fronts are ready.
func (s *system) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, f := range s.fronts {
			if f.ready() {
				n++
			}
		}
		if n == len(s.fronts) {
			s.record.note("all fronts are ready")
			return nil
		}
	}
	return errNotReady
}

// crashTimes returns when replicas have crashed, in order.
func (s *system) crashTimes() (ts []time.Time) {
	for _, r := range s.replicas {
		r.mu.Lock()
		ts = append(ts, r.crashTimes...)
		r.mu.Unlock()
	}
	slices.SortFunc(ts, time.Time.Compare)
	return ts
}

// stop ends all that was started.
func (s *system) stop() {
	for _, f := range s.fronts {
		s.kill(f)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.server.Shutdown(ctx) // a watch may be waiting
	_ = s.server.Close()
	_ = os.RemoveAll(s.dir) // a leftover doesn't matter
}
