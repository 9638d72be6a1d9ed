package measure

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// maxClaimLogQueue is how long an append may wait before the log refuses it.
const maxClaimLogQueue = time.Second

// claimLog is a log in memory with a latency and a bound on its rate.
type claimLog struct {
	mu      sync.Mutex
	streams map[string]*claimStream
	free    time.Time // when the next append may begin
	count   int
}

type claimStream struct {
	entries []journal.Entry
	grown   chan struct{} // closed and replaced by each append
}

func newClaimLog() *claimLog { return &claimLog{streams: map[string]*claimStream{}} }

// Log returns the seam of the log.
func (l *claimLog) Log() journal.Log { return journal.Log{Append: l.append, Read: l.read} }

func (l *claimLog) appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

func (l *claimLog) stream(name string) *claimStream {
	s := l.streams[name]
	if s == nil {
		s = &claimStream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *claimLog) append(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	wait := l.free.Sub(now)
	if wait > maxClaimLogQueue {
		l.mu.Unlock()
		return 0, journal.ErrUnavailable
	}
	l.free = l.free.Add(claimLogInterval)
	l.count++
	l.mu.Unlock()

	time.Sleep(wait + claimLogLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	off := journal.Offset(len(s.entries) + 1)
	s.entries = append(s.entries, journal.Entry{Offset: off, Time: time.Now(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	if ctx.Err() != nil {
		return 0, journal.ErrOutcomeUnknown
	}
	return off, nil
}

func (l *claimLog) read(ctx context.Context, stream string, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		s := l.stream(stream)
		begin := min(int(from)-1, len(s.entries))
		end := min(begin+limit, len(s.entries))
		page := journal.Page{Entries: s.entries[begin:end], First: 1, Next: journal.Offset(len(s.entries) + 1)}
		grown := s.grown
		l.mu.Unlock()
		if len(page.Entries) > 0 {
			return page, nil
		}
		select {
		case <-grown:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}
