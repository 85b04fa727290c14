package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is one front that can be killed, paused and restarted.
type process struct {
	t        *testing.T
	binary   string
	settings string
	address  string
	// threads is the process's GOMAXPROCS; 0 for that of the test.
	threads int
	mu      sync.Mutex
	cmd     *exec.Cmd
	// restarting is locked while the process is restarted, so that two concurrent faults
	// don't start it twice.
	restarting sync.Mutex
}

// start starts the process, with its log appended to a file beside its settings.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.binary, "--settings", p.settings)
	if p.threads > 0 {
		c.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", p.threads))
	}
	f, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer f.Close() // the process has a duplicate of the descriptor
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.cmd = c
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have exited
	}
}

// wait waits until the process has exited.
func (p *process) wait() {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	if c != nil {
		_ = c.Wait() // the error of a killed process is expected
	}
}

// crash kills the process and starts it again after a time.
func (p *process) crash(down time.Duration) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(syscall.SIGKILL)
	p.wait()
	time.Sleep(down)
	p.start()
}

// showLog logs the last lines of the process's log, and all lines about the attempt id
// unless that is empty.
func (p *process) showLog(lines int, id string) {
	b, err := os.ReadFile(p.settings + ".log")
	if err != nil {
		p.t.Error(err)
		return
	}
	all := strings.Split(strings.TrimSpace(string(b)), "\n")
	for i, l := range all {
		if i >= len(all)-lines || (id != "" && strings.Contains(l, id+" ")) {
			p.t.Log(l)
		}
	}
}
