package measure

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// maxClaimLogQueue is the longest time that an append may queue; the log refuses
// appends that would wait longer.
const maxClaimLogQueue = time.Second

// claimLog is an in-memory log with a fixed append latency and a limited append
// rate.
type claimLog struct {
	mu          sync.Mutex
	streams     map[string]*claimStream
	nextAppend  time.Time // earliest start of the next append
	appendCount int
}

type claimStream struct {
	entries []journal.Entry
	grown   chan struct{} // closed and replaced by each append
}

func newClaimLog() *claimLog { return &claimLog{streams: map[string]*claimStream{}} }

// Log returns the log as the journal.Log interface that claimants use.
func (l *claimLog) Log() journal.Log { return journal.Log{Append: l.append, Read: l.read} }

func (l *claimLog) appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
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
	if l.nextAppend.Before(now) {
		l.nextAppend = now
	}
	wait := l.nextAppend.Sub(now)
	if wait > maxClaimLogQueue {
		l.mu.Unlock()
		return 0, journal.ErrUnavailable
	}
	l.nextAppend = l.nextAppend.Add(claimLogInterval)
	l.appendCount++
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
