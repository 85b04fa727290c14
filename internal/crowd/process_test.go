//go:build crowd

package crowd

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sampleInterval is how often the memory and the descriptors of a process are read.
const sampleInterval = 5 * time.Millisecond

// process is one process of the system, whose memory and descriptors are sampled.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	// ports are those on which it gets what callers send.
	ports []string
	// limits are in bytes and in number.
	memoryLimit, descriptorLimit int
	stop                         chan struct{}
	sampling                     sync.WaitGroup
	// resident and unread are the parts of the largest memory; mu guards all that follows.
	mu                    sync.Mutex
	resident, unread, fds int
	ended                 bool
}

// build builds a program in a directory.
func build(t *testing.T, dir, program string) string {
	t.Helper()
	file := filepath.Join(dir, program)
	if out, err := exec.Command("go", "build", "-o", file, "kingcupstand/cmd/"+program).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}

// write writes a file and returns its path.
func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// start starts a process, which is stopped with the test.
func (p *process) start(addresses []string, program string, args ...string) {
	p.t.Helper()
	for _, a := range addresses {
		_, port, err := net.SplitHostPort(a)
		if err != nil {
			p.t.Fatal(err)
		}
		p.ports = append(p.ports, port)
	}
	p.cmd = exec.Command(program, args...)
	f, err := os.Create(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close() // the process has a duplicate of the descriptor
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.stop = make(chan struct{})
	p.sampling.Go(p.loop)
	p.t.Cleanup(func() {
		close(p.stop)
		p.sampling.Wait()
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = p.cmd.Wait()
	})
}

// loop samples the process.
func (p *process) loop() {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			p.sample()
		}
	}
}

// sample records the memory and the descriptors that the process has now.
func (p *process) sample() {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	s, err := os.ReadFile(dir + "/status")
	resident, state := 0, ""
	for l := range strings.SplitSeq(string(s), "\n") {
		f := strings.Fields(l)
		if len(f) < 2 {
			continue
		}
		switch f[0] {
		case "VmRSS:":
			resident, _ = strconv.Atoi(f[1]) // the kernel writes a number
		case "State:":
			state = f[1]
		}
	}
	fds, _ := os.ReadDir(dir + "/fd") // none once the process has ended
	unread := p.received()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || state == "Z" {
		p.ended = true
		return
	}
	p.fds = max(p.fds, len(fds))
	if m := resident << 10; m+unread > p.resident+p.unread {
		p.resident, p.unread = m, unread
	}
}

// received returns the bytes that the process has received on its ports and not yet read.
func (p *process) received() (n int) {
	const local, state, queues, listening = 1, 3, 4, "0A"
	b, _ := os.ReadFile("/proc/net/tcp") // always there
	for l := range strings.SplitSeq(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) <= queues || f[state] == listening {
			continue
		}
		_, hexPort, _ := strings.Cut(f[local], ":")
		port, err := strconv.ParseUint(hexPort, 16, 16)
		if err != nil {
			continue // the heading
		}
		for _, q := range p.ports {
			if q == strconv.FormatUint(port, 10) {
				_, hexUnread, _ := strings.Cut(f[queues], ":")
				k, _ := strconv.ParseUint(hexUnread, 16, 64) // the kernel writes a number
				n += int(k)
			}
		}
	}
	return n
}

// check fails the test if the process has ended, or has exceeded its limits.
func (p *process) check() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	const mib = 1 << 20
	p.t.Logf("%s: at most %.1f MiB resident and %.1f MiB received and not read, of %d MiB; %d of %d descriptors", p.name,
		float64(p.resident)/mib, float64(p.unread)/mib, p.memoryLimit/mib, p.fds, p.descriptorLimit)
	if p.ended {
		p.t.Errorf("%s has ended", p.name)
	}
	if p.resident+p.unread > p.memoryLimit {
		p.t.Errorf("%s exceeds its memory", p.name)
	}
	if p.fds > p.descriptorLimit {
		p.t.Errorf("%s exceeds its descriptors", p.name)
	}
	if p.t.Failed() {
		b, _ := os.ReadFile(p.log)
		p.t.Logf("end of the log of %s:\n%s", p.name, b[max(0, len(b)-3000):])
	}
}

// freeAddress returns a loopback address whose port is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	return n.Addr().String()
}
