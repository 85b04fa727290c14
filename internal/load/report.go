package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupstand/internal/stand"
)

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// TierReport has the outcomes of the requests of one tier. Each request is counted in one
// of Good, Late, Refused, Incomplete and Unknown.
type TierReport struct {
	Tier string `json:"tier"`
	Sent int    `json:"sent"`
	// Good responses are complete and on time. Late ones are complete but not on time.
	Good int `json:"good"`
	Late int `json:"late"`
	// Refused requests did not run. Incomplete ones ran, but their response is not
	// complete. Of unknown ones the caller did not learn whether they ran.
	Refused    int `json:"refused"`
	Incomplete int `json:"cut"`
	Unknown    int `json:"unknown"`
	// FirstToken is the time to the first token of complete responses. BetweenTokens is
	// the time between consecutive tokens of a stream.
	FirstToken    Percentiles `json:"first-token-ms"`
	BetweenTokens Percentiles `json:"between-tokens-ms"`
	// Codes are the error codes of responses that are not complete.
	Codes Counts `json:"codes,omitempty"`
}

// Counts are numbers of responses by error code.
type Counts map[string]int

// Percentiles are percentiles of a time, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report has the results of a run.
type Report struct {
	Workload string       `json:"workload"`
	Tiers    []TierReport `json:"tiers"`
	// PrefillTokens, CachedTokens and WastedTokens are numbers of prompt tokens from the
	// targets' journals: computed, found in prefix caches, and computed for responses that
	// were not finished.
	PrefillTokens int `json:"prefill-tokens"`
	CachedTokens  int `json:"cached-tokens"`
	WastedTokens  int `json:"wasted-prefill-tokens"`
	// Violations has a line for each violation of an invariant that Audit found.
	Violations []string `json:"broken"`
}

// Goodput returns the fraction of the tier's requests with a complete response on time,
// or 1 if there were no requests.
func (t TierReport) Goodput() float64 {
	if t.Sent == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Sent)
}

// NewReport returns the report of a run of w. The event started at the given time from
// the start of the run.
func NewReport(w Workload, out []Outcome, event time.Duration) Report {
	r := Report{Workload: w.Name, Violations: []string{}}
	for _, t := range w.Tiers {
		r.Tiers = append(r.Tiers, tierReport(t, out, event))
	}
	return r
}

func tierReport(t Tier, out []Outcome, event time.Duration) TierReport {
	r := TierReport{Tier: t.Name, Codes: make(Counts)}
	first := hdrhistogram.New(minMicros, maxMicros, digits)
	gaps := hdrhistogram.New(minMicros, maxMicros, digits)
	for _, o := range out {
		if o.Request.Class.Tier != t.Name {
			continue
		}
		r.count(o, t.timeLimit(o.Request.At, event))
		if o.Complete {
			_ = first.RecordValue(o.FirstToken.Microseconds())
		}
		for _, g := range o.Gaps {
			_ = gaps.RecordValue(max(g.Microseconds(), minMicros))
		}
	}
	r.FirstToken = percentiles(first)
	r.BetweenTokens = percentiles(gaps)
	return r
}

// timeLimit returns how long the response to a request may take to be on time. The request
// is sent at the given time from the start of the run.
func (t Tier) timeLimit(at, event time.Duration) time.Duration {
	if t.BeforeEvent && at < event {
		return min(t.Deadline, event-at)
	}
	return t.Deadline
}

// count adds one outcome.
func (t *TierReport) count(o Outcome, limit time.Duration) {
	t.Sent++
	if s := o.Duplicate; s != nil && !o.Complete && s.Complete {
		o = *s // only one submission of an id gets the response, and it may be either
	}
	switch {
	case o.Complete && o.LastToken <= limit:
		t.Good++
	case o.Complete:
		t.Late++
	case o.Ran == "no":
		t.Refused++
	case o.Ran == "yes":
		t.Incomplete++
	default:
		t.Unknown++
	}
	if !o.Complete {
		t.Codes[o.Code]++
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtPercentile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// WithJournals returns the report with the prefill counts of the targets' journals added.
func (r Report) WithJournals(js []stand.Journal) Report {
	for _, j := range js {
		r.PrefillTokens += j.PrefillTokens
		r.CachedTokens += j.CachedTokens
		r.WastedTokens += j.WastedTokens
	}
	return r
}

// Audit compares the outcomes that callers saw with the targets' journals and returns a
// line for each violation of these invariants: no request id and no request is dispatched
// more than once; a complete response is the expected one (with Options.Verify), and its
// request ran; a request that is reported as not run did not run.
func Audit(out []Outcome, js []stand.Journal) []string {
	byID := make(map[string]int)
	byContent := make(map[string]int)
	for _, j := range js {
		for id, n := range j.RunsByID {
			byID[id] += n
		}
		for k, n := range j.RunsByContent {
			byContent[k] += n
		}
	}
	violations := []string{}
	for id, n := range byID {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request id %s was dispatched %d times", id, n))
		}
	}
	for _, o := range out {
		violations = append(violations, auditRequest(o, byContent[stand.ContentKey(o.Fingerprint)])...)
	}
	return violations
}

// auditRequest returns the violations of one request that was dispatched n times.
func auditRequest(o Outcome, n int) []string {
	var violations []string
	add := func(what string) {
		violations = append(violations, fmt.Sprintf("%s request at %s: %s", o.Request.Class.Name, o.Request.At, what))
	}
	if n > 1 {
		add(fmt.Sprintf("dispatched %d times", n))
	}
	all := []Outcome{o}
	if o.Duplicate != nil {
		all = append(all, *o.Duplicate)
	}
	for _, s := range all {
		switch {
		case s.Mismatch != "":
			add("wrong response: " + s.Mismatch)
		case s.Complete && n == 0:
			add("got a complete response without a dispatch")
		case !s.Complete && s.Ran == "no" && n > 0:
			add("reported as not run, but ran (" + s.Code + ")")
		}
	}
	return violations
}

// Write writes the report to w as a table, followed by the prefill counts and violations.
func (r Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "tier\tsent\tgood\tgoodput\tlate\trefused\tcut\tunknown\tfirst p50\tp95\tp99 ms\tbetween p50\tp95\tp99 ms\t")
	for _, x := range r.Tiers {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f %%\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n", x.Tier, x.Sent, x.Good,
			100*x.Goodput(), x.Late, x.Refused, x.Incomplete, x.Unknown, x.FirstToken.P50, x.FirstToken.P95, x.FirstToken.P99,
			x.BetweenTokens.P50, x.BetweenTokens.P95, x.BetweenTokens.P99)
	}
	_ = t.Flush()
	if r.PrefillTokens > 0 {
		fmt.Fprintf(w, "prefill: %d tokens computed, %d found in prefix caches, %d wasted (%.1f %%)\n", r.PrefillTokens, r.CachedTokens,
			r.WastedTokens, 100*float64(r.WastedTokens)/float64(r.PrefillTokens))
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
