package claim

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// fakeLog is a log in memory. Its exported fields inject faults; update changes them at
// any time.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]journal.Entry
	expired map[string]journal.Offset // the last expired offset of each stream
	changed chan struct{}

	Latency          time.Duration // of each append
	Unavailable      bool          // appends and reads fail
	ReadsUnavailable bool          // reads fail
	LoseReplies      bool          // appends take effect, but return ErrOutcomeUnknown
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		streams: map[string][]journal.Entry{},
		expired: map[string]journal.Offset{},
		changed: make(chan struct{}),
	}
}

func (l *fakeLog) Log() journal.Log { return journal.Log{Append: l.append, Read: l.read} }

func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) append(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
	l.mu.Lock()
	latency := l.Latency
	l.mu.Unlock()
	time.Sleep(latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Unavailable {
		return 0, journal.ErrUnavailable
	}
	off := journal.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], journal.Entry{Offset: off, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	if l.LoseReplies {
		return 0, journal.ErrOutcomeUnknown
	}
	return off, nil
}

func (l *fakeLog) read(ctx context.Context, stream string, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		page := l.page(stream, from, limit)
		unavailable, changed := l.Unavailable || l.ReadsUnavailable, l.changed
		l.mu.Unlock()
		switch {
		case unavailable:
			return journal.Page{}, journal.ErrUnavailable
		case from < page.First:
			return journal.Page{First: page.First, Next: page.Next}, journal.ErrExpired
		case len(page.Entries) > 0:
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *fakeLog) page(stream string, from journal.Offset, limit int) journal.Page {
	all := l.streams[stream]
	expired := l.expired[stream]
	page := journal.Page{First: expired + 1, Next: journal.Offset(len(all) + 1)}
	for _, e := range all[min(max(int(from)-1, 0), len(all)):] {
		if e.Offset > expired && len(page.Entries) < limit {
			page.Entries = append(page.Entries, e)
		}
	}
	return page
}
