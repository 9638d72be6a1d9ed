package journaltest

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// Log is an in-memory log. The zero value is an empty, available log.
type Log struct {
	Now func() time.Time // nil means time.Now

	mu          sync.Mutex
	streams     map[string]*stream
	unavailable bool
	outcomes    []Outcome
	appends     int
	bytes       int
}

// Outcome is the result of an append to the log.
type Outcome int

// Outcomes of an append.
const (
	Acknowledged Outcome = iota // the entry is appended, and the caller gets its offset
	ResponseLost                // the entry is appended, but the caller gets ErrOutcomeUnknown
	RequestLost                 // the entry is not appended, and the caller gets ErrOutcomeUnknown
	Delayed                     // the caller gets ErrOutcomeUnknown, and Deliver appends the entry later
)

// stream is the state of one stream of the log.
type stream struct {
	entries []journal.Entry
	next    journal.Offset
	delayed [][]byte
	changed chan struct{} // closed at the next append
}

// Client returns a journal.Log that reads and writes the log.
func (l *Log) Client() journal.Log {
	return journal.Log{Append: l.append, Read: l.read}
}

// SetUnavailable sets whether calls fail with journal.ErrUnavailable.
func (l *Log) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// SetOutcomes sets the outcomes of the next appends. Appends after these are
// Acknowledged.
func (l *Log) SetOutcomes(outcomes ...Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = outcomes
}

// Deliver appends the oldest entry of the stream with outcome Delayed, if there
// is one.
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

// Expire removes the stream's entries up to and including the offset.
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

// Appends returns the number of entries appended and their total size in bytes.
func (l *Log) Appends() (entries, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// stream returns the stream with the name, and creates it if necessary.
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
	if l.unavailable {
		return 0, errors.Wrapf(journal.ErrUnavailable, "stream %q", name)
	}
	outcome := Acknowledged
	if len(l.outcomes) > 0 {
		outcome, l.outcomes = l.outcomes[0], l.outcomes[1:]
	}
	s := l.stream(name)
	switch outcome {
	case RequestLost:
	case Delayed:
		s.delayed = append(s.delayed, data)
	default:
		if at := l.add(s, data); outcome == Acknowledged {
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

// page reads without waiting. The channel it returns is closed at the stream's
// next append.
func (l *Log) page(name string, from journal.Offset, limit int) (journal.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
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

// first returns the oldest offset that has not expired, or next if there is none.
func (s *stream) first() journal.Offset {
	if len(s.entries) == 0 {
		return s.next
	}
	return s.entries[0].Offset
}
