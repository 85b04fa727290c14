package gate

import (
	"time"

	"kingcupstand/core/call"
)

// Event is an input of a Gate: one of the types of this file.
type Event interface {
	apply(g *Gate, now time.Duration)
}

// Arrive is a new offer.
type Arrive struct{ Offer Offer }

// Disconnect is the loss or closing of an offer stream by the entry.
type Disconnect struct{ Stream StreamID }

// FirstByte is the first piece of the target's answer.
type FirstByte struct{ Stream StreamID }

// Finish is the end of the target's answer, with the tokens it counted.
type Finish struct {
	Stream StreamID
	// Complete is true only if the answer was read to its proper end.
	Complete bool
	// Unsent is true only if no byte of the request left for the target.
	Unsent                 bool
	Prompt, Cached, Output int
}

// Tick lets time pass.
type Tick struct{}

// Reconfigure puts a new policy in force.
type Reconfigure struct{ Policy Policy }

// Drain starts a planned stop.
type Drain struct{}

var (
	_ Event = Arrive{}
	_ Event = Disconnect{}
	_ Event = FirstByte{}
	_ Event = Finish{}
	_ Event = Tick{}
	_ Event = Reconfigure{}
	_ Event = Drain{}
)

func (e Arrive) apply(g *Gate, now time.Duration)    { g.arrive(now, e.Offer) }
func (e Disconnect) apply(g *Gate, _ time.Duration)  { g.depart(e.Stream) }
func (e Finish) apply(g *Gate, now time.Duration)    { g.finish(now, e) }
func (e Tick) apply(*Gate, time.Duration)            {}
func (e Reconfigure) apply(g *Gate, _ time.Duration) { g.reconfigure(e.Policy) }
func (e Drain) apply(g *Gate, _ time.Duration)       { g.drain() }

func (e FirstByte) apply(g *Gate, now time.Duration) {
	j, ok := g.jobs[e.Stream]
	if !ok || j.answering {
		return
	}
	j.answering = true
	j.first = now
	if j.state == running {
		g.prefilling -= j.offer.uncached()
	}
}

// Action is an output of a Gate: one of the types below.
type Action interface {
	action()
}

// Dispatch says that the request is to be sent to the target, now and once.
type Dispatch struct{ Stream StreamID }

// Queued says that the offer is queued.
type Queued struct{ Stream StreamID }

// Refuse says that the offer is not dispatched by this agent.
type Refuse struct {
	Stream  StreamID
	Outcome call.Outcome
	// Released is true if this agent has bound itself never to dispatch the id.
	Released bool
}

// Cancel says that the target's answer is to be closed.
type Cancel struct {
	Stream  StreamID
	Outcome call.Outcome
}

// Drained says that a planned stop is complete.
type Drained struct{}

func (Dispatch) action() {}
func (Queued) action()   {}
func (Refuse) action()   {}
func (Cancel) action()   {}
func (Drained) action()  {}
