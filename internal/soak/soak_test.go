// Package soak runs fronts as separate processes and injects faults from outside
// them, while callers check the promises.
//
// # Usage
//
//	go test ./internal/soak -soak.seed=7 -soak.time=20s
package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kingcupstand/internal/fleet"
	"kingcupstand/internal/stand"
)

var (
	seed   = flag.Uint64("soak.seed", 1, "seed of the faults and of the load")
	length = flag.Duration("soak.time", 4*time.Second, "time during which faults are injected")
)

// Sizes of a soak.
const (
	fronts  = 3
	callers = 12
	events  = 20
	// firstPort of a front's three.
	firstPort = 7600
	// settle is how long the system may take to serve again after the last fault:
	// the users' bound is 12 s.
	settle = 12 * time.Second
)

// process is one front that can be killed, paused and started again.
type process struct {
	t        *testing.T
	binary   string
	settings string
	callers  string
	mu       sync.Mutex
	cmd      *exec.Cmd
	// restarting is held while the process is ended and started again, so that two
	// faults don't start it twice.
	restarting sync.Mutex
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.binary, "--settings", p.settings)
	f, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer f.Close() // the process has its own
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.cmd = c
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// end waits for the process's end.
func (p *process) end() {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	if c != nil {
		_ = c.Wait() // a killed process reports its signal
	}
}

// tell shows the log's last lines, and all that are about an attempt.
func (p *process) tell(lines int, id string) {
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

// outcome is what one caller saw of one attempt.
type outcome struct {
	id, path string
	status   int
	header   http.Header
	body     string
	whole    bool
	// calm is true if no fault but planned stops came meanwhile.
	calm bool
}

type world struct {
	t        *testing.T
	random   *rand.Rand
	store    *stand.Store
	version  int
	replicas []*stand.Replica
	relays   []*fleet.Relay
	fronts   []*process
	faults   sync.WaitGroup
	// calm is true after the last fault.
	calm atomic.Bool
	mu   sync.Mutex
	seen []outcome
}

func TestSoak(t *testing.T) {
	t.Logf("seed %d", *seed)
	w := &world{t: t, random: rand.New(rand.NewPCG(*seed, 1)), store: stand.NewStore()}
	w.setUp()
	stop := make(chan struct{})
	var g sync.WaitGroup
	for i := range callers {
		g.Go(func() { w.runCaller(stop, i) })
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(*length); time.Now().Before(end); {
		w.inject()
		time.Sleep(time.Duration(100+w.random.IntN(500)) * time.Millisecond)
	}
	w.faults.Wait()
	w.recover()
	w.calm.Store(true)
	w.roll()
	close(stop)
	g.Wait()
	w.check()
}

func (w *world) setUp() {
	dir := w.t.TempDir()
	binary := filepath.Join(dir, "front")
	if out, err := exec.Command("go", "build", "-o", binary, "kingcupstand/cmd/front").CombinedOutput(); err != nil {
		w.t.Fatalf("build: %v\n%s", err, out)
	}
	w.configure()
	server := httptest.NewServer(w.store)
	w.t.Cleanup(server.CloseClientConnections)
	store := w.relay(strings.TrimPrefix(server.URL, "http://"))
	for i, service := range []string{"llm", "llm", "llm", "web", "web"} {
		n := 0
		if service == "llm" {
			n = events
		}
		r, err := stand.NewReplica(fmt.Sprintf("i-%d", i), n, 10*time.Millisecond)
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(func() { _ = r.Close() })
		w.replicas = append(w.replicas, r)
		w.store.Put("servers/"+r.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","slots":8,"state":"ready"}`, service, w.relay(r.Address()).Address()))
	}
	for i := range fronts {
		file := filepath.Join(dir, fmt.Sprintf("front-%d.yaml", i))
		text := fmt.Sprintf("name: front-%d\ndata-centre: z1\ncallers: %s\nreadiness: %s\npeer: %s\nseeds: [%q]\nstore: %s\ngrace-ms: 3000\nretry-ratio: 0.2\nretry-slack: 50\nretry-window-ms: 10000\n",
			i, w.address(i, 0), w.address(i, 1), w.address(i, 2), w.address(0, 2), store.Address())
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			w.t.Fatal(err)
		}
		p := &process{t: w.t, binary: binary, settings: file, callers: w.address(i, 0)}
		p.start()
		w.fronts = append(w.fronts, p)
		w.t.Cleanup(func() { p.signal(syscall.SIGCONT); p.signal(syscall.SIGKILL); p.end() })
	}
}

func (w *world) relay(target string) *fleet.Relay {
	r, err := fleet.NewRelay(target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(r.Close)
	w.relays = append(w.relays, r)
	return r
}

// address returns an address of a front. The soak has a part of the loopback range
// to itself, as ports that were free once are taken by others while a front is down.
func (w *world) address(front, port int) string {
	n := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+n>>8&127, n&255, 1+front, firstPort+port)
}

func (w *world) configure() {
	w.version++
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"chat","host":"soak","prefix":"/chat/","route_kind":"streaming","timeout_ms":4000,"latency_goal_ms":400,"priority":0,"service":"llm","max_attempts":3,"resumable":true,"gap_goal_ms":300},
		{"name":"get","host":"soak","prefix":"/get/","route_kind":"idempotent","timeout_ms":1000,"latency_goal_ms":100,"priority":1,"service":"web","max_attempts":2},
		{"name":"do","host":"soak","prefix":"/do/","route_kind":"non_idempotent","timeout_ms":1000,"latency_goal_ms":100,"priority":1,"service":"web","max_attempts":2}],
		"services":[{"name":"llm","max_connections":200,"engine":{"slots":8,"kv_capacity":100000}},{"name":"web","max_connections":200}]}`, w.version))
}

// roll stops and starts one front after the other as planned, while callers go on.
func (w *world) roll() {
	for _, p := range w.fronts {
		p.signal(syscall.SIGTERM)
		p.end()
		p.start()
	}
	w.recover()
}

// inject starts one fault, which ends by itself.
func (w *world) inject() {
	d := time.Duration(200+w.random.IntN(1500)) * time.Millisecond
	p := w.fronts[w.random.IntN(fronts)]
	r := w.relays[w.random.IntN(len(w.relays))]
	k := w.random.IntN(10)
	if k == 9 {
		w.configure()
		return
	}
	w.faults.Go(func() {
		switch k {
		case 0:
			p.restarting.Lock()
			defer p.restarting.Unlock()
			p.signal(syscall.SIGKILL)
			p.end()
			time.Sleep(d / 2)
			p.start()
		case 1:
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		case 2:
			p.restarting.Lock()
			defer p.restarting.Unlock()
			p.signal(syscall.SIGCONT) // a paused process can't stop
			p.signal(syscall.SIGTERM)
			p.end()
			p.start()
		case 3:
			r.Cut()
			time.Sleep(d)
			r.Heal()
		case 4:
			r.Freeze()
			time.Sleep(d)
			r.Heal()
		case 5:
			r.FreezeOutput()
			time.Sleep(d)
			r.Heal()
		case 6:
			r.Delay(d / 20)
			time.Sleep(d)
			r.Heal()
		case 7:
			r.Reset()
		case 8:
			p.signal(syscall.SIGHUP)
		}
	})
}

// runCaller sends requests one after the other, on connections that it keeps.
func (w *world) runCaller(stop <-chan struct{}, n int) {
	r := rand.New(rand.NewPCG(*seed, uint64(n)+10))
	c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(40)) * time.Millisecond):
		}
		path := []string{"/chat/", "/get/", "/do/"}[r.IntN(3)] + fmt.Sprint(i)
		calm := w.calm.Load()
		o := call(c, w.fronts[r.IntN(fronts)].callers, fmt.Sprintf("s-%d-%d", n, i), path)
		o.calm = calm
		w.mu.Lock()
		w.seen = append(w.seen, o)
		w.mu.Unlock()
	}
}

func call(c *http.Client, address, id, path string) outcome {
	o := outcome{id: id, path: path}
	q, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		return o
	}
	q.GetBody = nil // the client must not send it once more
	q.Host = "soak"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Token-Count", "50,20")
	q.Header.Set("Deadline-Ms", "4500")
	a, err := c.Do(q)
	if err != nil {
		return o
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o.status, o.header, o.body, o.whole = a.StatusCode, a.Header, string(b), err == nil
	return o
}

// recover waits until all kinds of request are served again by all fronts.
func (w *world) recover() {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	end := time.Now().Add(settle)
	for i, p := range w.fronts {
		for n, path := range []string{"/chat/", "/get/", "/do/"} {
			for k := 0; call(c, p.callers, fmt.Sprintf("r-%d-%d-%d", i, n, k), path+"r").status != http.StatusOK; k++ {
				if time.Now().After(end) {
					w.t.Errorf("front %d does not serve %s %v after the last fault", i, path, settle)
					p.tell(10, "")
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

func (w *world) runs(id string) int {
	n := 0
	for _, r := range w.replicas {
		n += r.Runs(id)
	}
	return n
}

// check holds what callers saw against what the replicas ran.
func (w *world) check() {
	var stream strings.Builder
	for i := range events {
		stream.WriteString(stand.EventText(i + 1))
	}
	counts := map[int]int{}
	for _, o := range w.seen {
		counts[o.status]++
		n := w.runs(o.id)
		if o.calm && n > 0 && !o.whole {
			w.t.Errorf("%s to %s was cut by a planned stop: status %d, %d bytes", o.id, o.path, o.status, len(o.body))
			for _, p := range w.fronts {
				p.tell(0, o.id)
			}
		}
		switch {
		case strings.HasPrefix(o.path, "/do/") && n > 1:
			w.t.Errorf("%s ran %d times", o.id, n)
		case strings.HasPrefix(o.path, "/do/") && n > 0 && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests):
			w.t.Errorf("%s was answered %d and ran", o.id, o.status)
		case o.status != http.StatusOK || !o.whole:
		case strings.HasPrefix(o.path, "/chat/") && o.body != stream.String():
			w.t.Errorf("%s: a stream that looks whole is not: %q", o.id, o.body)
		case !strings.HasPrefix(o.path, "/chat/") && !strings.HasSuffix(o.body, " POST "+o.path):
			w.t.Errorf("%s: wrong answer %q with headers %v", o.id, o.body, o.header)
			for _, p := range w.fronts {
				p.tell(0, o.id)
			}
		}
	}
	w.t.Logf("%d attempts by status: %v", len(w.seen), counts)
	if counts[http.StatusOK] < len(w.seen)/4 {
		w.t.Errorf("only %d of %d attempts were served", counts[http.StatusOK], len(w.seen))
	}
}
