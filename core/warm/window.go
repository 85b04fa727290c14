package warm

import "time"

// window is the span in which the requests to a target are counted.
const window = time.Second

// Window counts the requests of one front to one target in the last second. The zero Window is
// empty.
type Window struct {
	times []time.Duration
}

// Add counts a request that is sent now.
func (w *Window) Add(now time.Duration) {
	w.prune(now)
	w.times = append(w.times, now)
}

// Len returns the number of requests in the last second.
func (w *Window) Len(now time.Duration) int {
	w.prune(now)
	return len(w.times)
}

// Since returns the number of requests in the last second that were sent later than a time.
func (w *Window) Since(now, after time.Duration) int {
	w.prune(now)
	n := 0
	for n < len(w.times) && w.times[len(w.times)-1-n] > after {
		n++
	}
	return n
}

func (w *Window) prune(now time.Duration) {
	n := 0
	for n < len(w.times) && now-w.times[n] >= window {
		n++
	}
	w.times = w.times[n:]
}
