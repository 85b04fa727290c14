package fair

import "time"

// ringSteps is the number of steps that a window is divided into. Use leaves the window a whole
// step at a time.
const ringSteps = 32

// ring holds the use in a sliding window.
type ring struct {
	step time.Duration
	// current is the number of the present step, counted from time 0.
	current int64
	// used has one place for each step of the window and one for the present step.
	used [ringSteps + 1]float64
}

func newRing(window time.Duration) *ring { return &ring{step: max(1, window/ringSteps)} }

// place returns the place of a step.
func (r *ring) place(step int64) *float64 {
	const n = ringSteps + 1
	return &r.used[(step%n+n)%n]
}

// advance clears the steps that have left the window.
func (r *ring) advance(now time.Duration) {
	s := int64(now / r.step)
	for n := 0; r.current < s && n <= ringSteps; n++ {
		r.current++
		*r.place(r.current) = 0
	}
	r.current = max(r.current, s)
}

// add adds the use of the time from since to now, of which the part before the window is left out.
// Negative use is a refund.
func (r *ring) add(since, now time.Duration, n float64) {
	if n == 0 {
		return
	}
	r.advance(now)
	if n < 0 {
		r.refund(-n)
		return
	}
	from := min(int64(since/r.step), r.current)
	n /= float64(r.current - from + 1)
	for s := max(from, r.current-ringSteps); s <= r.current; s++ {
		*r.place(s) += n
	}
}

// resetExcess is how many times the use in the window a decrease of a total must be to count as a
// reset. Sums of parts are not exact, so that a refund of all may be a little more.
const resetExcess = 1.01

// refund takes n from the latest use. A decrease by more than the window holds is not a refund: the
// front's total has been reset, for example as the workspace had left the plan for a while.
func (r *ring) refund(n float64) {
	if n > resetExcess*r.total() {
		return
	}
	for s := r.current; n > 0 && s >= r.current-ringSteps; s-- {
		u := r.place(s)
		d := min(*u, n)
		*u -= d
		n -= d
	}
}

// sum returns the use in the window up to now.
func (r *ring) sum(now time.Duration) float64 {
	r.advance(now)
	return r.total()
}

func (r *ring) total() float64 {
	n := 0.0
	for _, u := range r.used {
		n += u
	}
	return n
}
