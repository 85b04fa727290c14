package front

import (
	"context"
	"sync"
)

// positions reads the platform's position for requests. Requests that wait for a read share it,
// so that a burst of them costs few calls. It is safe for concurrent use.
type positions struct {
	source Source

	mu sync.Mutex
	// waiting are the requests for which the next read is made.
	waiting []chan<- positionResult
	// reading is true while run is active.
	reading bool
}

type positionResult struct {
	at  Position
	err error
}

// Ask returns the platform's position, read after the beginning of the call.
func (p *positions) Ask(ctx context.Context) (Position, error) {
	c := make(chan positionResult, 1)
	p.mu.Lock()
	p.waiting = append(p.waiting, c)
	if !p.reading {
		p.reading = true
		go p.run()
	}
	p.mu.Unlock()
	select {
	case r := <-c:
		return r.at, r.err
	case <-ctx.Done():
		return Position{}, context.Cause(ctx)
	}
}

// run reads the position until no request waits for it.
func (p *positions) run() {
	for {
		p.mu.Lock()
		cs := p.waiting
		p.waiting = nil
		p.reading = len(cs) > 0
		p.mu.Unlock()
		if len(cs) == 0 {
			return
		}
		// The requests that share the read end at different times; the Source bounds it.
		at, err := p.source.Position(context.Background())
		for _, c := range cs {
			c <- positionResult{at, err}
		}
	}
}
