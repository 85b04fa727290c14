package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcupstand/internal/stand"
)

// zones are the data centres of the replicas. Without the second, each service and each version still
// has a replica.
var zones = [len(versions)]string{"z1", "z2", "z1", "z1", "z2"}

const (
	drainedZone = "z2"
	// drainTime is the time after which a drain must hold, as the users allow.
	drainTime = 5 * time.Second
	// warmUpTime, warmUpRate and the bound of requests in any second are what the platform states
	// of targets that warm up.
	warmUpTime     = 3 * time.Second
	warmUpRate     = 6
	warmUpInSecond = warmUpRate*1.5 + 5
)

// runDrains drains a data centre and takes that back, until end.
func (h *harness) runDrains(end time.Time) {
	r := rand.New(rand.NewPCG(*seed, 6))
	for ok := true; ok; ok = time.Now().Before(end) {
		time.Sleep(time.Duration(r.Int64N(int64(2 * time.Second))))
		h.store.Put("op/evacuate/"+drainedZone, []byte("{}"))
		s := span{from: time.Now()}
		time.Sleep(drainTime + time.Duration(r.Int64N(int64(3*time.Second))))
		s.to = time.Now()
		h.store.Delete("op/evacuate/" + drainedZone)
		h.mu.Lock()
		h.drains = append(h.drains, s)
		h.mu.Unlock()
	}
}

// drainedDuring reports whether the data centre of a replica was drained while an attempt ran. It then
// need not get any.
func (h *harness) drainedDuring(r *replica, o outcome) bool {
	return zones[r.slot] == drainedZone && slices.ContainsFunc(h.drains, func(d span) bool {
		return d.overlaps(span{o.sent, o.ended.Add(drainTime)})
	})
}

// checkDrains checks that the replicas of a drained data centre get no requests, unless the front
// or the store was disturbed.
func (h *harness) checkDrains() {
	front := map[string]int{}
	for _, o := range h.outcomes {
		front[o.id] = o.front
	}
	h.eachArrival(func(r *replica, a stand.Arrival) {
		for _, d := range h.drains {
			w := span{d.from, a.At}
			f, ok := front[a.ID]
			if ok && zones[r.slot] == drainedZone && a.At.After(d.from.Add(drainTime)) && a.At.Before(d.to) && !excused(h.disturbed[f], w) && !excused(h.cut[0], w) {
				h.t.Errorf("%s reached %s, %v after its data centre was drained", a.ID, r.ID, a.At.Sub(d.from))
				h.fronts[f].showLog(0, a.ID)
			}
		}
	})
	h.t.Logf("%d drains", len(h.drains))
}

// checkWarmUp checks that replicas that have just come back get no more requests in any second than
// they bear, whatever happened to the fronts. Requests to the replica that had the address before, which
// are answered with 421, don't count.
func (h *harness) checkWarmUp() {
	var most []stand.Arrival
	var at *replica
	for _, r := range h.replicas {
		if r.from.IsZero() || r.Events == 0 {
			continue
		}
		as := slices.DeleteFunc(r.Arrivals(), func(a stand.Arrival) bool { return a.Misdirected || a.At.After(r.from.Add(warmUpTime)) })
		for i, a := range as {
			n := i
			for n < len(as) && as[n].At.Sub(a.At) < time.Second {
				n++
			}
			if n-i > len(most) {
				most, at = as[i:n], r
			}
		}
	}
	if float64(len(most)) > warmUpInSecond {
		h.t.Errorf("a replica that warms up got %d requests in a second, want at most %.0f", len(most), float64(warmUpInSecond))
		h.showArrivals(at, most)
	}
	h.t.Logf("replicas that warm up got at most %d requests in a second", len(most))
}

// showArrivals logs requests that reached a replica, and when their fronts and its relay were disturbed.
func (h *harness) showArrivals(r *replica, as []stand.Arrival) {
	outcomes := map[string]outcome{}
	for _, o := range h.outcomes {
		outcomes[o.id] = o
	}
	h.t.Logf("%s at %s, registered at %v", r.ID, r.relay.Address(), r.from.UTC())
	for _, a := range as {
		o := outcomes[a.ID]
		h.t.Logf("%v: %s from front %d, sent %v before, ran %d times", a.At.UTC(), a.ID, o.front, a.At.Sub(o.sent), r.Runs(a.ID))
	}
	w := span{r.from, r.from.Add(warmUpTime)}
	for i, ss := range h.disturbed {
		for _, s := range ss {
			if s.overlaps(w) {
				h.t.Logf("front %d disturbed from %v to %v", i, s.from.UTC(), s.to.UTC())
			}
		}
	}
	for _, s := range h.cuts(r) {
		if s.overlaps(w) {
			h.t.Logf("its relay disturbed from %v to %v", s.from.UTC(), s.to.UTC())
		}
	}
}

// eachArrival calls f with each request that reached a replica.
func (h *harness) eachArrival(f func(*replica, stand.Arrival)) {
	for _, r := range h.replicas {
		for _, a := range r.Arrivals() {
			f(r, a)
		}
	}
}
