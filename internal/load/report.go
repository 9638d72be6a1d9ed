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

// Outcome is the result of a request as its caller sees it.
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

// OrderResult is the last result that the caller of an order received.
type OrderResult struct {
	Key       string
	Outcome   Outcome
	Reason    string
	AnyNotRun bool // whether any attempt had the outcome NotRun
}

const (
	maxLatency    = time.Hour
	latencyDigits = 3
)

// Report counts the outcomes of a load's requests. It is safe for concurrent use.
type Report struct {
	mu           sync.Mutex
	drafts       [outcomes]int
	orders       [outcomes]int
	reasons      map[string]int
	orderResults []OrderResult
	firstToken   *hdrhistogram.Histogram
	total        *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		reasons:    make(map[string]int),
		firstToken: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		total:      hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
}

func (r *Report) addDraft(result draftResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drafts[result.outcome]++
	r.countReason(result.outcome, result.reason)
	if result.outcome == Complete {
		_ = r.firstToken.RecordValue(result.firstToken.Microseconds())
		_ = r.total.RecordValue(result.total.Microseconds())
	}
}

func (r *Report) addOrder(result OrderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[result.Outcome]++
	r.countReason(result.Outcome, result.Reason)
	r.orderResults = append(r.orderResults, result)
}

func (r *Report) countReason(outcome Outcome, reason string) {
	if outcome != Complete {
		r.reasons[outcome.String()+": "+reason]++
	}
}

// Drafts returns the number of drafts with the outcome.
func (r *Report) Drafts(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drafts[outcome]
}

// Orders returns the number of orders with the outcome.
func (r *Report) Orders(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders[outcome]
}

// Reasons returns how many times each reason was given for an outcome other than
// complete. The keys have the form "outcome: reason".
func (r *Report) Reasons() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make(map[string]int, len(r.reasons))
	for reason, count := range r.reasons {
		reasons[reason] = count
	}
	return reasons
}

// FirstToken returns the time to the first token at the percentile.
func (r *Report) FirstToken(percent float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.firstToken.ValueAtQuantile(percent)) * time.Microsecond
}

// Violations returns a description of each outcome that violates the guarantees of the
// system. The runs are how many times the services ran each idempotency key.
func (r *Report) Violations(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	if r.drafts[Wrong] > 0 {
		violations = append(violations, fmt.Sprintf("%d drafts were reported complete with the wrong text", r.drafts[Wrong]))
	}
	if r.orders[Wrong] > 0 {
		violations = append(violations, fmt.Sprintf("%d orders got the answer of another order", r.orders[Wrong]))
	}
	for _, result := range r.orderResults {
		runCount := runs[result.Key]
		switch {
		case runCount > 1:
			violations = append(violations, fmt.Sprintf("order with key %s ran %d times", result.Key, runCount))
		case result.Outcome == Complete && runCount == 0:
			violations = append(violations, fmt.Sprintf("order with key %s was reported complete but did not run", result.Key))
		case result.Outcome == NotRun && runCount > 0:
			violations = append(violations, fmt.Sprintf("order with key %s was reported not run but ran", result.Key))
		}
	}
	return violations
}

// RunTwice returns the number of keys that ran more than once.
func RunTwice(runs map[string]int) int {
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	return twice
}

// Print writes a table of the outcomes, the time to the first token and the reasons.
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
	fmt.Fprintf(out, "first token: p50 %s, p95 %s\n", quantile(r.firstToken, 50), quantile(r.firstToken, 95))
	for reason, count := range r.reasons {
		fmt.Fprintf(out, "  %d x %s\n", count, reason)
	}
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
}
