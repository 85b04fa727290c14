package gate

import (
	"time"

	"kingcupstand/core/call"
)

// Event is an input of [Gate.Step]: one of the types in this file.
type Event interface {
	apply(g *Gate, now time.Duration)
}

// Arrive reports a new offer.
type Arrive struct{ Offer Offer }

// Disconnect reports that the entry closed or lost an offer stream.
type Disconnect struct{ Stream StreamID }

// FirstByte reports the first byte of the body of the target's response.
type FirstByte struct{ Stream StreamID }

// Finish reports the end of the target's response, with the target's own token
// counts.
type Finish struct {
	Stream StreamID
	// Complete is true only if the response was read to its proper end.
	Complete bool
	// Unsent is true only if no byte of the request was sent to the target.
	Unsent                 bool
	Prompt, Cached, Output int
}

// Tick advances the time without any other event.
type Tick struct{}

// Reconfigure replaces the policy.
type Reconfigure struct{ Policy Policy }

// Drain starts a drain: queued requests are released and new ones refused.
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
func (e Disconnect) apply(g *Gate, _ time.Duration)  { g.disconnect(e.Stream) }
func (e Finish) apply(g *Gate, now time.Duration)    { g.finish(now, e) }
func (e Tick) apply(*Gate, time.Duration)            {}
func (e Reconfigure) apply(g *Gate, _ time.Duration) { g.reconfigure(e.Policy) }
func (e Drain) apply(g *Gate, _ time.Duration)       { g.drain() }

func (e FirstByte) apply(g *Gate, now time.Duration) {
	j, ok := g.jobs[e.Stream]
	if !ok || j.prefilled {
		return
	}
	j.prefilled = true
	j.firstByte = now
	if j.state == running {
		g.prefillTokens -= j.offer.uncached()
	}
}

// Action is an output of [Gate.Step]: one of the types below.
type Action interface {
	action()
}

// Dispatch asks for the request to be sent to the target at once. It is emitted at
// most once for a request id.
type Dispatch struct{ Stream StreamID }

// Queued reports that the offer was queued.
type Queued struct{ Stream StreamID }

// Refuse reports that this agent does not dispatch the offer.
type Refuse struct {
	Stream  StreamID
	Outcome call.Outcome
	// Released is true if this agent will never dispatch the id, so that the entry
	// may offer the request to another agent.
	Released bool
}

// Cancel asks for the target's response to be closed.
type Cancel struct {
	Stream  StreamID
	Outcome call.Outcome
}

// Drained reports that a drain is complete: no request is left.
type Drained struct{}

func (Dispatch) action() {}
func (Queued) action()   {}
func (Refuse) action()   {}
func (Cancel) action()   {}
func (Drained) action()  {}
