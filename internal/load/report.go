package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupstand/internal/stand"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// TierReport is what became of one tier's requests.
type TierReport struct {
	Tier string `json:"tier"`
	Sent int    `json:"sent"`
	// Good answers are whole and on time; late ones are whole.
	Good int `json:"good"`
	Late int `json:"late"`
	// Refused requests did not run; cut ones did; of unknown ones nobody can tell.
	Refused    int `json:"refused"`
	Incomplete int `json:"cut"`
	Unknown    int `json:"unknown"`
	// FirstToken and BetweenTokens are in milliseconds.
	FirstToken    Percentiles `json:"first-token-ms"`
	BetweenTokens Percentiles `json:"between-tokens-ms"`
	Codes         Counts      `json:"codes,omitempty"`
}

// Counts are numbers of answers by error code.
type Counts map[string]int

// Percentiles of a time in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is what became of a load.
type Report struct {
	Workload string       `json:"workload"`
	Tiers    []TierReport `json:"tiers"`
	// PrefillTokens and Wasted are prompt tokens from the targets' journals: computed,
	// and computed for answers that were not finished.
	PrefillTokens int `json:"prefill-tokens"`
	CachedTokens  int `json:"cached-tokens"`
	WastedTokens  int `json:"wasted-prefill-tokens"`
	// Violations lists the invariants that did not hold.
	Violations []string `json:"broken"`
}

// Goodput returns the part of a tier's requests that were answered on time.
func (t TierReport) Goodput() float64 {
	if t.Sent == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Sent)
}

// NewReport counts the outcomes of a run of a workload whose event starts after
// so long.
func NewReport(w Workload, out []Outcome, event time.Duration) Report {
	r := Report{Workload: w.Name, Violations: []string{}}
	for _, t := range w.Tiers {
		r.Tiers = append(r.Tiers, tierReport(t, out, event))
	}
	return r
}

func tierReport(t Tier, out []Outcome, event time.Duration) TierReport {
	r := TierReport{Tier: t.Name, Codes: make(Counts)}
	first := hdrhistogram.New(lowest, highest, digits)
	gaps := hdrhistogram.New(lowest, highest, digits)
	for _, o := range out {
		if o.Request.Class.Tier != t.Name {
			continue
		}
		r.count(o, t.limit(o.Request.At, event))
		if o.Complete {
			_ = first.RecordValue(o.FirstToken.Microseconds())
		}
		for _, g := range o.Gaps {
			_ = gaps.RecordValue(max(g.Microseconds(), lowest))
		}
	}
	r.FirstToken = percentiles(first)
	r.BetweenTokens = percentiles(gaps)
	return r
}

// limit returns the time that a request sent at the given time has.
func (t Tier) limit(at, event time.Duration) time.Duration {
	if t.BeforeEvent && at < event {
		return min(t.Deadline, event-at)
	}
	return t.Deadline
}

func (t *TierReport) count(o Outcome, limit time.Duration) {
	t.Sent++
	if s := o.Duplicate; s != nil && !o.Complete && s.Complete {
		o = *s // either submission may be the one that is answered
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

// WithJournals returns the report with what the targets' journals say of prefill.
func (r Report) WithJournals(js []stand.Journal) Report {
	for _, j := range js {
		r.PrefillTokens += j.PrefillTokens
		r.CachedTokens += j.CachedTokens
		r.WastedTokens += j.WastedTokens
	}
	return r
}

// Audit holds what callers were told against what ran, and returns the
// invariants that did not hold.
func Audit(out []Outcome, js []stand.Journal) []string {
	runs := make(map[string]int)
	works := make(map[string]int)
	for _, j := range js {
		for id, n := range j.RunsByID {
			runs[id] += n
		}
		for k, n := range j.RunsByContent {
			works[k] += n
		}
	}
	broken := []string{}
	for id, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("request id %s was dispatched %d times", id, n))
		}
	}
	for _, o := range out {
		broken = append(broken, audit(o, works[stand.ContentKey(o.Fingerprint)])...)
	}
	return broken
}

// audit checks one request that was dispatched n times.
func audit(o Outcome, n int) []string {
	var broken []string
	add := func(what string) {
		broken = append(broken, fmt.Sprintf("%s request at %s: %s", o.Request.Class.Name, o.Request.At, what))
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
			add("wrong answer: " + s.Mismatch)
		case s.Complete && n == 0:
			add("answered without having run")
		case !s.Complete && s.Ran == "no" && n > 0:
			add("told not run, but ran (" + s.Code + ")")
		}
	}
	return broken
}

// Write prints the report as a table.
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
		fmt.Fprintf(w, "prefill: %d tokens computed, %d found in prefix caches, %d thrown away (%.1f %%)\n", r.PrefillTokens, r.CachedTokens,
			r.WastedTokens, 100*float64(r.WastedTokens)/float64(r.PrefillTokens))
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
