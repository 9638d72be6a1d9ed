package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/position"
)

// batch is the result of one read of a feed.
type batch struct {
	records  []Record
	full     bool              // has the newest record of each key; keys without one were removed
	caughtUp bool              // the store had no further records
	began    time.Duration     // start of the read, on the clock of package boottime
	ended    time.Duration     // earliest time of the store's answer, on the same clock
	resumed  bool              // the previous read failed
	end      position.Position // before which all records of the feed are known
}

// watcher follows one feed.
type watcher struct {
	feed  Feed
	pause func() time.Duration // returns the pause after a read that returned records
	apply func(batch)
	// relayed reports whether keepers' digests replace reads of the feed for now.
	relayed func() bool
	// readsFirst is set if the feed is read once in any case.
	readsFirst bool
}

// watch follows a feed until the context ends. It first reads the newest record
// of each key, and does so again whenever the store has deleted records that were
// not read yet.
func (s *State) watch(ctx context.Context, w watcher) error {
	next := position.Position(-1)
	pause, failed := retryPause, false
	pacing := pacer{}
	for ctx.Err() == nil {
		if (next >= 0 || !w.readsFirst) && w.relayed() {
			s.awaitLapse(ctx)
			continue
		}
		b := batch{began: s.clock(), caughtUp: true, resumed: failed}
		monotonicStart := time.Now()
		wait := s.readWait()
		var err error
		if next < 0 {
			b.full = true
			b.records, next, err = w.feed.Newest(ctx)
		} else {
			b.records, next, b.caughtUp, err = w.feed.Read(ctx, next, wait)
		}
		s.logReachability(ctx, w.feed.Name, err)
		switch {
		case errors.Is(err, ErrTrimmed):
			next = -1
			sleep(ctx, pacing.afterTrim())
			continue
		case err != nil:
			if b.full {
				next = -1
			}
			failed = true
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause, failed = retryPause, false
		b.end = next
		b.ended = earliestAnswer(b.began, s.clock(), time.Since(monotonicStart))
		w.apply(b)
		if len(b.records) > 0 {
			sleep(ctx, w.pause())
		}
		if !b.full {
			sleep(ctx, pacing.afterRead(len(b.records) > 0, time.Since(monotonicStart) < wait/2))
		}
	}
	return nil
}

// awaitLapse waits for a share of relayAge, or until a keeper's word shows that there are
// records to read.
func (s *State) awaitLapse(ctx context.Context) {
	share := time.Duration(relayCheckShare)
	if s.processes() > fewInstances {
		share = relayCheckShareOfMany
	}
	timer := time.NewTimer(s.relayAge / share)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.news:
	}
}

// pacer computes the pauses between reads that return no records, so that a store
// which answers each of them at once does not cause a busy loop of calls. The zero
// value is ready to use.
type pacer struct {
	trimCount int           // ErrTrimmed results since the last read that succeeded
	pause     time.Duration // pause after the last read that returned no records
}

// afterTrim returns the pause after a read that failed with ErrTrimmed. The first
// one in a row is retried at once.
func (p *pacer) afterTrim() time.Duration {
	p.trimCount++
	if p.trimCount == 1 {
		return 0
	}
	return p.nextPause()
}

// afterRead returns the pause after a read that succeeded. returnedEarly says that
// the read ended long before its maximum wait for a record.
func (p *pacer) afterRead(gotRecords, returnedEarly bool) time.Duration {
	p.trimCount = 0
	if gotRecords || !returnedEarly {
		p.pause = 0
		return 0
	}
	return p.nextPause()
}

func (p *pacer) nextPause() time.Duration {
	p.pause = min(max(2*p.pause, retryPause), maxRetryPause)
	return p.pause
}

// earliestAnswer returns the earliest time at which a call may have been answered.
// began and ended are the call's start and end on a clock that runs on while the
// machine is suspended; monotonic is its duration without suspensions. An answer
// that arrived during a suspension may be as old as the call.
func earliestAnswer(began, ended, monotonic time.Duration) time.Duration {
	if ended-began-monotonic > minSuspension {
		return began
	}
	return ended
}

// logReachability logs when a feed of the store becomes reachable or unreachable.
func (s *State) logReachability(ctx context.Context, feed string, err error) {
	if ctx.Err() != nil || errors.Is(err, ErrTrimmed) {
		return
	}
	s.mu.Lock()
	wasReachable, known := s.storeReachable[feed]
	s.storeReachable[feed] = err == nil
	age := s.view.Age()
	s.mu.Unlock()
	switch {
	case err == nil && (!known || !wasReachable):
		s.log.Info("store reached", telemetry.Fields{"topic": feed})
	case err != nil && (!known || wasReachable):
		s.log.Warn("store lost", telemetry.Fields{"topic": feed, "error": err.Error(), "config_age_ms": age.Milliseconds()})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
