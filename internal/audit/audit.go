// Package audit summarizes the logs of fronts: which requests were served, refused or cut, for how
// long they waited for a slot, and what the time that they occupied slots was used for.
//
// The logs of several fronts may be read one after the other or as one. Lines that are not log lines
// of fronts are ignored. Fronts leave log lines out under load; Summary.Omitted counts these.
//
// # Usage
//
//	a := audit.New()
//	if err := a.Read(file); err != nil {
//		return err
//	}
//	s := a.Summary()
package audit

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine is the size in bytes of the longest line that is read.
const maxLine = 1 << 20

// ErrRead is wrapped by the errors of Read.
var ErrRead = errors.New("cannot read log")

// Route is the summary of the requests of one route.
type Route struct {
	Name string
	// Requests is how many ended. Answered of them got the response of a target, and Late of these
	// could no longer meet their goal when they got a slot.
	Requests, Answered, Late int
	// Refused got 429 or 503 from the front, AfterWait of them after they had been queued.
	Refused, AfterWait int
	// Cut were broken off in the middle of their response, and Failed ended otherwise.
	Cut, Failed int
	// Waits are for how long the requests that were refused after a wait had been queued, in
	// ascending order.
	Waits []time.Duration
	// UsefulTime is for how long answered requests occupied slots, and LostTime the others.
	UsefulTime, LostTime time.Duration
}

// Reason is how often requests of a route ended for a reason without a target's response.
type Reason struct {
	Route, Text string
	Count       int
}

// Load is the load of one service, as fronts logged it.
type Load struct {
	Service string
	// Samples is the number of log lines, and Full that of those where all slots were in use.
	// Idle is that of lines where slots were free while requests waited at the front.
	Samples, Full, Idle int
}

// Summary holds the counts of all logs that were read.
type Summary struct {
	Routes  []Route
	Reasons []Reason
	Loads   []Load
	// Omitted is the number of log lines that fronts have left out.
	Omitted int
}

// Audit collects the counts of logs. It is not safe for concurrent use.
type Audit struct {
	routes  map[string]*Route
	reasons map[Reason]int
	loads   map[string]*Load
	omitted int
}

// New returns an empty Audit.
func New() *Audit {
	return &Audit{routes: map[string]*Route{}, reasons: map[Reason]int{}, loads: map[string]*Load{}}
}

// Read adds a log. Its errors wrap ErrRead.
func (a *Audit) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		// A collector may have put a prefix before the line.
		if i := strings.Index(s.Text(), "level="); i >= 0 {
			a.add(parse(s.Text()[i:]))
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrRead, err)
	}
	return nil
}

// line holds the values of a log line by their keys.
type line map[string]string

// parse returns the values of a log line, as far as it can be read.
func parse(text string) line {
	l, d := line{}, logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l[string(d.Key())] = string(d.Value())
		}
	}
	return l
}

// number returns a value that is a number; 0 if it is none.
func (l line) number(key string) int {
	n, err := strconv.Atoi(l[key])
	if err != nil {
		return 0
	}
	return n
}

func (l line) milliseconds(key string) time.Duration {
	return time.Duration(l.number(key)) * time.Millisecond
}

func (a *Audit) add(l line) {
	switch l["msg"] {
	case "request ended":
		a.omitted += l.number("dropped-before")
		a.addRequest(l)
	case "load":
		a.addLoad(l)
	case "log lines dropped":
		a.omitted += l.number("lines")
	}
}

func (a *Audit) addRequest(l line) {
	r := a.routes[l["route"]]
	if r == nil {
		r = &Route{Name: l["route"]}
		a.routes[r.Name] = r
	}
	r.Requests++
	status, waited := l.number("status"), l.milliseconds("turn-ms")
	held := time.Duration(0)
	if t := l["targets"]; t != "" && t != "[]" {
		held = max(0, l.milliseconds("took-ms")-waited)
	}
	if l["reason"] == "answered" {
		r.Answered++
		r.UsefulTime += held
		if l["late"] == "true" {
			r.Late++
		}
		return
	}
	r.LostTime += held
	text, _, _ := strings.Cut(l["reason"], ":")
	a.reasons[Reason{Route: r.Name, Text: text}]++
	switch {
	case status == 429 || status == 503:
		r.Refused++
		if waited > 0 {
			r.AfterWait++
			r.Waits = append(r.Waits, waited)
		}
	case text == "cut":
		r.Cut++
	default:
		r.Failed++
	}
}

func (a *Audit) addLoad(l line) {
	s := a.loads[l["service"]]
	if s == nil {
		s = &Load{Service: l["service"]}
		a.loads[s.Service] = s
	}
	s.Samples++
	switch full := l.number("running") >= l.number("slots"); {
	case full:
		s.Full++
	case l.number("waiting") > 0:
		s.Idle++
	}
}

// Summary returns the summary of all logs that were read, in a fixed order.
func (a *Audit) Summary() Summary {
	s := Summary{Omitted: a.omitted}
	for _, n := range slices.Sorted(maps.Keys(a.routes)) {
		r := *a.routes[n]
		r.Waits = slices.Sorted(slices.Values(r.Waits))
		s.Routes = append(s.Routes, r)
	}
	for r, n := range a.reasons {
		r.Count = n
		s.Reasons = append(s.Reasons, r)
	}
	slices.SortFunc(s.Reasons, func(x, y Reason) int {
		return cmp.Or(cmp.Compare(x.Route, y.Route), y.Count-x.Count, cmp.Compare(x.Text, y.Text))
	})
	for _, n := range slices.Sorted(maps.Keys(a.loads)) {
		s.Loads = append(s.Loads, *a.loads[n])
	}
	return s
}

// Wait returns the wait that a share of the requests that were refused after a wait did not exceed.
func (r Route) Wait(share float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	return r.Waits[min(len(r.Waits)-1, int(share*float64(len(r.Waits))))]
}
