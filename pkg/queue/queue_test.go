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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const maxCost = 100

// bounds returns a violation of the queue's bounds.
func bounds(q *Queue) string {
	c := q.config()
	if q.Len() > c.MaxEntries || q.Bytes() > c.MaxBytes || q.Len() < 0 || q.Bytes() < 0 {
		return fmt.Sprintf("the queue holds %d requests and %d bytes", q.Len(), q.Bytes())
	}
	return ""
}

// floodSchedule lets some accounts push without end while each keeps at least
// one request waiting, and compares what they were served for their weight.
func floodSchedule(t *rapid.T, q *Queue) string {
	q.Config = Config{MaxEntries: 60, MaxBytes: 1 << 20, Rate: 1e9}
	weights := map[string]int{"large": 1, "small": 1, "heavy": 3}
	served := make(map[string]float64)
	var id uint64
	push := func(account string) {
		id++
		cost := rapid.IntRange(1, maxCost).Draw(t, "cost")
		q.Push(start, Entry{ID: id, Account: account, Weight: weights[account], Cost: cost, Bytes: cost})
	}
	for range 200 {
		for account := range weights {
			if h := q.holdings[account]; h == nil {
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
				return fmt.Sprintf("account %q is %.0f ahead of the small one", a, ahead)
			}
		}
		if v := bounds(q); v != "" {
			return v
		}
	}
	return ""
}

// roomSchedule pushes from a large and a small account and never serves.
func roomSchedule(t *rapid.T, q *Queue) string {
	q.Config = Config{MaxEntries: 10, MaxBytes: 1000}
	largest := rapid.SampledFrom([]int{99, 300}).Draw(t, "largest")
	for id := range uint64(60) {
		e := Entry{ID: id, Account: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "account")}
		e.Bytes = rapid.IntRange(0, largest).Draw(t, "bytes")
		before := q.Len()
		displaced, err := q.Push(start, e)
		if v := bounds(q); v != "" {
			return v
		}
		if err != nil && q.Len() != before {
			return "a refused push changed the queue"
		}
		if err != nil && largest == 99 && q.holdings["b"] == nil && e.Account == "b" {
			return "an account that holds nothing was refused"
		}
		if err == nil && q.Len() != before+1-len(displaced) {
			return "displaced entries are still in the queue"
		}
	}
	return ""
}

// batchSchedule keeps both priorities waiting.
func batchSchedule(t *rapid.T, q *Queue) string {
	q.Config = Config{BatchEvery: 5, Rate: 1e9}
	sinceBatch := 0
	for id := range uint64(100) {
		q.Push(start, Entry{ID: 2 * id, Cost: rapid.IntRange(1, maxCost).Draw(t, "cost")})
		q.Push(start, Entry{ID: 2*id + 1, Cost: 1, Priority: 1, Account: "batch"})
		sinceBatch++
		if e, _ := q.Pop(); e.Priority == 1 {
			sinceBatch = 0
		}
		if sinceBatch >= 5 {
			return "priority 1 starves"
		}
	}
	return ""
}

func TestSchedules(t *testing.T) {
	tests := []struct {
		name      string
		run       func(*rapid.T, *Queue) string
		unguarded Queue
	}{
		{name: "fairness between accounts", run: floodSchedule, unguarded: Queue{fifo: true}},
		{name: "room for small accounts", run: roomSchedule, unguarded: Queue{unlimited: true}},
		{name: "priority 1 is served", run: batchSchedule, unguarded: Queue{strict: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if v := tt.run(t, &Queue{}); v != "" {
					t.Fatal(v)
				}
			})
		})
		t.Run(tt.name+" needs its guard", func(t *testing.T) {
			found := ""
			unguarded := rapid.Custom(func(t *rapid.T) string {
				q := tt.unguarded
				return tt.run(t, &q)
			})
			for seed := 1; seed <= 200 && found == ""; seed++ {
				found = unguarded.Example(seed)
			}
			NewWithT(t).Expect(found).NotTo(BeEmpty())
		})
	}
}

func TestTakePassesOnlyOtherKeys(t *testing.T) {
	tests := []struct {
		name string
		full string // key without a place
		want []uint64
	}{
		{name: "places for all", want: []uint64{1, 2, 3, 4}},
		{name: "none for the first", full: "a", want: []uint64{2}},
		{name: "none for the second", full: "b", want: []uint64{1, 3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			for id, key := range []string{"a", "b", "a", "a"} {
				q.Push(start, Entry{ID: uint64(id + 1), Key: key, Cost: 1, Priority: id / 3})
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
		_, err := q.Push(start, Entry{ID: id, Account: fmt.Sprint(id), Cost: 100, Deadline: start.Add(20 * time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := q.Push(start, Entry{ID: 99, Account: "late", Cost: 1, Deadline: start.Add(5 * time.Second)})
	g.Expect(err).To(Equal(&Refusal{Reason: ReasonDeadline, RetryAfter: 10 * time.Second}))
	g.Expect(q.Expire(start.Add(20 * time.Second))).To(HaveLen(10))
	g.Expect(q.Len()).To(BeZero())
	g.Expect(q.Bytes()).To(BeZero())
}

func TestRateFollowsCompletions(t *testing.T) {
	g := NewWithT(t)
	q := Queue{Config: Config{Rate: 1000}}
	complete := func(from, n int) {
		for i := range n {
			q.RecordServed(start.Add(time.Duration(from+i)*100*time.Millisecond), 50)
		}
	}
	complete(0, 400)
	g.Expect(q.Rate()).To(Equal(1000.0), "nothing waited")
	q.Push(start, Entry{ID: 1, Cost: 1})
	complete(400, 400)
	g.Expect(q.Rate()).To(BeNumerically("~", 500, 30))
	q.Pop()
	complete(5000, 400)
	g.Expect(q.Rate()).To(BeNumerically("~", 500, 30))
}

func ExampleQueue() {
	var q Queue
	for id := range uint64(3) {
		q.Push(start, Entry{ID: id, Account: "large", Cost: 10})
	}
	q.Push(start, Entry{ID: 3, Account: "small", Cost: 10})
	for q.Len() > 0 {
		e, _ := q.Pop()
		fmt.Print(e.Account, " ")
	}
	// Output: large small large large
}
