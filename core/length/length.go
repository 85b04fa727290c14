// Package length estimates how many events the streamed response to a request will have.
//
// Callers may send a hint of the number of output tokens. The estimator learns for each
// route how many events a hinted token stands for, and the mean number of events for
// requests without a hint.
//
// # Usage
//
//	e := length.New()
//	n := e.Expect("route", 300)
//	e.Observe("route", 300, 74)
package length

// decay is the factor applied to all earlier weights with each response; about the last
// hundred responses of a route count.
const decay = 0.99

// defaultEventsPerToken is used for routes whose responses have not been seen: engines
// send a few tokens with each event.
const defaultEventsPerToken = 0.25

// sums are the weighted sums over the responses of a route.
type sums struct {
	responses, events float64
	// hinted and hints are the events and the hinted tokens of responses with a hint.
	hinted, hints float64
}

// Estimator holds what was learned from the responses of all routes. It is not safe for
// concurrent use.
type Estimator struct {
	routes map[string]*sums
}

// New returns an Estimator that has seen no response.
func New() *Estimator { return &Estimator{routes: map[string]*sums{}} }

// Expect returns the expected number of events of a response. Hint is the hinted number of
// output tokens, or 0 if there is none. The result is 0 if nothing is known.
func (e *Estimator) Expect(route string, hint int) float64 {
	s := e.routes[route]
	switch {
	case hint > 0 && s != nil && s.hints > 0:
		return float64(hint) * s.hinted / s.hints
	case hint > 0:
		return float64(hint) * defaultEventsPerToken
	case s != nil:
		return s.events / s.responses
	default:
		return 0
	}
}

// Observe records the number of events of a complete response.
func (e *Estimator) Observe(route string, hint, events int) {
	s := e.routes[route]
	if s == nil {
		s = &sums{}
		e.routes[route] = s
	}
	s.responses, s.events = decay*s.responses+1, decay*s.events+float64(events)
	if hint > 0 {
		s.hinted, s.hints = decay*s.hinted+float64(events), decay*s.hints+float64(hint)
	}
}
