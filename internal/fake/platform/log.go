package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake"
	wire "github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

const (
	maxEntryBytes = 1 << 20
	maxPageBytes  = 4 << 20
	maxLimit      = 1000
	maxWait       = time.Minute
)

// stream holds the entries that are kept. The first one has the offset first.
type stream struct {
	first   journal.Offset
	entries []journal.Entry
}

func (s *stream) next() journal.Offset { return s.first + journal.Offset(len(s.entries)) }

// expire drops the entries that the retention no longer keeps.
func (s *stream) expire(now time.Time, maxAge time.Duration, maxEntries int) {
	drop := 0
	if maxEntries > 0 {
		drop = max(0, len(s.entries)-maxEntries)
	}
	for maxAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].Time) > maxAge {
		drop++
	}
	s.first += journal.Offset(drop)
	s.entries = s.entries[drop:]
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !p.appends.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset := p.add(r.PathValue("stream"), data)
	if p.takeLostAnswer() {
		fake.AbortRequest()
	}
	fake.WriteJSON(w, http.StatusOK, wire.AppendAnswer{Offset: offset})
}

// add appends an entry and wakes the readers that wait.
func (p *Platform) add(name string, data []byte) journal.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	offset := s.next()
	s.entries = append(s.entries, journal.Entry{Offset: offset, Time: time.Now(), Data: data})
	p.expire(s)
	p.wake()
	return offset
}

func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{first: 1}
		p.streams[name] = s
	}
	return s
}

// expire applies the configured retention and the squeeze of it.
func (p *Platform) expire(s *stream) {
	now := time.Now()
	s.expire(now, p.config.MaxAge, p.config.MaxEntries)
	s.expire(now, 0, p.faults.KeepEntries)
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.FormValue("From"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("Limit"))
	wait, err3 := strconv.ParseInt(r.FormValue("WaitMilliseconds"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 || wait < 0 {
		http.Error(w, "From, Limit and WaitMilliseconds must be numbers", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		page, expired, changed := p.page(r.PathValue("stream"), journal.Offset(max(from, 1)), min(limit, maxLimit))
		if expired {
			fake.WriteJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Entries) > 0 || wait == 0 {
			fake.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
			if faults, _ := p.current(); faults.Outage != None {
				fake.AbortRequest()
			}
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) page(name string, from journal.Offset, limit int) (page wire.PageAnswer, expired bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	p.expire(s)
	page = wire.PageAnswer{First: s.first, Next: s.next()}
	if from < s.first {
		return page, true, nil
	}
	bytes := 0
	for offset := from; offset < s.next() && len(page.Entries) < limit && bytes < maxPageBytes; offset++ {
		entry := s.entries[offset-s.first]
		bytes += len(entry.Data)
		page.Entries = append(page.Entries, entry)
	}
	return page, false, p.changed
}
