// Package load sends an open-loop load to entries and reports the outcomes by tier. A
// workload models the traffic of one of the two deployments, sweepline and saigon. A plan
// of requests is drawn from it with a seed, so a run can be repeated. The requests are sent
// at the planned times however many are still in flight, so that a slow system does not
// reduce its load.
//
// With the journals of the stand-in targets, Audit checks that no request ran twice and
// that the outcomes reported to callers agree with what ran.
//
// # Usage
//
//	w, err := load.Named("saigon")
//	p := w.Plan(seed, 20*time.Second, 1.0)
//	r := load.New(load.Options{Entries: urls, Keys: keys, Client: client})
//	outcomes := r.Run(ctx, p)
//	report := load.NewReport(w, outcomes, 14*time.Second) // EventAt * 20 s
//	report.Violations = load.Audit(outcomes, journals)
//	report.Write(os.Stdout)
package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// ErrWorkload is returned by Named for an unknown name.
var ErrWorkload = errors.New("unknown workload")

// Class is one kind of request. Its arrivals are a Poisson process.
type Class struct {
	Name string
	Tier string
	// Workspaces send the requests of the class, in rotation.
	Workspaces []string
	// Rate is in requests per second, at factor 1. The class is active between From and
	// To, which are fractions of the length of the run.
	Rate     float64
	From, To float64
	// PromptTokens and OutputTokens are inclusive ranges. The first PrefixTokens of a
	// prompt are one of Prefixes texts that the requests of the class share.
	PromptTokens, OutputTokens [2]int
	PrefixTokens               int
	Prefixes                   int
	// Service is the plain service that is called, or "" for chat completions. Its calls
	// are not idempotent.
	Service string
	// DuplicateFraction is the fraction of the calls that are submitted to two entries at
	// once.
	DuplicateFraction float64
	// Stream requests a streamed response.
	Stream bool
}

// Workload is a mix of classes.
type Workload struct {
	Name    string
	Classes []Class
	// Tiers are sorted by rank, the most urgent first.
	Tiers []Tier
}

// Tier is a tier with its terms in all contracts.
type Tier struct {
	Name     string
	Deadline time.Duration
	// Wait queues requests during overload instead of shedding them.
	Wait bool
	// Preemptible allows running requests of the tier to be preempted.
	Preemptible bool
	// BeforeEvent is true if responses are due before the start of the event.
	BeforeEvent bool
}

// EventAt is the start of the event, as a fraction of the length of the run.
const EventAt = 0.7

// Named returns the workload of the deployment of that name, "sweepline" or "saigon", or
// ErrWorkload.
func Named(name string) (Workload, error) {
	for _, w := range []Workload{Sweepline(), Saigon()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("%q: %w: expected sweepline or saigon", name, ErrWorkload)
}

// Sweepline returns a workload of long route histories that arrive together, followed by
// a burst of short run sheets with shared prefixes. The event is the start of a shift.
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

// Saigon returns a workload with a burst of calls to a hotline, in which dispatch messages
// compete with lookups.
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
	// At is the time from the start of the run.
	At        time.Duration
	Class     Class
	Workspace string
	// Prefix is the part of the prompt that is shared with other requests, Suffix the part
	// that is not.
	Prefix, Suffix string
	// OutputTokens is the number of tokens to generate.
	OutputTokens int
	// Duplicate submits the request to two entries at once, under the same id.
	Duplicate bool
}

// Plan returns the requests of a run, sorted by At. The rates of the classes are
// multiplied by factor. Equal arguments give equal plans.
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

// request returns the n-th request of the class.
func (c Class) request(r *rand.Rand, at time.Duration, n int) Request {
	q := Request{At: at, Class: c, Workspace: c.Workspaces[n%len(c.Workspaces)], Duplicate: r.Float64() < c.DuplicateFraction}
	q.OutputTokens = uniform(r, c.OutputTokens)
	if c.PrefixTokens > 0 {
		q.Prefix = filler(fmt.Sprintf("%s %d ", c.Name, r.IntN(c.Prefixes)), c.PrefixTokens)
	}
	q.Suffix = filler(fmt.Sprintf("%s request %d %x ", c.Name, n, r.Uint64()), uniform(r, c.PromptTokens)-c.PrefixTokens)
	return q
}

// uniform returns a random integer in the inclusive range b.
func uniform(r *rand.Rand, b [2]int) int {
	return b[0] + r.IntN(b[1]-b[0]+1)
}

// bytesPerToken is the size of a token as stand-in engines count them.
const bytesPerToken = 4

// filler returns a text of that many tokens that starts with head, or head if that is
// longer.
func filler(head string, tokens int) string {
	n := max(tokens*bytesPerToken, len(head))
	return head + strings.Repeat("street ", n/len("street ")+1)[:n-len(head)]
}
