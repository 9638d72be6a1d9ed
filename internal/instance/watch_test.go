package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A store that answers each call at once, and with nothing, is called as often
// as one that fails, not as often as the processor can.
func TestWatchOfAStoreThatAnswersAtOnceWithNothing(t *testing.T) {
	const during = 20 * time.Second
	// Pauses double from retryPause, so that a few calls come above the quotient.
	most := int(during/maxRetryPause) + 5
	for _, c := range []struct {
		name  string
		calls int // of one round
		read  func(from int64) (whole bool, err error)
	}{
		{"reads that don't wait", 1, func(int64) (bool, error) { return true, nil }},
		{"reads that say there is more", 1, func(int64) (bool, error) { return false, nil }},
		{"records are dropped again and again", 2, func(int64) (bool, error) { return false, ErrTrimmed }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), during)
				defer cancel()
				calls, limit := 0, c.calls*most+1
				count := func() {
					if calls++; calls > limit {
						cancel()
					}
				}
				s := newState(func() {})
				s.platform.OperatorFeed = Feed{
					Newest: func(context.Context) ([]Record, int64, error) { count(); return nil, 7, nil },
					Read: func(_ context.Context, from int64, _ time.Duration) ([]Record, int64, bool, error) {
						count()
						whole, err := c.read(from)
						return nil, from, whole, err
					},
				}
				g.Expect(s.WatchOperator(ctx)).To(Succeed())
				g.Expect(calls).To(BeNumerically("<=", limit))
				g.Expect(calls).To(BeNumerically(">", 10), "it goes on asking")
			})
		})
	}
}
