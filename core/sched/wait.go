package sched

import "time"

// Limits of the queue wait.
const (
	// firstByteShare is the share of the latency goal within which the first byte must
	// be expected. The rest covers network latency and prediction errors.
	firstByteShare = 0.85
	// minWaitShare is the share of the latency goal that a request may always wait,
	// unless it is late: the fronts' views of the load differ by about one heartbeat
	// interval.
	minWaitShare = 1.0 / 8
	// lateWaitShare is the share of the time left that a late request may wait. Its caller
	// has usually been refused before and doesn't come back a third time.
	lateWaitShare = 0.7
)

// Limits of the delay before a refused caller should retry.
const (
	minRetryDelay = 300 * time.Millisecond
	// maxRetryDelay is about the length of a burst, which lasts a few seconds.
	maxRetryDelay = 6 * time.Second
	// retryDelayShare bounds the delay as a share of the caller's time left. Callers
	// retry after a third of it at the latest, even if the refusal has a longer delay.
	retryDelayShare = 0.33
)

// MaxWait returns how long a request may stay queued. A request that can still meet its
// latency goal may wait as long as its first byte is expected within the goal. For a
// late request the wait is a share of left, the time until the caller gives up.
// Used is the part of the goal that has passed already or will pass between dispatch
// and the first byte. The result late is true if the request can no longer meet its goal.
func MaxWait(goal, used, left time.Duration) (wait time.Duration, late bool) {
	w := time.Duration(firstByteShare*float64(goal)) - used
	if w <= 0 {
		return max(time.Duration(lateWaitShare*float64(left)), 0), true
	}
	return max(w, time.Duration(minWaitShare*float64(goal))), false
}

// retryDelay returns the delay after which a refused caller should retry. Most callers
// miss their goal if they have to retry at all, so the delay is long enough that the burst
// may be over, even if the expected queue wait is shorter. Random, from 0 to 1, spreads
// the retries of requests that were refused together. Left is the time until the caller's
// deadline.
func retryDelay(expected, left time.Duration, random float64) time.Duration {
	longest := min(maxRetryDelay, time.Duration(retryDelayShare*float64(left)))
	e := max(minRetryDelay, expected, longest/2)
	return max(minRetryDelay, min(longest, time.Duration(float64(e)*(1+random))))
}
