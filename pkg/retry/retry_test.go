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
		{"what is at hand at the start", &Budget{MinPerSecond: -1, Start: 4}, 0, 0, 4},
		{"nothing without traffic", &Budget{MinPerSecond: -1}, 0, time.Hour, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := test.budget
			b.Take(start)
			for range test.firsts {
				b.First(start)
			}
			taken := 0
			for b.Take(start.Add(test.idle)) {
				taken++
			}
			NewWithT(t).Expect(taken).To(BeNumerically("~", test.want, 1))
		})
	}
}

func TestBudgetsTakeBothOrNone(t *testing.T) {
	g := NewWithT(t)
	b := &Budgets{Server: func(string) *Budget { return &Budget{Ratio: 0.5, MinPerSecond: -1} }}
	b.Instance = Budget{Ratio: 0.5, MinPerSecond: -1}
	for range 4 {
		b.First(start, "a")
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
			p := &Policy{Budgets: &Budgets{}, LeastTime: time.Second}
			for range test.firsts {
				p.Budgets.First(start, "s")
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
