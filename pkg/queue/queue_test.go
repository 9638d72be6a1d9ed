package queue

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200"} {
		if !set[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const maxCost = 100

// boundsViolation returns how the queue violates its limits, or "".
func boundsViolation(q *Queue) string {
	c := q.config()
	if q.Len() > c.MaxEntries || q.Bytes() > c.MaxBytes || q.Len() < 0 || q.Bytes() < 0 {
		return fmt.Sprintf("the queue has %d requests and %d bytes, beyond its limits", q.Len(), q.Bytes())
	}
	return ""
}

// fairnessViolation keeps at least one request of each account waiting while the large
// account floods the queue. It returns an error text if an account is served much more
// than the small one, relative to its weight.
func fairnessViolation(t *rapid.T, q *Queue) string {
	q.Config = Config{MaxEntries: 60, MaxBytes: 1 << 20, Rate: 1e9}
	weights := map[string]int{"large": 1, "small": 1, "heavy": 3}
	served := make(map[string]float64)
	var id uint64
	push := func(account string) {
		id++
		cost := rapid.IntRange(1, maxCost).Draw(t, "cost")
		q.Push(startTime, Entry{ID: id, Account: account, Weight: weights[account], Cost: cost, Bytes: cost})
	}
	for range 200 {
		for account := range weights {
			if h := q.usage[account]; h == nil {
				push(account)
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "flood") {
			push("large")
		}
		e, _ := q.Pop()
		served[e.Account] += float64(e.Cost) / float64(weights[e.Account])
		for a := range weights {
			if ahead := served[a] - served["small"]; ahead > 3*maxCost {
				return fmt.Sprintf("account %q was served a weighted cost of %.0f more than the small account", a, ahead)
			}
		}
		if v := boundsViolation(q); v != "" {
			return v
		}
	}
	return ""
}

// displacementViolation pushes requests of a large and a small account, and serves none,
// so that the queue overflows. It returns an error text if a push is handled wrongly.
func displacementViolation(t *rapid.T, q *Queue) string {
	q.Config = Config{MaxEntries: 10, MaxBytes: 1000}
	maxEntryBytes := rapid.SampledFrom([]int{99, 300}).Draw(t, "largest")
	for id := range uint64(60) {
		e := Entry{ID: id, Account: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "account")}
		e.Bytes = rapid.IntRange(0, maxEntryBytes).Draw(t, "bytes")
		before := q.Len()
		displaced, err := q.Push(startTime, e)
		if v := boundsViolation(q); v != "" {
			return v
		}
		if err != nil && q.Len() != before {
			return "a refused push changed the queue"
		}
		if err != nil && maxEntryBytes == 99 && q.usage["b"] == nil && e.Account == "b" {
			return "an account without entries in the queue was refused"
		}
		if err == nil && q.Len() != before+1-len(displaced) {
			return "displaced entries are still in the queue"
		}
	}
	return ""
}

// priorityViolation keeps requests of both priorities waiting. It returns an error text
// if priority 1 is served less often than BatchEvery requires.
func priorityViolation(t *rapid.T, q *Queue) string {
	q.Config = Config{BatchEvery: 5, Rate: 1e9}
	sinceBatch := 0
	for id := range uint64(100) {
		q.Push(startTime, Entry{ID: 2 * id, Cost: rapid.IntRange(1, maxCost).Draw(t, "cost")})
		q.Push(startTime, Entry{ID: 2*id + 1, Cost: 1, Priority: 1, Account: "batch"})
		sinceBatch++
		if e, _ := q.Pop(); e.Priority == 1 {
			sinceBatch = 0
		}
		if sinceBatch >= 5 {
			return "no request of priority 1 was among the last 5 that were served"
		}
	}
	return ""
}

func TestRandomSchedules(t *testing.T) {
	tests := []struct {
		name        string
		violation   func(*rapid.T, *Queue) string
		withoutRule Queue
	}{
		{name: "fairness between accounts", violation: fairnessViolation, withoutRule: Queue{fifo: true}},
		{name: "displacement for small accounts", violation: displacementViolation, withoutRule: Queue{noDisplacement: true}},
		{name: "priority 1 is served", violation: priorityViolation, withoutRule: Queue{strictPriority: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if v := tt.violation(t, &Queue{}); v != "" {
					t.Fatal(v)
				}
			})
		})
		t.Run(tt.name+" violated without the rule", func(t *testing.T) {
			found := ""
			violations := rapid.Custom(func(t *rapid.T) string {
				q := tt.withoutRule
				return tt.violation(t, &q)
			})
			for seed := 1; seed <= 200 && found == ""; seed++ {
				found = violations.Example(seed)
			}
			NewWithT(t).Expect(found).NotTo(BeEmpty())
		})
	}
}

func TestTakeSkipsRefusedKeys(t *testing.T) {
	tests := []struct {
		name string
		full string // key for which no place is free
		want []uint64
	}{
		{name: "places for both keys", want: []uint64{1, 2, 3, 4}},
		{name: "none for the first key", full: "a", want: []uint64{2}},
		{name: "none for the second key", full: "b", want: []uint64{1, 3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			for id, key := range []string{"a", "b", "a", "a"} {
				q.Push(startTime, Entry{ID: uint64(id + 1), Key: key, Cost: 1, Priority: id / 3})
			}
			var got []uint64
			for {
				e, ok := q.Take(func(e Entry) bool { return e.Key != tt.full })
				if !ok {
					break
				}
				got = append(got, e.ID)
			}
			NewWithT(t).Expect(got).To(Equal(tt.want))
			NewWithT(t).Expect(q.Len()).To(Equal(4 - len(got)))
		})
	}
}

func TestDeadlines(t *testing.T) {
	g := NewWithT(t)
	q := Queue{Config: Config{Rate: 100}}
	for id := range uint64(10) {
		_, err := q.Push(startTime, Entry{ID: id, Account: fmt.Sprint(id), Cost: 100, Deadline: startTime.Add(20 * time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := q.Push(startTime, Entry{ID: 99, Account: "late", Cost: 1, Deadline: startTime.Add(5 * time.Second)})
	g.Expect(err).To(Equal(&Refusal{Reason: ReasonDeadline, RetryAfter: 10 * time.Second}))
	g.Expect(q.Expire(startTime.Add(20 * time.Second))).To(HaveLen(10))
	g.Expect(q.Len()).To(BeZero())
	g.Expect(q.Bytes()).To(BeZero())
}

func TestRateFollowsCompletions(t *testing.T) {
	g := NewWithT(t)
	q := Queue{Config: Config{Rate: 1000}}
	complete := func(from, n int) {
		for i := range n {
			q.RecordServed(startTime.Add(time.Duration(from+i)*100*time.Millisecond), 50)
		}
	}
	complete(0, 400)
	g.Expect(q.Rate()).To(Equal(1000.0), "rate while no request waited")
	q.Push(startTime, Entry{ID: 1, Cost: 1})
	complete(400, 400)
	g.Expect(q.Rate()).To(BeNumerically("~", 500, 30))
	q.Pop()
	complete(5000, 400)
	g.Expect(q.Rate()).To(BeNumerically("~", 500, 30))
}

func ExampleQueue() {
	var q Queue
	for id := range uint64(3) {
		q.Push(startTime, Entry{ID: id, Account: "large", Cost: 10})
	}
	q.Push(startTime, Entry{ID: 3, Account: "small", Cost: 10})
	for q.Len() > 0 {
		e, _ := q.Pop()
		fmt.Print(e.Account, " ")
	}
	// Output: large small large large
}
