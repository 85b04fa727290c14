// Command review-stand plays one case of the review: it starts fronts with the command of the deploy file,
// before a store, replicas and requesters of its own, and writes to a record what was sent, answered and
// run. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0
// the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*world) (bool, error){
	"leaving":          leaving,
	"memory":           memory,
	"restart":          restart,
	"restored-drain":   restoredDrain,
	"restored-version": restoredVersion,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	go w.endEarly()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		return 2
	case broken:
		w.say("the rule was broken")
		return 1
	}
	w.say("the rule held")
	return 0
}

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// endEarly ends all processes at a signal, or if the case takes too long: it couldn't run then.
func (w *world) endEarly() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-c:
	case <-time.After(longest):
	}
	w.say("the case could not run: it was ended early")
	w.close()
	os.Exit(2)
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// begin starts the store's contents, replicas of the planner and fronts, and waits until the fronts have served.
func (w *world) begin(fronts, memory int, rs []*replica) error {
	w.store.put("op/config", configuration)
	for _, r := range rs {
		if err := w.add(r, "v1"); err != nil {
			return err
		}
	}
	if err := w.startFronts(fronts, memory); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// planners returns replicas of the planner. They send streams of 64 events with a gap between two.
func planners(n int, gap time.Duration, unframed bool) (rs []*replica) {
	for i := range n {
		rs = append(rs, &replica{id: fmt.Sprintf("i-%d", i+1), service: "planner", slots: 12, events: 64, gap: gap, unframed: unframed})
	}
	return rs
}

// traffic sends requests at an even rate until stop, by turns to all fronts, each on a new connection. It
// returns the outcomes once all have ended.
func (w *world) traffic(perSecond float64, stop <-chan struct{}, next func() call) []outcome {
	var g sync.WaitGroup
	var mu sync.Mutex
	var os []outcome
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			g.Wait()
			return os
		case <-t.C:
		}
		f, q := n%len(w.fronts), next()
		q.id = w.id()
		g.Go(func() {
			o := request(w.fronts[f].callers, q)
			w.noteOutcome(f, o)
			mu.Lock()
			defer mu.Unlock()
			os = append(os, o)
		})
	}
}

// during sends requests while f runs, and returns their outcomes.
func (w *world) during(perSecond float64, next func() call, f func() error) ([]outcome, error) {
	stop, done := make(chan struct{}), make(chan []outcome)
	go func() { done <- w.traffic(perSecond, stop, next) }()
	err := f()
	close(stop)
	return <-done, err
}

// stream returns a call of a streaming route.
func stream(path string) func() call {
	return func() call { return call{method: "POST", path: path, limit: 15 * time.Second, body: []byte("{}")} }
}

// until sleeps until d after at.
func until(at time.Time, d time.Duration) { time.Sleep(time.Until(at.Add(d))) }
