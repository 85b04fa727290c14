package quota

import "time"

// windowSteps is the number of steps that a window is divided into. Usage expires a whole
// step at a time, when the last of it has left the window.
const windowSteps = 32

// window sums usage over a sliding window.
type window struct {
	step time.Duration
	// current is the number of the present step, counted from time 0.
	current int64
	// used is a ring with one place for each step of the window and one for the present
	// step; sum is the sum over it.
	used [windowSteps + 1]float64
	sum  float64
}

func newWindow(length time.Duration) *window {
	return &window{step: max(1, length/windowSteps)}
}

// advance expires the usage that has left the window.
func (w *window) advance(now time.Duration) {
	s := int64(now / w.step)
	for n := 0; w.current < s && n <= windowSteps; n++ {
		w.current++
		u := w.place(0)
		w.sum -= *u
		*u = 0
	}
	w.current = max(w.current, s)
}

// place returns the place of the step that comes the given number of steps after the
// present one, or of the step one ring length before that, which is the same place.
func (w *window) place(after int64) *float64 {
	n := int64(len(w.used))
	return &w.used[((w.current+after)%n+n)%n]
}

// refundDelay is about how long after it was charged a request is refused at the latest.
const refundDelay = time.Second

// add adds usage at the present time. Negative usage is a refund: it is taken from the steps
// around refundDelay ago, in which it was charged. If it were counted as negative usage at
// the present time, it would still lower the sum when the charge has expired.
func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	if n >= 0 {
		*w.place(0) += n
		w.sum += n
		return
	}
	charged := min(int64(refundDelay/w.step), windowSteps)
	for i := charged; i <= windowSteps; i++ {
		n += w.refund(-i, -n)
	}
	for i := charged - 1; i >= 0; i-- {
		n += w.refund(-i, -n)
	}
}

// refund takes at most n from the step that comes the given number of steps after the
// present one, and returns how much it has taken.
func (w *window) refund(after int64, n float64) float64 {
	u := w.place(after)
	d := min(*u, n)
	*u -= d
	w.sum -= d
	return d
}

// spread adds usage evenly over the past window.
func (w *window) spread(now time.Duration, n float64) {
	w.advance(now)
	for i := int64(1); i <= windowSteps; i++ {
		*w.place(i) += n / windowSteps
	}
	w.sum += n
}

// expires returns the time until at least n of the usage has left the window, or all of it.
func (w *window) expires(now time.Duration, n float64) time.Duration {
	w.advance(now)
	left := 0.0
	for i := int64(1); i < int64(len(w.used)); i++ {
		if left += *w.place(i); left >= n {
			return time.Duration(w.current+i)*w.step - now
		}
	}
	return time.Duration(w.current+int64(len(w.used)))*w.step - now
}
