package queue

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		places := 0
		gate := &Gate{
			Config: Config{MaxEntries: 2},
			Acquire: func(Entry) bool {
				if places == 0 {
					return false
				}
				places--
				return true
			},
		}
		results := make(chan error, 4)
		wait := func(timeout time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			results <- gate.Wait(ctx, Entry{Account: "a", Cost: 1})
		}
		go wait(time.Second)
		synctest.Wait()
		go wait(time.Minute)
		synctest.Wait()

		err := gate.Wait(context.Background(), Entry{Account: "a", Cost: 1})
		var refusal *Refusal
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		g.Expect(refusal.Reason).To(Equal(ReasonFull))

		time.Sleep(2 * time.Second)
		g.Expect(<-results).To(MatchError(context.DeadlineExceeded))
		g.Expect(gate.Len()).To(Equal(1))

		places = 1
		gate.Wake()
		g.Expect(<-results).To(Succeed())

		go wait(time.Minute)
		synctest.Wait()
		gate.Close()
		g.Expect(errors.As(<-results, &refusal)).To(BeTrue())
		g.Expect(refusal.Reason).To(Equal(ReasonClosed))
	})
}
