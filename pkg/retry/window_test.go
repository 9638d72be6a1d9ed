package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A group fails 12 streams of an instance at once, after steady traffic. With 295
// instances, the instance's share of the fixed allowance is two retries.
func TestWindowBudgetAnswersABurstOfFailures(t *testing.T) {
	const window, perSecond, failed = 10 * time.Second, 10, 12
	for _, test := range []struct {
		name   string
		window time.Duration
		want   int
	}{
		{"with a bucket that its share caps", 0, 2},
		{"with a window", window, failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &Budget{Ratio: 0.14, Burst: 234, MinPerSecond: -1, Window: test.window, Share: func() float64 { return 2.0 / 234 }}
			now := start
			for range perSecond * int(window/time.Second) {
				now = now.Add(time.Second / perSecond)
				b.RecordFirst(now)
			}
			taken := 0
			for range failed {
				if b.Take(now) {
					taken++
				}
			}
			NewWithT(t).Expect(taken).To(Equal(test.want))
		})
	}
}

// Whatever the traffic, no window has more retries than its first attempts allow.
func TestWindowBudgetNeverExceedsItsRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio = 2 * time.Second, 0.25
		b := &Budget{Ratio: ratio, MinPerSecond: -1, Burst: -1, Window: window}
		var firsts, retries []time.Time
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "offset")))
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause")))
			if rapid.Float64Range(0, 1).Draw(t, "draw") < 0.6 {
				b.RecordFirst(now)
				firsts = append(firsts, now)
				continue
			}
			if b.Take(now) {
				retries = append(retries, now)
				allowed := ratio * float64(countSince(firsts, now.Add(-window)))
				if made := countSince(retries, now.Add(-window)); float64(made) > allowed {
					t.Fatalf("%d retries in a window that allows %.2f", made, allowed)
				}
			}
		}
	})
}

// A process that restarts takes less of what its traffic earns, until what its predecessor
// spent is a window ago.
func TestWindowBudgetEarnsLessAfterAStart(t *testing.T) {
	const window, perSecond = 10 * time.Second, 10
	for _, test := range []struct {
		name       string
		startRatio float64
		age        time.Duration
		want       int
	}{
		{"no other ratio at the start", 0, window / 2, 10},
		{"in the first window", 0.06, window / 2, 3},
		{"at the end of the first window", 0.06, window, 6},
		{"after the first window", 0.06, window + window/10, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &Budget{Ratio: 0.2, StartRatio: test.startRatio, MinPerSecond: -1, Burst: -1, Window: window}
			for at := time.Duration(0); at < test.age; at += time.Second / perSecond {
				b.RecordFirst(start.Add(at))
			}
			taken := 0
			for b.Take(start.Add(test.age)) {
				taken++
			}
			NewWithT(t).Expect(taken).To(BeNumerically("~", test.want, 1))
			NewWithT(t).Expect(taken).To(BeNumerically("<=", test.want))
		})
	}
}

func countSince(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}
