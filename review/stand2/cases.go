package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case "shared".
const (
	// calm is how long requests are served before the replicas crash, down how long these are gone, recovery the
	// users' recover_s, and judged the time after that in which requests are counted.
	calm     = 6800 * time.Millisecond
	down     = 2 * time.Second
	recovery = 12 * time.Second
	judged   = 12 * time.Second
	// Requests come in waves of the size wave, interval apart. Pace is the time between two events of an answer.
	wave     = 16
	interval = 2 * time.Second
	pace     = 400 * time.Millisecond
)

// runShared checks that requests are served again after all replicas of a service have crashed at once. All prompts
// begin with the same part.
func runShared(s *system, trouble bool) (bool, error) {
	if err := s.start(&replica{events: 64, short: 4, gap: pace}, 12, 4, "1.0"); err != nil {
		return false, err
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	type count struct{ served, sent int }
	var before, later count
	began := time.Now()
	if trouble {
		time.AfterFunc(calm, func() {
			for _, r := range s.replicas {
				r.crash(down)
			}
			s.record.note("all replicas have crashed")
		})
	}
	for i := 0; i < wave*int((calm+down+recovery+judged)/interval); i++ {
		if i%wave == 0 {
			time.Sleep(time.Until(began.Add(time.Duration(i/wave) * interval)))
		}
		sent := time.Since(began)
		g.Go(func() {
			f := s.fronts[i%len(s.fronts)]
			a := call(f.callers(), http.MethodPost, fmt.Sprintf("%s%d", shortPrefix, i), newAttempt(), shortLimit, gapLimit, fmt.Sprintf("Prompt-Prefix: 5c1e07a2:60,%08x:540", 1000+i))
			served := a.complete && a.status == http.StatusOK
			s.record.note("request %d at %s: sent at %.3f, status %d, served %v %s, Retry-After %q", i, f.name, sent.Seconds(), a.status, served, a.refusal(), a.header.Get("Retry-After"))
			mu.Lock()
			defer mu.Unlock()
			c := &count{}
			switch {
			case sent < calm-shortLimit:
				c = &before
			case sent > calm+down+recovery:
				c = &later
			}
			c.sent++
			if served {
				c.served++
			}
		})
	}
	g.Wait()
	s.record.note("served before the crash: %d of %d; sent over 12 s after the replicas are back: %d of %d", before.served, before.sent, later.served, later.sent)
	return 4*before.served >= before.sent && 4*later.served < later.sent, nil
}

// Times of the case "version".
const (
	// outage is how long the store is silent, and dark how long the replica's host has no power.
	outage = 4500 * time.Millisecond
	dark   = 2 * time.Second
)

// runVersion checks that no more than two streams hold events of two software versions. While the store is silent,
// the host of the only replica of the earlier version loses power, and the replica starts again, under its id, with
// the later version.
func runVersion(s *system, trouble bool) (bool, error) {
	if err := s.start(&replica{events: 64, short: 4, gap: 100 * time.Millisecond}, 5, 3, "1.0", "1.1"); err != nil {
		return false, err
	}
	stories := make([]story, 48)
	var g sync.WaitGroup
	for i := range stories {
		g.Go(func() { stories[i] = s.follow(i) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := s.powerCycle(s.replicas[0], "1.1"); err != nil {
			return false, err
		}
	}
	g.Wait()
	mixed := 0
	for i, o := range stories {
		if vs := o.versions(); len(vs) > 1 {
			mixed++
			s.record.note("stream %d holds events of versions %v", i, vs)
		}
	}
	s.record.note("%d of %d streams hold events of two versions; more than two break the rule", mixed, len(stories))
	return mixed > 2, nil
}

// powerCycle makes the store silent for the time outage. Meanwhile the host of a replica loses power for the time
// dark, and the replica starts again with a version.
func (s *system) powerCycle(r *replica, version string) error {
	s.store.setSilent(true)
	s.record.note("the store is silent")
	time.AfterFunc(outage, func() {
		s.store.setSilent(false)
		s.record.note("the store answers again")
		r.report()
	})
	time.Sleep(500 * time.Millisecond)
	if err := r.darken(); err != nil {
		return err
	}
	s.record.note("the host of %s has no power", r.id)
	time.Sleep(dark)
	s.record.note("%s starts again, with version %s", r.id, version)
	return r.restart(version)
}

// Times of the case "refused".
const (
	// cut is how long each replica is cut off, and pause the time between two cuts.
	cut   = 4 * time.Second
	pause = 500 * time.Millisecond
	// healed is the time without trouble between the last cut and the streams that are counted.
	healed = 8 * time.Second
)

// runRefused checks that streams are taken up again after each replica has been cut off for a while, one after the
// other. The processes of the replicas run on.
func runRefused(s *system, trouble bool) (bool, error) {
	if err := s.start(&replica{events: 30, short: 4, gap: 100 * time.Millisecond}, 7, 4, "1.0"); err != nil {
		return false, err
	}
	var g sync.WaitGroup
	stop := make(chan struct{})
	g.Go(func() { s.load(stop) })
	for _, r := range s.replicas {
		if !trouble {
			time.Sleep(cut + pause)
			continue
		}
		s.record.note("%s is cut off", r.id)
		if err := r.refuse(cut); err != nil {
			return false, err
		}
		s.record.note("%s is reached again", r.id)
		time.Sleep(pause)
	}
	time.Sleep(healed - shortLimit)
	close(stop)
	g.Wait()
	time.Sleep(shortLimit)
	return s.breakStreams(48, 700*time.Millisecond, true), nil
}

// load sends short streams to all fronts until stop is closed.
func (s *system) load(stop <-chan struct{}) {
	var g sync.WaitGroup
	defer g.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		g.Go(func() {
			f := s.fronts[i%len(s.fronts)]
			a := call(f.callers(), http.MethodPost, shortPrefix+"load", newAttempt(), shortLimit, gapLimit)
			s.record.note("load at %s: status %d, %d events, whole %v %s", f.name, a.status, len(a.events), a.complete, a.refusal())
		})
	}
}

// runStride checks that streams are taken up again after a front was killed. The ids of events rise by the number
// of their tokens, and no stream of the route has ended yet.
func runStride(s *system, trouble bool) (bool, error) {
	if err := s.start(&replica{events: 64, short: 4, gap: 100 * time.Millisecond, stride: 6}, 8, 4, "1.0"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // all fronts are in touch
	for i := range 2 * len(s.fronts) {
		a := call(s.fronts[i%len(s.fronts)].callers(), http.MethodPost, fmt.Sprintf("%s%d", shortPrefix, i), newAttempt(), shortLimit, gapLimit)
		s.record.note("short stream %d: status %d, %d events, whole %v", i, a.status, len(a.events), a.complete)
	}
	return s.breakStreams(56, 2*time.Second, trouble), nil
}

// Times of the case "deadly".
const (
	// period is the time between two rounds of the requester.
	period = 30 * time.Second
	// contact is the users' contact_ms.
	contact = 3 * time.Second
)

// runDeadly checks that a request which crashes the replicas that run it is held off. Its requester sends a copy to
// each front, and another one a second later, and comes back every half minute.
func runDeadly(s *system, trouble bool) (bool, error) {
	deadly := func(q *http.Request) bool { return trouble && strings.HasPrefix(q.URL.Path, longPrefix+"deadly") }
	if err := s.start(&replica{events: 10, short: 4, gap: 50 * time.Millisecond, crashes: deadly}, 10, 5, "1.0"); err != nil {
		return false, err
	}
	var g sync.WaitGroup
	for n := range 4 {
		if n > 0 {
			time.Sleep(period - time.Second)
		}
		for range 2 {
			for _, f := range s.fronts {
				g.Go(func() {
					id := newAttempt()
					a := call(f.callers(), http.MethodPost, longPrefix+"deadly", id, longLimit, gapLimit)
					s.record.note("deadly request %s at %s: status %d %s", id, f.name, a.status, a.refusal())
				})
			}
			time.Sleep(time.Second)
		}
	}
	g.Wait()
	crashes := s.crashTimes()
	if len(crashes) < 3 {
		s.record.note("%d replicas have crashed", len(crashes))
		return false, nil
	}
	retries := 0
	for _, r := range s.replicas {
		for _, a := range r.arrivals() {
			if a.at.After(crashes[2].Add(contact)) {
				retries++
			}
		}
	}
	s.record.note("%d replicas have crashed; %d copies have reached replicas later than 3 s after the third crash; more than three break the rule", len(crashes), retries)
	return retries > 3, nil
}
