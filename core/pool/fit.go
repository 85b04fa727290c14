package pool

import "time"

// fit learns how long engines of one service take to the first event: a fixed time
// and a time for each prompt token ahead, by least squares over recent answers.
type fit struct {
	w, n, d, nn, nd float64
}

// Bounds of a fit.
const (
	// fade is how much of the past's weight each new answer leaves; some hundred
	// answers count.
	fade = 0.99
	// least is the weight of answers from which a fit is used.
	least = 8
	// shortest is the least time that is predicted.
	shortest = time.Millisecond
)

func (f *fit) add(tokens int, d time.Duration) {
	n, y := float64(tokens), float64(d)
	f.w, f.n, f.d = fade*f.w+1, fade*f.n+n, fade*f.d+y
	f.nn, f.nd = fade*f.nn+n*n, fade*f.nd+n*y
}

// at returns the time for so many tokens ahead.
func (f *fit) at(tokens int) time.Duration {
	if f.w < least {
		return assumedSetup + assumedToken*time.Duration(tokens)
	}
	b := 0.0
	if v := f.w*f.nn - f.n*f.n; v > 0 {
		b = max(0, (f.w*f.nd-f.n*f.d)/v)
	}
	a := max(0, (f.d-b*f.n)/f.w)
	return max(shortest, time.Duration(a+b*float64(tokens)))
}
