package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/position"
)

// A store that answers each call at once without records must not cause a busy loop.
// It is called about as often as one that fails.
func TestWatchLimitsReadsThatReturnNothingAtOnce(t *testing.T) {
	const duration = 20 * time.Second
	// Pauses begin with retryPause and double, so there are a few calls more.
	maxCalls := int(duration/maxRetryPause) + 5
	for _, c := range []struct {
		name  string
		calls int // calls in each round
		read  func(from position.Position) (caughtUp bool, err error)
	}{
		{"reads that don't wait", 1, func(position.Position) (bool, error) { return true, nil }},
		{"reads that say there is more", 1, func(position.Position) (bool, error) { return false, nil }},
		{"records are deleted again and again", 2, func(position.Position) (bool, error) { return false, ErrTrimmed }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				calls, maxTotalCalls := 0, c.calls*maxCalls+1
				count := func() {
					if calls++; calls > maxTotalCalls {
						cancel()
					}
				}
				s := newState(func() {})
				s.platform.OperatorFeed = Feed{
					Newest: func(context.Context) ([]Record, position.Position, error) { count(); return nil, 7, nil },
					Read: func(_ context.Context, from position.Position, _ time.Duration) ([]Record, position.Position, bool, error) {
						count()
						caughtUp, err := c.read(from)
						return nil, from, caughtUp, err
					},
				}
				g.Expect(s.WatchOperator(ctx)).To(Succeed())
				g.Expect(calls).To(BeNumerically("<=", maxTotalCalls))
				g.Expect(calls).To(BeNumerically(">", 10), "it continues to read")
			})
		})
	}
}
