package main

import "time"

// leaving takes one of eight replicas away, as its pages say, while it sends streams without length and
// chunks on a route that isn't resumable. No stream may end as complete before its last event.
func leaving(w *world) (bool, error) {
	rs := planners(8, 60*time.Millisecond, true)
	if err := w.begin(2, 284, rs); err != nil {
		return false, err
	}
	os, err := w.during(16, stream("/plan-once/week"), func() error {
		time.Sleep(6 * time.Second)
		if w.trouble {
			at := rs[0].drain()
			until(at, 2500*time.Millisecond)
			rs[0].exit(true)
		}
		time.Sleep(6 * time.Second)
		return nil
	})
	short, whole, cut := 0, 0, 0
	for _, o := range os {
		switch n := len(o.events()); {
		case o.status != 200:
		case o.whole && n < rs[0].events:
			short++
			w.say("request %s: the stream ends as complete after event %d of %d", o.id, n, rs[0].events)
		case o.whole:
			whole++
		default:
			cut++
		}
	}
	w.say("%d requests, %d streams whole, %d broken off visibly, %d end as complete before their last event", len(os), whole, cut, short)
	return short > 0, err
}
