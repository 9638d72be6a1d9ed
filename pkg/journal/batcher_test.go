package journal_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// slowLog is a log whose appends take 10 ms each.
type slowLog struct {
	entries     [][]byte
	inFlight    int
	maxInFlight int // maximum number of concurrent appends
	err         error
}

func (l *slowLog) append(_ context.Context, data []byte) (journal.Offset, error) {
	l.inFlight++
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
	time.Sleep(10 * time.Millisecond)
	l.inFlight--
	l.entries = append(l.entries, data)
	return journal.Offset(len(l.entries)), l.err
}

func newBatcher(l *slowLog) *journal.Batcher {
	return &journal.Batcher{
		Append:   l.append,
		Join:     func(items [][]byte) ([]byte, error) { return bytes.Join(items, []byte(",")), nil },
		MaxDelay: 5 * time.Millisecond,
		MaxBytes: 4,
	}
}

func TestBatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var log slowLog
		batcher := newBatcher(&log)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = batcher.Run(ctx) })
		var callers sync.WaitGroup
		positions := make(map[journal.Position]bool)
		var mu sync.Mutex
		for range 10 {
			callers.Go(func() {
				position, err := batcher.Submit(ctx, []byte("a"))
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(HaveOccurred())
				positions[position] = true
			})
		}
		callers.Wait()
		cancel()
		group.Wait()
		g.Expect(positions).To(HaveLen(10))
		g.Expect(log.maxInFlight).To(Equal(1))
		g.Expect(log.entries).To(HaveLen(3))
	})
}

func TestBatcherErrors(t *testing.T) {
	submit := func(t *testing.T, after time.Duration, logErr error, run bool) error {
		log := slowLog{err: logErr}
		batcher := newBatcher(&log)
		ctx, cancel := context.WithTimeout(t.Context(), after)
		defer cancel()
		running, end := context.WithCancel(t.Context())
		var group sync.WaitGroup
		if run {
			group.Go(func() { _ = batcher.Run(running) })
		}
		_, err := batcher.Submit(ctx, []byte("a"))
		end()
		group.Wait()
		return err
	}
	tests := []struct {
		name   string
		after  time.Duration
		logErr error
		run    bool
		want   error
	}{
		{"context ends before the append", 2 * time.Millisecond, nil, true, journal.ErrUnavailable},
		{"batcher does not run", time.Minute, nil, false, journal.ErrUnavailable},
		{"context ends during the append", 8 * time.Millisecond, nil, true, journal.ErrOutcomeUnknown},
		{"response lost", time.Minute, journal.ErrOutcomeUnknown, true, journal.ErrOutcomeUnknown},
		{"log unavailable", time.Minute, journal.ErrUnavailable, true, journal.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				err := submit(t, test.after, test.logErr, test.run)
				NewWithT(t).Expect(errors.Is(err, test.want)).To(BeTrue(), "%v", err)
			})
		})
	}
}
