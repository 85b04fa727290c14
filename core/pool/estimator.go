package pool

import "time"

// estimator predicts the time to the first event of the engines of one service as a
// fixed time plus a time per prompt token to be prefilled. Both are fitted by weighted
// least squares, in which the weight of a response decays with each later one.
type estimator struct {
	// The weighted sums of 1, the tokens n, the durations d, n*n and n*d.
	w, n, d, nn, nd float64
}

// Parameters of the fit.
const (
	// estimatorDecay is the factor applied to all earlier weights with each response;
	// about the last hundred responses count.
	estimatorDecay = 0.99
	// minEstimatorWeight is the total weight from which the fit is used.
	minEstimatorWeight = 8
	// minPrediction is the shortest time that is predicted.
	minPrediction = time.Millisecond
)

// observe adds a response whose first event came after d with the given number of
// tokens to be prefilled.
func (e *estimator) observe(tokens int, d time.Duration) {
	n, y := float64(tokens), float64(d)
	e.w, e.n, e.d = estimatorDecay*e.w+1, estimatorDecay*e.n+n, estimatorDecay*e.d+y
	e.nn, e.nd = estimatorDecay*e.nn+n*n, estimatorDecay*e.nd+n*y
}

// predict returns the expected time to the first event with the given number of tokens
// to be prefilled.
func (e *estimator) predict(tokens int) time.Duration {
	if e.w < minEstimatorWeight {
		return defaultSetup + defaultPerToken*time.Duration(tokens)
	}
	b := 0.0
	if v := e.w*e.nn - e.n*e.n; v > 0 {
		b = max(0, (e.w*e.nd-e.n*e.d)/v)
	}
	a := max(0, (e.d-b*e.n)/e.w)
	return max(minPrediction, time.Duration(a+b*float64(tokens)))
}
