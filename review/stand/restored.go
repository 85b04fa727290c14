package main

import (
	"strings"
	"time"
)

// Times of a restoration of the store, after a replica has reported that it is draining.
const (
	// copyAge is how old the copy is when the replica reports.
	copyAge = 500 * time.Millisecond
	// away is for how long the store is away.
	away = 100 * time.Millisecond
)

// restoredDrain restores the store from a copy of some seconds before, in which a replica that is draining
// is ready. No request may reach the replica later than drain_ms after it was acknowledged as draining.
func restoredDrain(w *world) (bool, error) {
	rs := planners(8, 20*time.Millisecond, false)
	if err := w.begin(4, 284, rs); err != nil {
		return false, err
	}
	x := rs[0]
	os, err := w.during(30, stream("/plan-once/week"), func() error {
		time.Sleep(5 * time.Second)
		c := w.store.copied()
		time.Sleep(copyAge)
		at := x.drain()
		until(at, 3500*time.Millisecond)
		x.awaitBeat()
		w.restore(&c)
		time.Sleep(1400 * time.Millisecond)
		x.exit(true)
		time.Sleep(3 * time.Second)
		return nil
	})
	late := map[string]bool{}
	between := 0
	for _, a := range w.arrivalsOf() {
		switch {
		case a.replica != x.id || a.afterDrain == 0:
		case a.afterDrain > drainTime:
			late[a.id] = true
			w.say("request %s reaches replica %s %.3f s after the store has accepted that it is draining", a.id, a.replica, a.afterDrain.Seconds())
		case a.afterDrain > 500*time.Millisecond:
			between++
		}
	}
	lost := 0
	for _, o := range os {
		if late[o.id] && !(o.status == 200 && o.whole && len(o.events()) == x.events) {
			lost++
		}
	}
	w.say("%d requests; %d reached the replica 0.5 to 2 s after it was draining, %d later than 2 s; %d of these were not answered to their end", len(os), between, len(late), lost)
	return len(late) > 0, err
}

// drainTime is drain_ms.
const drainTime = 2 * time.Second

// awaitBeat waits until the replica has written its entry.
func (r *replica) awaitBeat() {
	r.mu.Lock()
	n := r.sequence
	r.mu.Unlock()
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		written := r.sequence > n
		r.mu.Unlock()
		if written {
			return
		}
	}
}

// restore makes the store leave for a moment and come back, from a copy if there is trouble.
func (w *world) restore(c *snapshot) {
	w.store.leave()
	w.note("the store is away")
	time.Sleep(away)
	if !w.trouble {
		c = nil
	}
	w.store.comeBack(c)
	w.note("the store is back, from a copy: %v", c != nil)
}

// restoredVersion restores the store from a copy of some seconds before, while replicas are replaced in
// place, two at a time, by ones of a newer version. No stream may hold events of two versions.
func restoredVersion(w *world) (bool, error) {
	rs := planners(8, 200*time.Millisecond, false)
	if err := w.begin(2, 284, rs); err != nil {
		return false, err
	}
	first, second := rs[:2], rs[2:4]
	os, err := w.during(6, stream("/plan/week"), func() error {
		time.Sleep(14 * time.Second)
		c := w.store.copied()
		time.Sleep(copyAge)
		at := time.Now()
		drainAll(first)
		until(at, 2*time.Second)
		drainAll(second)
		until(at, 2500*time.Millisecond)
		if err := replaceAll(first, "v2"); err != nil {
			return err
		}
		first[0].awaitBeat()
		w.restore(&c)
		until(at, 4800*time.Millisecond)
		if err := replaceAll(second, "v2"); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
		return nil
	})
	return w.mixed(os) > 2, err
}

func drainAll(rs []*replica) {
	for _, r := range rs {
		r.drain()
	}
}

// replaceAll ends replicas and starts them again under their ids, with another version, 0.3 s later.
func replaceAll(rs []*replica, version string) error {
	for _, r := range rs {
		r.exit(true)
	}
	time.Sleep(300 * time.Millisecond)
	for _, r := range rs {
		if err := r.start(version); err != nil {
			return err
		}
	}
	return nil
}

// mixed returns the number of streams that hold events of two versions.
func (w *world) mixed(os []outcome) int {
	n := 0
	for _, o := range os {
		if strings.Contains(o.body, "v1") && strings.Contains(o.body, "v2") {
			n++
			w.say("request %s: one answer holds events of two versions, of %d events", o.id, len(o.events()))
		}
	}
	w.say("%d requests, %d streams with events of two versions", len(os), n)
	return n
}
