// Command stand2 runs the cases of the second review: each starts fronts as processes before stand-ins of the
// platform's store, of replicas and of requesters, brings about a disruption and checks a rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. If the last argument is 0,
// the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	frontBinary = "target/front"
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(s *system, trouble bool) (broken bool, err error){
	"shared":  runShared,
	"version": runVersion,
	"refused": runRefused,
	"stride":  runStride,
	"deadly":  runDeadly,
}

// longest is the longest time that a case may take.
const longest = 115 * time.Second

func main() { os.Exit(run()) }

// run runs the case that the first argument names and writes record.txt to the folder that the second one names.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER TROUBLE")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	trouble := os.Args[3] != "0"
	r.note("case %s, with the disruption: %v", os.Args[1], trouble)
	s, err := newSystem(r, frontBinary)
	if err != nil {
		r.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		r.note("not run: ended from outside, or too late")
		s.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		r.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
