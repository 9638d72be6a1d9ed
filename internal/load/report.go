package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is what a caller was told.
type Outcome int

// Outcomes.
const (
	Complete Outcome = iota // complete
	NotRun                  // refused, not run
	Unknown                 // unknown
	NoAnswer                // no answer
	Wrong                   // wrong answer
	outcomes
)

// OrderResult is what the caller of an order was told last.
type OrderResult struct {
	Key       string
	Outcome   Outcome
	Reason    string
	AnyNotRun bool // it was told "not run" at some time
}

const (
	maxLatency    = time.Hour
	latencyDigits = 3
)

// Report counts what callers got. It is safe for concurrent use.
type Report struct {
	mu      sync.Mutex
	drafts  [outcomes]int
	orders  [outcomes]int
	reasons map[string]int
	told    []OrderResult
	first   *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		reasons: make(map[string]int),
		first:   hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		total:   hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
}

func (r *Report) draft(got draftAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drafts[got.outcome]++
	r.countReason(got.outcome, got.reason)
	if got.outcome == Complete {
		_ = r.first.RecordValue(got.first.Microseconds())
		_ = r.total.RecordValue(got.total.Microseconds())
	}
}

func (r *Report) order(told OrderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[told.Outcome]++
	r.countReason(told.Outcome, told.Reason)
	r.told = append(r.told, told)
}

func (r *Report) countReason(outcome Outcome, reason string) {
	if outcome != Complete {
		r.reasons[outcome.String()+": "+reason]++
	}
}

// Drafts returns how many drafts had the outcome.
func (r *Report) Drafts(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drafts[outcome]
}

// Orders returns how many orders had the outcome.
func (r *Report) Orders(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders[outcome]
}

// Reasons returns how often each reason was told beside its outcome.
func (r *Report) Reasons() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make(map[string]int, len(r.reasons))
	for reason, count := range r.reasons {
		reasons[reason] = count
	}
	return reasons
}

// FirstToken returns the time until the first token at a quantile in percent.
func (r *Report) FirstToken(percent float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.first.ValueAtQuantile(percent)) * time.Microsecond
}

// Violations returns every promise that an outcome broke, given how often the
// services ran each key.
func (r *Report) Violations(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	if r.drafts[Wrong] > 0 {
		broken = append(broken, fmt.Sprintf("%d drafts were told whole and differ", r.drafts[Wrong]))
	}
	if r.orders[Wrong] > 0 {
		broken = append(broken, fmt.Sprintf("%d orders got the answer of another one", r.orders[Wrong]))
	}
	for _, told := range r.told {
		ran := runs[told.Key]
		switch {
		case ran > 1:
			broken = append(broken, fmt.Sprintf("key %s ran %d times", told.Key, ran))
		case told.Outcome == Complete && ran == 0:
			broken = append(broken, fmt.Sprintf("key %s was told complete and did not run", told.Key))
		case told.Outcome == NotRun && ran > 0:
			broken = append(broken, fmt.Sprintf("key %s was told not run and ran", told.Key))
		}
	}
	return broken
}

// RunTwice returns how many keys ran more than once.
func RunTwice(runs map[string]int) int {
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	return twice
}

// Print writes a table of outcomes.
func (r *Report) Print(out io.Writer, runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const padding = 2
	table := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, "OUTCOME\tDRAFTS\tORDERS")
	for outcome := range outcomes {
		fmt.Fprintf(table, "%s\t%d\t%d\n", outcome, r.drafts[outcome], r.orders[outcome])
	}
	fmt.Fprintf(table, "keys run more than once\t\t%d\n", RunTwice(runs))
	_ = table.Flush()
	fmt.Fprintf(out, "first token: p50 %s, p95 %s\n", quantile(r.first, 50), quantile(r.first, 95))
	for reason, count := range r.reasons {
		fmt.Fprintf(out, "  %d x %s\n", count, reason)
	}
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
}
