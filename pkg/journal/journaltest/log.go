package journaltest

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// Log is a log in memory. The zero value is an empty log that works.
type Log struct {
	Now func() time.Time // nil stands for time.Now

	mu      sync.Mutex
	streams map[string]*stream
	away    bool
	answers []Answer
	appends int
	bytes   int
}

// Answer is what happens to an append.
type Answer int

// Answers to an append.
const (
	Given        Answer = iota // the entry is on the log and the caller knows
	LostAfter                  // the entry is on the log and the answer is lost
	LostBefore                 // the entry is not on the log and the answer is lost
	LostAndDelay               // the answer is lost, and the entry gets to the log with Deliver
)

// stream is one stream of the log.
type stream struct {
	entries []journal.Entry
	next    journal.Offset
	delayed [][]byte
	changed chan struct{} // closed at the next append
}

// Client returns the log's seam.
func (l *Log) Client() journal.Log {
	return journal.Log{Append: l.append, Read: l.read}
}

// SetAway takes the log away or brings it back.
func (l *Log) SetAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
}

// Answer sets what happens to the next appends; later ones are Given.
func (l *Log) Answer(answers ...Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = answers
}

// Deliver appends the oldest delayed entry of the stream, if there is one.
func (l *Log) Deliver(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if len(s.delayed) == 0 {
		return
	}
	l.add(s, s.delayed[0])
	s.delayed = s.delayed[1:]
}

// Expire drops entries up to the offset.
func (l *Log) Expire(name string, upTo journal.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.entries) > 0 && s.entries[0].Offset <= upTo {
		s.entries = s.entries[1:]
	}
}

// Bounds returns First and Next of the stream, as in journal.Page.
func (l *Log) Bounds(name string) (first, next journal.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.first(), s.next
}

// Appends returns how many entries were appended and their bytes.
func (l *Log) Appends() (entries, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// stream returns the stream with the name.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{next: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// add appends data to the stream.
func (l *Log) add(s *stream, data []byte) journal.Offset {
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	at := s.next
	s.entries = append(s.entries, journal.Entry{Offset: at, Time: now(), Data: data})
	s.next++
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	l.bytes += len(data)
	return at
}

func (l *Log) append(_ context.Context, name string, data []byte) (journal.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return 0, errors.Wrapf(journal.ErrUnavailable, "stream %q", name)
	}
	answer := Given
	if len(l.answers) > 0 {
		answer, l.answers = l.answers[0], l.answers[1:]
	}
	s := l.stream(name)
	switch answer {
	case LostBefore:
	case LostAndDelay:
		s.delayed = append(s.delayed, data)
	default:
		if at := l.add(s, data); answer == Given {
			return at, nil
		}
	}
	return 0, errors.Wrapf(journal.ErrOutcomeUnknown, "stream %q", name)
}

func (l *Log) read(ctx context.Context, name string, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	page, changed, err := l.page(name, from, limit)
	if err != nil || len(page.Entries) > 0 || wait <= 0 {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return journal.Page{}, errors.Mark(ctx.Err(), journal.ErrUnavailable)
	case <-timer.C:
	case <-changed:
	}
	page, _, err = l.page(name, from, limit)
	return page, err
}

// page reads without waiting. It returns the channel that tells of the next
// append.
func (l *Log) page(name string, from journal.Offset, limit int) (journal.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return journal.Page{}, nil, errors.Wrapf(journal.ErrUnavailable, "stream %q", name)
	}
	s := l.stream(name)
	page := journal.Page{First: s.first(), Next: s.next}
	if from < page.First {
		return page, nil, errors.Wrapf(journal.ErrExpired, "stream %q from %d, first is %d", name, from, page.First)
	}
	if skip := int(from - page.First); skip < len(s.entries) {
		page.Entries = s.entries[skip:min(skip+limit, len(s.entries))]
	}
	return page, s.changed, nil
}

// first returns the oldest kept offset.
func (s *stream) first() journal.Offset {
	if len(s.entries) == 0 {
		return s.next
	}
	return s.entries[0].Offset
}
