package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kingcupstand/internal/stand"
)

var large = flag.Bool("soak.large", false, "run TestStreams with many fronts and targets")

// Times and shares of TestStreams.
const (
	streamTime   = 12 * time.Second
	streamTries  = 6
	shownStreams = 3
	// oldVersion runs at all targets, and newVersion at releasedShare of them after a release.
	oldVersion, newVersion = "v1", "v1.1"
	releasedShare          = 0.45
	// leaveChance is one in so many attempts that are left by their caller.
	leaveChance = 10
)

// streamSoak has fronts before targets whose streams fall silent, break off and are mixed with other
// bytes.
type streamSoak struct {
	*harness
	targets []*target
	started int
	gap     time.Duration // usually between events
	// runs are those of the streams that aren't whole, by path, and counts the numbers of streams and
	// attempts by what has happened to them. The mutex of the harness guards both.
	runs   map[string][]*streamRun
	counts map[string]int
	shown  int
}

// Guards against streams that aren't one run in order and of one version, or that end as complete
// before their last event, while targets fall silent, break off and answer oddly.
func TestStreams(t *testing.T) {
	fronts, targets, callers, gap := 4, 8, 60, 10*time.Millisecond
	if *large {
		fronts, targets, callers, gap = 40, 120, 900, 40*time.Millisecond
	}
	t.Logf("seed %d: %d fronts, %d targets, %d callers", *seed, fronts, targets, callers)
	s := &streamSoak{
		harness: &harness{t: t, random: rand.New(rand.NewPCG(*seed, 20)), store: stand.NewStore()},
		gap:     gap, runs: map[string][]*streamRun{}, counts: map[string]int{},
	}
	s.store.Put("op/config", []byte(`{"version":1,"routes":[{"name":"chat","host":"soak","prefix":"/chat/","route_kind":"streaming","timeout_ms":12000,"latency_goal_ms":800,"priority":0,"service":"llm","max_attempts":3,"resumable":true,"gap_goal_ms":400}],
		"services":[{"name":"llm","max_connections":520,"engine":{"slots":6,"kv_capacity":400000}}]}`))
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	for range targets {
		s.targets = append(s.targets, s.startTarget(oldVersion))
	}
	dir := t.TempDir()
	binary := s.binary(dir)
	for i := range fronts {
		s.startFront(dir, binary, strings.TrimPrefix(server.URL, "http://"), i, 1+i%2*3)
	}
	s.recover("/chat/")
	s.began = time.Now()
	stop := make(chan struct{})
	var g sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	for i := range callers {
		g.Go(func() { s.runStreams(stop, transport, i) })
	}
	s.runStreamFaults(s.began.Add(*faultTime))
	close(stop)
	g.Wait()
	s.faults.Wait()
	for _, c := range slices.Sorted(maps.Keys(s.counts)) {
		t.Logf("%7d %s", s.counts[c], c)
	}
	if s.counts["streams: whole"] < s.counts["streams"]/4 || s.counts["attempts: resumes true, status 200"] == 0 {
		t.Error("want at least a quarter of the streams whole, and some resumed")
	}
}

// end ends a target after a time, and lists it for another one.
func (s *streamSoak) end(a *target, how string, after, listed time.Duration) {
	s.faults.Go(func() {
		time.Sleep(after)
		a.ended.Store(how)
		if how == "FIN" {
			_ = a.Close() // an error means that it is closed already
		} else {
			a.Crash()
		}
		time.Sleep(listed)
		s.store.Delete("servers/" + a.ID)
	})
}

// runStreamFaults injects faults until end. In the middle half of the time, newVersion is released.
func (s *streamSoak) runStreamFaults(end time.Time) {
	r := s.random
	pause := 4 * time.Second / time.Duration(len(s.targets))
	released := 0
	for ; time.Now().Before(end); time.Sleep(time.Duration(r.Int64N(2 * int64(pause)))) {
		i, f := r.IntN(len(s.targets)), s.fronts[r.IntN(len(s.fronts))]
		a := s.targets[i]
		d := 700*time.Millisecond + time.Duration(r.Int64N(int64(2300*time.Millisecond)))
		how := []string{"FIN", "RST"}[r.IntN(2)]
		done := min(1, 2*time.Since(s.began).Seconds()/end.Sub(s.began).Seconds()-0.5)
		for ; float64(released) < done*releasedShare*float64(len(s.targets)); released++ {
			s.store.Drain(s.targets[released].Replica, "llm")
			s.end(s.targets[released], how, 4*time.Second, 0)
			s.targets[released] = s.startTarget(newVersion)
		}
		switch k := r.IntN(20); {
		case k < 9:
			a.Pause(d)
		case k < 12:
			a.slowdown.Store(4)
			s.faults.Go(func() { time.Sleep(d); a.slowdown.Store(1) })
		case k < 15:
			s.end(s.targets[i], how, 0, d)
			s.targets[i] = s.startTarget(a.Version)
		case k < 19:
			f.signal(syscall.SIGSTOP)
			s.faults.Go(func() { time.Sleep(d); f.signal(syscall.SIGCONT) })
		default:
			s.faults.Go(func() { f.crash(d / 2) })
		}
	}
}

// note records the start of a run.
func (s *streamSoak) note(path string, u *streamRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.runs[path], func(v *streamRun) bool { return v.attempt == u.attempt }); i >= 0 {
		s.counts[fmt.Sprintf("runs: after one of the attempt that has ended: %v", s.runs[path][i].ended)]++
	}
	s.counts["runs"]++
	s.runs[path] = append(s.runs[path], u)
}

// noteEnd records the end of a run, which is cut if the target couldn't send all of it.
func (s *streamSoak) noteEnd(u *streamRun, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.ended, u.cut = true, cut
}

// count counts something.
func (s *streamSoak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// runStreams requests streams one after the other until stop is closed. Every other caller rests half
// of the time.
func (s *streamSoak) runStreams(stop <-chan struct{}, t *http.Transport, n int) {
	r := rand.New(rand.NewPCG(*seed, uint64(n)+10))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(100)) * time.Millisecond):
		}
		if n%2 == 0 || time.Since(s.began)/(2*time.Second)%2 == 0 {
			s.stream(t, r, fmt.Sprintf("s-%d-%d", n, i))
		}
	}
}

// taken is what the caller of a stream has received: the events up to last, of a version, of which
// the attempt first brought the first one.
type taken struct {
	path, first, version string
	last                 int
	outcomes             []outcome
}

// add adds the answer to an attempt. It returns what is wrong with it, or "".
func (k *taken) add(o outcome) string {
	b := o.body
	if k.version == "" {
		k.version = oldVersion
		if !strings.HasPrefix(b, streamTexts(k.path, oldVersion, 1, 1)) {
			k.version = newVersion
		}
	}
	next := streamTexts(k.path, k.version, k.last+1, k.last+1)
	for next != "" && strings.HasPrefix(b, next) {
		b = b[len(next):]
		k.last++
		next = streamTexts(k.path, k.version, k.last+1, k.last+1)
	}
	if k.last == 0 {
		k.version = ""
	} else if k.first == "" {
		k.first = o.id
	}
	n := 0
	_, err := fmt.Sscanf(b, "id: %d\n", &n)
	switch {
	case b == "" && o.complete && next != "":
		return "ends early"
	case b == "" || !o.complete && strings.HasPrefix(next, b):
		return ""
	case err != nil || !strings.HasPrefix(b, fmt.Sprintf("id: %d\ndata: part %d of %s by ", n, n, k.path)):
		return "other bytes"
	case !strings.HasPrefix(b, streamTexts(k.path, k.version, n, n)):
		return "another version"
	case n <= k.last:
		return "goes back"
	}
	return "events are missing"
}

// stream requests a stream, and the rest of it where it broke off.
func (s *streamSoak) stream(t *http.Transport, r *rand.Rand, name string) {
	k := &taken{path: "/chat/" + name}
	end := "broken off"
	began := time.Now()
	for i := 0; i < streamTries && end == "broken off" && time.Since(began) < streamTime; i++ {
		left := streamTime - time.Since(began)
		c := &http.Client{Transport: t, Timeout: left}
		if r.IntN(leaveChance) == 0 {
			c.Timeout = time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
		}
		f := r.IntN(len(s.fronts))
		o := call(c, s.fronts[f].address, fmt.Sprintf("%s-%d", name, i), k.path, func(h http.Header) {
			h.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
			if k.first != "" {
				h.Set("Resumes", k.first)
				h.Set("Last-Event-Id", fmt.Sprint(k.last))
			}
		})
		o.front = f
		k.outcomes = append(k.outcomes, o)
		s.count(fmt.Sprintf("attempts: resumes %v, status %d", k.first != "", o.status))
		if o.status == http.StatusOK {
			if e := k.add(o); e != "" {
				end = s.outOfOrder(k, e)
			}
		}
		switch {
		case end != "broken off":
		case k.last == streamLength:
			end = "whole"
		case k.last == 0 && o.status == http.StatusServiceUnavailable:
			end = "refused"
		default:
			time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
		}
	}
	s.count("streams: " + end)
	s.count("streams")
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, k.path)
}

// outOfOrder reports a stream with an error, and returns how it counts.
func (s *streamSoak) outOfOrder(k *taken, e string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := k.outcomes[len(k.outcomes)-1]
	var causes, trace []string
	excused := false
	for _, u := range s.runs[k.path] {
		trace = append(trace, fmt.Sprintf("%s at %s (%s) after %d: %s; ended %v, %+v", u.attempt, u.target.ID, u.target.Version, u.from, u.cause(), u.ended, u.plan))
		if u.attempt == o.id {
			causes = append(causes, u.cause())
			excused = excused || e == "ends early" && u.mayEndEarly(o)
		}
	}
	what := fmt.Sprintf("out of order: %s; attempt with %q", e, causes)
	if excused {
		s.counts[what+" (can't be known)"]++
		return "ends early where that can't be known"
	}
	s.counts[what]++
	s.t.Errorf("%s, event %d: %s", o.id, k.last, what)
	if s.shown++; s.shown <= shownStreams {
		s.t.Logf("got %q\n%s", o.body[max(0, len(o.body)-400):], strings.Join(trace, "\n"))
		s.faults.Go(func() {
			time.Sleep(200 * time.Millisecond) // logs are written late
			for _, o := range k.outcomes {
				s.fronts[o.front].showLog(0, "request-id="+o.id)
			}
		})
	}
	return "out of order"
}
