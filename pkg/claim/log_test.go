package claim

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// fakeLog keeps streams in memory. Its fault fields may be changed at any time.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]journal.Entry
	dropped map[string]journal.Offset // entries up to it have expired
	grown   chan struct{}

	Latency    time.Duration // of each append
	Away       bool          // neither appends nor reads work
	ReadsAway  bool          // only appends work
	LoseAnswer bool          // appends take effect, their answers are lost
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		streams: map[string][]journal.Entry{},
		dropped: map[string]journal.Offset{},
		grown:   make(chan struct{}),
	}
}

func (l *fakeLog) Log() journal.Log { return journal.Log{Append: l.append, Read: l.read} }

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *fakeLog) append(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
	l.mu.Lock()
	latency := l.Latency
	l.mu.Unlock()
	time.Sleep(latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Away {
		return 0, journal.ErrUnavailable
	}
	off := journal.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], journal.Entry{Offset: off, Time: time.Now(), Data: data})
	close(l.grown)
	l.grown = make(chan struct{})
	if l.LoseAnswer {
		return 0, journal.ErrOutcomeUnknown
	}
	return off, nil
}

func (l *fakeLog) read(ctx context.Context, stream string, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		page := l.page(stream, from, limit)
		away, grown := l.Away || l.ReadsAway, l.grown
		l.mu.Unlock()
		switch {
		case away:
			return journal.Page{}, journal.ErrUnavailable
		case from < page.First:
			return journal.Page{First: page.First, Next: page.Next}, journal.ErrExpired
		case len(page.Entries) > 0:
			return page, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *fakeLog) page(stream string, from journal.Offset, limit int) journal.Page {
	all := l.streams[stream]
	dropped := l.dropped[stream]
	page := journal.Page{First: dropped + 1, Next: journal.Offset(len(all) + 1)}
	for _, e := range all[min(max(int(from)-1, 0), len(all)):] {
		if e.Offset > dropped && len(page.Entries) < limit {
			page.Entries = append(page.Entries, e)
		}
	}
	return page
}
