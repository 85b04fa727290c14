package sched

import "time"

// Bounds of a wait for a turn.
const (
	// goalPart is the part of a goal that may pass until the first byte is due,
	// the rest is left for the way and for a prediction that is off.
	goalPart = 0.85
	// leastPart of a goal is always waited: fronts' views differ by about a beat.
	leastPart = 1.0 / 8
	// latePart of the time that a caller whose goal has passed will wait is spent
	// in line; most of it is left for the answer.
	latePart = 1.0 / 150
)

// Bounds of a pause.
const (
	// leastPause is the shortest time after which a refused caller is asked back.
	leastPause = 300 * time.Millisecond
	// longestPause is the longest: a burst lasts a few seconds.
	longestPause = 6 * time.Second
	// pausePart of the time that a caller has left is the most that it is asked to
	// stay away; callers heed no more than a third.
	pausePart = 0.33
)

// MaxWait returns how long a request may wait for its turn: until its answer
// could not begin within the goal any more, or for a part of what is left to a
// caller whose goal has passed. Used is the part of the goal that is gone or will
// pass between the turn and the answer's first byte.
func MaxWait(goal, used, left time.Duration) (wait time.Duration, late bool) {
	w := time.Duration(goalPart*float64(goal)) - used
	if w <= 0 {
		return max(time.Duration(latePart*float64(left)), 0), true
	}
	return max(w, time.Duration(leastPart*float64(goal))), false
}

// pause returns when a refused caller is asked back. A pause makes most callers
// late, so they are asked back when the rush may be over rather than at once. The
// random part, from 0 to 1, spreads those that are refused together.
func pause(expected, left time.Duration, random float64) time.Duration {
	longest := min(longestPause, time.Duration(pausePart*float64(left)))
	e := max(leastPause, expected, longest/2)
	return max(leastPause, min(longest, time.Duration(float64(e)*(1+random))))
}
