package retry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBudgetIsAShareOfFirstAttempts(t *testing.T) {
	tests := []struct {
		name   string
		budget *Budget
		firsts int
		idle   time.Duration
		want   int
	}{
		{"a tenth by default", &Budget{MinPerSecond: -1, Burst: 100}, 500, 0, 50},
		{"burst bounds what is saved", &Budget{MinPerSecond: -1}, 500, 0, 10},
		{"minimum without traffic", &Budget{MinPerSecond: 2}, 0, 3 * time.Second, 6},
		{"what is at hand at the start", &Budget{MinPerSecond: -1, InitialRetries: 4}, 0, 0, 4},
		{"nothing without traffic", &Budget{MinPerSecond: -1}, 0, time.Hour, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := test.budget
			b.Take(start)
			for range test.firsts {
				b.RecordFirst(start)
			}
			taken := 0
			for b.Take(start.Add(test.idle)) {
				taken++
			}
			NewWithT(t).Expect(taken).To(BeNumerically("~", test.want, 1))
		})
	}
}

// takeAll spends all that a budget allows at a moment.
func takeAll(b *Budget, now time.Time) int {
	taken := 0
	for b.Take(now) {
		taken++
	}
	return taken
}

func TestBudgetFollowsItsShare(t *testing.T) {
	share := 0.0
	newBudget := func() *Budget {
		share = 0
		return &Budget{Ratio: 0.5, MinPerSecond: 10, Burst: 20, InitialRetries: 8, Share: func() float64 { return share }}
	}
	t.Run("first attempts only while it is 0", func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		g.Expect(takeAll(b, start)).To(BeZero())
		g.Expect(takeAll(b, start.Add(time.Minute))).To(BeZero())
		g.Expect(b.Wait(start.Add(time.Minute), time.Hour)).To(Equal(time.Hour))
		b.RecordFirst(start.Add(time.Minute))
		b.RecordFirst(start.Add(time.Minute))
		g.Expect(takeAll(b, start.Add(time.Minute))).To(Equal(1))
	})
	t.Run("the start comes with the first share, once", func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		g.Expect(takeAll(b, start)).To(BeZero())
		share = 0.5
		g.Expect(takeAll(b, start)).To(Equal(4))
		share = 0
		g.Expect(takeAll(b, start)).To(BeZero())
		share = 0.5
		g.Expect(takeAll(b, start)).To(BeZero())
		share = 0.75
		g.Expect(takeAll(b, start)).To(Equal(2))
		share = 0.5
		g.Expect(takeAll(b, start.Add(time.Second))).To(Equal(5))
		g.Expect(takeAll(b, start.Add(time.Hour))).To(Equal(10))
	})
	t.Run("a smaller share takes back what is saved up", func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		share = 1
		b.Wait(start, 0)
		b.Wait(start.Add(time.Hour), 0)
		share = 0.1
		g.Expect(takeAll(b, start.Add(time.Hour))).To(Equal(2))
	})
	t.Run("one retry can always be saved up", func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		share = 0.001
		b.Wait(start, 0)
		g.Expect(takeAll(b, start.Add(time.Hour))).To(Equal(1))
	})
}

func ExampleBudget() {
	// Twenty retries in ten seconds beyond a tenth of the requests, for all processes.
	processes := 0 // not known yet
	budget := Budget{
		Ratio: 0.1, Burst: 10, MinPerSecond: 1,
		Share: func() float64 {
			if processes == 0 {
				return 0
			}
			return 1 / float64(processes)
		},
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fmt.Println(budget.Take(now), budget.Take(now.Add(time.Minute)))
	processes = 5
	now = now.Add(2 * time.Minute)
	fmt.Println(budget.Take(now), budget.Take(now), budget.Take(now))
	// Output:
	// false false
	// true true false
}

func TestBudgetsTakeBothOrNone(t *testing.T) {
	g := NewWithT(t)
	b := &Budgets{Server: func(string) *Budget { return &Budget{Ratio: 0.5, MinPerSecond: -1} }}
	b.Instance = Budget{Ratio: 0.5, MinPerSecond: -1}
	for range 4 {
		b.RecordFirst(start, "a")
	}
	g.Expect(b.Take(start, "b")).To(BeFalse(), "b had no first attempt")
	g.Expect(b.Take(start, "a")).To(BeTrue())
	g.Expect(b.Take(start, "a")).To(BeTrue(), "the refusal at b spent nothing")
	g.Expect(b.Take(start, "a")).To(BeFalse())
}

func TestPolicyNext(t *testing.T) {
	ok := Failure{Server: "s", Repeatable: true}
	tests := []struct {
		name    string
		attempt Attempt
		failure Failure
		firsts  int
		want    Reason
	}{
		{"allowed", Attempt{Number: 1}, ok, 100, Allowed},
		{"may have run", Attempt{Number: 1}, Failure{Server: "s"}, 100, NotRepeatable},
		{"forwarded", Attempt{Number: 1, Forwarded: true}, ok, 100, NotThisLayer},
		{"third try", Attempt{Number: 3}, ok, 100, NoAttemptLeft},
		{"deadline", Attempt{Number: 1, Deadline: start.Add(time.Second)}, ok, 100, NoTimeLeft},
		{"no budget", Attempt{Number: 1}, ok, 1, NoBudgetLeft},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			p := &Policy{Budgets: &Budgets{}, MinAttemptTime: time.Second}
			for range test.firsts {
				p.Budgets.RecordFirst(start, "s")
			}
			d := p.Next(start, test.attempt, test.failure)
			g.Expect(d.Reason).To(Equal(test.want))
			g.Expect(d.RetryAfter > 0).To(Equal(test.want != Allowed))
		})
	}
}

func TestBackoffStaysInItsRange(t *testing.T) {
	g := NewWithT(t)
	high := Backoff{Float64: func() float64 { return 0.999999 }}
	low := Backoff{Float64: func() float64 { return 0 }}
	for n, want := range map[int]time.Duration{0: DefaultBase, 1: DefaultBase, 2: 2 * DefaultBase, 90: DefaultMax} {
		g.Expect(high.Delay(n)).To(BeNumerically("~", want, time.Millisecond))
		g.Expect(low.Delay(n)).To(BeZero())
	}
}

func ExampleAttempt_Set() {
	a := Attempt{Number: 1, Deadline: start.Add(1500 * time.Millisecond)}
	h := http.Header{}
	a.WithNext().Set(h, start)
	fmt.Println(h.Get(HeaderAttempt), h.Get(HeaderTimeout))
	// Output: 2 1500
}

func FuzzParseAttempt(f *testing.F) {
	f.Add("1", "1500", "1")
	f.Add("-1", "9999999999999999999", "2")
	f.Fuzz(func(t *testing.T, number, timeout, forwarded string) {
		h := http.Header{HeaderAttempt: {number}, HeaderTimeout: {timeout}, HeaderForwarded: {forwarded}}
		a, err := ParseAttempt(h, start)
		if err != nil {
			return
		}
		again := http.Header{}
		a.Set(again, start)
		b, err := ParseAttempt(again, start)
		if err != nil || a != b {
			t.Fatalf("%v became %v, %v", a, b, err)
		}
	})
}

func FuzzParseRetryAfter(f *testing.F) {
	f.Add("120")
	f.Add("Thu, 01 Jan 2026 00:00:05 GMT")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseRetryAfter(text, start)
		if err == nil && (d < 0 || d > maxRetryAfter) {
			t.Fatalf("%q gave %v", text, d)
		}
	})
}
