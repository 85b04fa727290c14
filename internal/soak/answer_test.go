package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcupstand/internal/stand"
)

// Sizes and chances of the targets' answers. One in so many has no length, breaks off, isn't the rest of
// its stream, and is followed by bytes of another one.
const (
	streamLength                                        = 50
	targetSlots                                         = 6
	targetQueue                                         = 12
	unframedChance, breakChance, oddChance, extraChance = 6, 12, 6, 12
)

// target is a replica that runs streams in slots.
type target struct {
	*stand.Replica
	soak     *streamSoak
	slots    chan struct{}
	waiting  atomic.Int64
	slowdown atomic.Int64 // multiplies the time between events
	ended    atomic.Value // how the target has ended, as a string
	// mu guards random and late, which holds what a connection carries before its next answer.
	mu     sync.Mutex
	random *rand.Rand
	late   map[net.Conn]string
}

// streamRun is a run of a stream at a target.
type streamRun struct {
	attempt string
	target  *target
	from    int
	plan    answerPlan
	// ended is true after the run, and cut if the target couldn't send the whole answer.
	ended, cut bool
}

// answerPlan is how an answer is sent, and what is wrong with it.
type answerPlan struct {
	// gap is the time between events in percent of the usual one.
	gap      time.Duration
	unframed bool
	// end is the event at which the answer breaks off, or 0. It is sent in part if inside is true.
	end           int
	inside, reset bool
	// odd is the index of an answer that isn't the rest of a stream, or -1.
	odd int
	// extra is how much of another answer follows, in quarters. It is sent with the next answer of
	// the connection if late is true.
	extra int
	late  bool
}

// draw draws what is wrong with an answer from an event on.
func draw(r *rand.Rand, from int) answerPlan {
	p := answerPlan{gap: 50 + time.Duration(r.Int64N(100)), odd: -1, late: r.IntN(2) == 0}
	p.unframed = r.IntN(unframedChance) == 0
	left := streamLength - from
	if left > 0 && r.IntN(breakChance) == 0 {
		p.end, p.inside, p.reset = from+1+r.IntN(left), r.IntN(2) == 0, r.IntN(2) == 0
	}
	if from > 0 && left > laterEvent && r.IntN(oddChance) == 0 {
		p.odd = r.IntN(len(oddAnswers))
	}
	if r.IntN(extraChance) == 0 {
		p.extra = 1 + r.IntN(4)
	}
	return p
}

// cause names what is wrong with the answer of a run.
func (u *streamRun) cause() string {
	p := u.plan
	s := "in chunks"
	if p.unframed {
		s = "without length"
	}
	if p.odd >= 0 {
		return "odd answer: " + oddAnswers[p.odd].name
	}
	if e, ok := u.target.ended.Load().(string); ok && (u.cut || !u.ended) {
		return s + ", target ended with " + e
	}
	if p.end > 0 && u.ended && !u.cut {
		s += ", ends with " + map[bool]string{true: "RST", false: "FIN"}[p.reset] + map[bool]string{true: " in an event", false: " between events"}[p.inside]
	}
	return s
}

// mayEndEarly reports whether a front can't know from the answer of a run that the stream isn't
// complete.
func (u *streamRun) mayEndEarly(o outcome) bool {
	return u.cause() == "without length, ends with FIN between events" || u.plan.odd == oddEmpty && o.body == ""
}

// oddAnswer isn't the rest of a stream: it has a text and then events from a number on, counted from
// the last event.
type oddAnswer struct {
	name, status, kind, text string
	events                   int
}

const (
	none       = streamLength + 1
	laterEvent = 3
	oddEmpty   = 0 // the index of the empty answer
)

var oddAnswers = []oddAnswer{
	{"empty", "200 OK", "text/event-stream", "", none},
	{"204", "204 No Content", "text/event-stream", "", none},
	{"from the start", "200 OK", "text/event-stream", "", -streamLength},
	{"last event again", "200 OK", "text/event-stream", "", 0},
	{"later event", "200 OK", "text/event-stream", "", laterEvent},
	{"JSON", "200 OK", "application/json", `{"error":"unknown"}`, none},
	{"text", "200 OK", "text/event-stream", "internal error\n\n", none},
	{"event without id", "200 OK", "text/event-stream", "event: error\ndata: unknown\n\n", none},
	{"head", "200 OK", "text/event-stream", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", 1},
}

// streamTexts returns the events of the stream with a path, from one to another.
func streamTexts(path, version string, from, to int) string {
	var b strings.Builder
	for n := max(1, from); n <= min(to, streamLength); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: part %d of %s by %s\n\n", n, n, path, version)
	}
	return b.String()
}

// startTarget starts a target and lists it.
func (s *streamSoak) startTarget(version string) *target {
	s.started++
	i := s.started
	r, err := stand.NewReplicaAt(s.address(i%200, 10+i/200), fmt.Sprintf("i-%d", i), streamLength, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = r.Close() })
	a := &target{Replica: r, soak: s, slots: make(chan struct{}, targetSlots), random: rand.New(rand.NewPCG(*seed, uint64(1000+i))), late: map[net.Conn]string{}}
	a.slowdown.Store(1)
	r.Version, r.Slots, r.Answer = version, targetSlots, a.answer
	s.store.Register(r, "llm")
	return a
}

// answer answers a request.
func (a *target) answer(c net.Conn, q *http.Request, head string) bool {
	path := q.URL.Path
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // absent: 0, the start of the stream
	u := &streamRun{attempt: q.Header.Get("Attempt-Id"), target: a, from: from}
	if a.waiting.Add(1) > targetQueue {
		a.waiting.Add(-1)
		return send(c, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
	}
	a.slots <- struct{}{}
	a.waiting.Add(-1)
	defer func() { <-a.slots }()
	a.mu.Lock()
	late := a.late[c]
	delete(a.late, c)
	p := draw(a.random, from)
	a.mu.Unlock()
	if u.plan = p; !strings.HasPrefix(u.attempt, "s-") {
		u.plan = answerPlan{odd: -1}
	}
	a.soak.note(path, u)
	ok := late == "" || send(c, "%s", late)
	keep := false
	if ok {
		keep, ok = a.sendStream(c, path, u, head)
	}
	a.soak.noteEnd(u, !ok)
	return keep
}

// sendStream sends the answer of a run. It reports whether the connection is kept, and whether it could
// send all of it.
func (a *target) sendStream(c net.Conn, path string, u *streamRun, head string) (keep, ok bool) {
	p := u.plan
	if p.odd >= 0 {
		o := oddAnswers[p.odd]
		b := o.text + streamTexts(path, a.Version, u.from+o.events, streamLength)
		ok = send(c, "HTTP/1.1 %s\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", o.status, head, o.kind, len(b), b)
		return false, ok
	}
	framing, frame := "Transfer-Encoding: chunked", func(t string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(t), t) }
	if p.unframed {
		framing, frame = "Connection: close", func(t string) string { return t }
	}
	ok = send(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n\r\n", head, framing)
	for n := u.from + 1; ok && n <= streamLength; n++ {
		time.Sleep(a.soak.gap * p.gap / 100 * time.Duration(a.slowdown.Load()))
		t := streamTexts(path, a.Version, n, n)
		if n == p.end {
			if p.inside {
				send(c, "%s", frame(t[:len(t)/2]))
			}
			if p.reset {
				stand.ResetConn(c)
			}
			return false, true
		}
		ok = send(c, "%s", frame(t))
	}
	if p.unframed || !ok || !send(c, "0\r\n\r\n") {
		return false, ok
	}
	b := streamTexts(path, a.Version, 1, 9)
	x := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Stamp: x\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	x = x[:len(x)*p.extra/4]
	if x != "" {
		a.soak.count("runs: followed by bytes of another answer")
	}
	if p.late {
		a.mu.Lock()
		a.late[c] = x
		a.mu.Unlock()
		return true, true
	}
	return x == "" || send(c, "%s", x), true
}

// send reports whether it could write the formatted text.
func send(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}
