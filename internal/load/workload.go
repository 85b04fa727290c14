// Package load makes a seeded open-loop load of the two deployments' kinds and
// reports by tier what became of it.
//
// # Usage
//
//	w, err := load.Named("saigon")
//	p := w.Plan(seed, 20*time.Second, 1.0)
//	r := load.New(load.Options{Targets: urls, Keys: keys})
//	outcomes := r.Run(ctx, p)
//	report := load.NewReport(w, outcomes)
//
// Requests leave when the plan says so, however many are still in progress.
package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// ErrWorkload is returned for the name of an unknown workload.
var ErrWorkload = errors.New("unknown workload")

// Class is one kind of request.
type Class struct {
	Name string
	Tier string
	// Workspaces send the class in turn.
	Workspaces []string
	// Rate is in requests a second at load 1, while the class is active: from
	// From to To, as parts of the whole run.
	Rate     float64
	From, To float64
	// PromptTokens and Output are ranges in tokens. Prefix is the part of the prompt
	// that requests of the class share, one of Prefixes texts.
	PromptTokens, OutputTokens [2]int
	PrefixTokens               int
	Prefixes                   int
	// Service is set for calls of a plain service that must not run twice.
	Service string
	// DuplicateFraction is the part of those calls that is submitted at two entries at once.
	DuplicateFraction float64
	// Stream asks for the answer token by token.
	Stream bool
}

// Workload is a mix of classes.
type Workload struct {
	Name    string
	Classes []Class
	// Deadlines of the tiers, highest first.
	Tiers []Tier
}

// Tier is a tier with its terms.
type Tier struct {
	Name     string
	Deadline time.Duration
	Wait     bool
	// Preemptible allows running requests of the tier to be cut first.
	Preemptible bool
	// BeforeEvent is true if answers must come before the event start.
	BeforeEvent bool
}

// EventAt is the event's start, as a part of the whole run.
const EventAt = 0.7

// Named returns the workload of one of the two deployments.
func Named(name string) (Workload, error) {
	for _, w := range []Workload{Sweepline(), Saigon()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("%q: %w: expected sweepline or saigon", name, ErrWorkload)
}

// Sweepline has long route histories that arrive together, then a burst of short
// run sheets with shared prefixes before a shift starts.
func Sweepline() Workload {
	towns := []string{"windhoek", "okahandja", "rehoboth", "dordabis", "groot-aub"}
	return Workload{
		Name: "sweepline",
		Tiers: []Tier{
			{Name: "run-sheet", Deadline: 4 * time.Second, BeforeEvent: true},
			{Name: "assistant", Deadline: 6 * time.Second, Preemptible: true},
			{Name: "history", Deadline: 60 * time.Second, Wait: true},
		},
		Classes: []Class{
			{
				Name: "run-sheet", Tier: "run-sheet", Workspaces: towns, Rate: 40, From: 0.45, To: 0.66,
				PromptTokens: [2]int{240, 320}, OutputTokens: [2]int{10, 30}, PrefixTokens: 200, Prefixes: 5, Stream: true,
			},
			{
				Name: "question", Tier: "assistant", Workspaces: towns, Rate: 15, From: 0, To: 1,
				PromptTokens: [2]int{30, 400}, OutputTokens: [2]int{20, 60}, PrefixTokens: 20, Prefixes: 20, Stream: true,
			},
			{
				Name: "history", Tier: "history", Workspaces: towns[:2], Rate: 3, From: 0.3, To: 0.5,
				PromptTokens: [2]int{1500, 3000}, OutputTokens: [2]int{20, 60}, PrefixTokens: 1200, Prefixes: 4,
			},
			{
				Name: "closure", Tier: "run-sheet", Workspaces: towns, Rate: 5, From: 0, To: 1,
				Service: "tablet", PromptTokens: [2]int{10, 20}, DuplicateFraction: 0.2,
			},
		},
	}
}

// Saigon has a hotline burst in which dispatch messages compete with lookups.
func Saigon() Workload {
	wards := []string{"district-1", "district-4", "district-7", "binh-thanh", "thu-duc"}
	return Workload{
		Name: "saigon",
		Tiers: []Tier{
			{Name: "dispatch", Deadline: 3 * time.Second},
			{Name: "triage", Deadline: 6 * time.Second, Preemptible: true},
			{Name: "archive", Deadline: 10 * time.Second, Preemptible: true},
			{Name: "history", Deadline: 60 * time.Second, Wait: true},
		},
		Classes: []Class{
			{
				Name: "dispatch", Tier: "dispatch", Workspaces: wards, Rate: 30, From: 0.4, To: 0.75,
				PromptTokens: [2]int{120, 200}, OutputTokens: [2]int{10, 30}, PrefixTokens: 100, Prefixes: 5, Stream: true,
			},
			{
				Name: "triage", Tier: "triage", Workspaces: wards, Rate: 15, From: 0.1, To: 0.9,
				PromptTokens: [2]int{100, 500}, OutputTokens: [2]int{20, 60}, PrefixTokens: 80, Prefixes: 10, Stream: true,
			},
			{
				Name: "lookup", Tier: "archive", Workspaces: wards, Rate: 20, From: 0, To: 1,
				PromptTokens: [2]int{30, 300}, OutputTokens: [2]int{20, 80}, PrefixTokens: 20, Prefixes: 20,
			},
			{
				Name: "history", Tier: "history", Workspaces: wards[:1], Rate: 1, From: 0.2, To: 0.7,
				PromptTokens: [2]int{1500, 3000}, OutputTokens: [2]int{40, 100}, PrefixTokens: 1000, Prefixes: 3,
			},
			{
				Name: "intake", Tier: "dispatch", Workspaces: wards, Rate: 5, From: 0, To: 1,
				Service: "intake", PromptTokens: [2]int{10, 40}, DuplicateFraction: 0.2,
			},
		},
	}
}

// Request is one planned request.
type Request struct {
	At        time.Duration
	Class     Class
	Workspace string
	// Prefix is the shared text, Rest the text of this request alone.
	Prefix, Suffix string
	OutputTokens   int
	// Duplicate submits the request at two entries at the same moment.
	Duplicate bool
}

// Plan returns the requests of a run in the order in which they leave. Equal
// arguments give equal plans.
func (w Workload) Plan(seed uint64, length time.Duration, factor float64) []Request {
	var l []Request
	for i, c := range w.Classes {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		end := time.Duration(c.To * float64(length))
		at := time.Duration(c.From * float64(length))
		for n := 0; ; n++ {
			at += time.Duration(r.ExpFloat64() / (c.Rate * factor) * float64(time.Second))
			if at >= end {
				break
			}
			l = append(l, c.request(r, at, n))
		}
	}
	slices.SortStableFunc(l, func(a, b Request) int { return int(a.At - b.At) })
	return l
}

func (c Class) request(r *rand.Rand, at time.Duration, n int) Request {
	q := Request{At: at, Class: c, Workspace: c.Workspaces[n%len(c.Workspaces)], Duplicate: r.Float64() < c.DuplicateFraction}
	q.OutputTokens = between(r, c.OutputTokens)
	if c.PrefixTokens > 0 {
		q.Prefix = text(fmt.Sprintf("%s %d ", c.Name, r.IntN(c.Prefixes)), c.PrefixTokens)
	}
	q.Suffix = text(fmt.Sprintf("%s request %d %x ", c.Name, n, r.Uint64()), between(r, c.PromptTokens)-c.PrefixTokens)
	return q
}

func between(r *rand.Rand, b [2]int) int {
	return b[0] + r.IntN(b[1]-b[0]+1)
}

// bytesPerToken is what stand-in engines count as a token.
const bytesPerToken = 4

// text returns a text of so many tokens that begins with head.
func text(head string, tokens int) string {
	n := max(tokens*bytesPerToken, len(head))
	return head + strings.Repeat("street ", n/len("street ")+1)[:n-len(head)]
}
