// Package intake receives what callers send to a process: it bounds their connections, and reads the bodies of
// their requests, within the memory and the descriptors of the process. Callers may send many large bodies at
// once, stop before their end and stay; bodies without end; and bodies that nobody has asked for.
//
// # Usage
//
//	i := intake.New(intake.Limits{Memory: 284 << 20, Connections: 3500}, report)
//	i.Attach(server)
//	l, err := i.Listener(listener)
//	go server.Serve(l)
//	go i.Run(ctx)
//
//	// In a handler:
//	b, err := i.Read(w, r, intake.Terms{Rank: 1, Limit: 4 << 20, Deadline: deadline})
//	if err != nil {
//		finish := intake.Refuse(w, r, err)
//		w.WriteHeader(http.StatusServiceUnavailable)
//		_ = finish()
//		return
//	}
//	defer b.Release()
//
// # Memory
//
// A quarter of the process's memory is for bodies and for responses that are read before they are forwarded
// (see core/memory), and up to a fifth for callers' connections. A body is left unread until there is room for it,
// which stops its caller from sending more, and refused if there is none in time. One that is being received
// holds its room for as long as its request may take, but gives it up to another one if its caller doesn't go
// on sending it.
//
// Bytes that the kernel has received on connections that are not read are bounded by small receive buffers, and
// by the length of the queue of connections that wait to be accepted.
package intake

import (
	"context"
	"net/http"
	"time"

	"kingcupstand/core/memory"
)

const (
	// requestMemory is the part of the process's memory that is for the bodies of requests and for
	// responses that are read before they are forwarded, as a divisor. The heap grows to one and a half
	// times what is in use before it is collected.
	requestMemory = 4
	// Connections beyond their limit are closed at intervals of minInterval to maxInterval.
	minInterval = 50 * time.Millisecond
	maxInterval = time.Second
)

// Limits are the limits of a process; 0 means none.
type Limits struct {
	// Memory is in bytes.
	Memory int64
	// Connections is the number of callers' connections that are open at a time.
	Connections int
}

// Report is what an Intake has closed as there were more connections than most.
type Report struct {
	// Idle and Slow are the numbers of idle connections, and of those with bodies that their callers didn't
	// go on sending.
	Idle, Slow, Most int
}

// Intake bounds what one process receives from callers. It is safe for concurrent use.
type Intake struct {
	account *memory.Account
	bodies  *memory.Intake
	conns   *conns
	limits  Limits
	report  func(Report)
	started time.Time
}

// New returns an Intake. It calls report after it has closed connections.
func New(l Limits, report func(Report)) *Intake {
	a := memory.New(l.Memory / requestMemory)
	return &Intake{
		account: a, bodies: memory.NewIntake(a), conns: newConns(l), limits: l, report: report, started: time.Now(),
	}
}

// Account returns the account of the memory for requests.
func (i *Intake) Account() *memory.Account { return i.account }

// Attach makes a server report its connections to the Intake.
func (i *Intake) Attach(s *http.Server) {
	s.ConnState = i.conns.observe
}

// Run closes connections beyond their limit until ctx ends.
func (i *Intake) Run(ctx context.Context) {
	t := time.NewTicker(maxInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-i.conns.exceeded:
			time.Sleep(minInterval)
		}
		i.closeExcess()
	}
}

// closeExcess closes connections beyond the limit: idle ones, and if these aren't enough, those whose callers
// don't go on sending their bodies. The requests of these are refused first, and as more callers may wait to be
// accepted, connections are closed down to half of the limit.
func (i *Intake) closeExcess() {
	n := i.conns.excess()
	if n <= 0 {
		return
	}
	r := Report{Most: i.conns.most}
	r.Idle = i.conns.closeIdle(n)
	if n -= r.Idle; n > 0 {
		r.Slow = i.bodies.EvictSlow(i.now(), n+i.conns.most/2)
	}
	if r.Idle+r.Slow > 0 {
		i.report(r)
	}
}

func (i *Intake) now() time.Duration { return time.Since(i.started) }
