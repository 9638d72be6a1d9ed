package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxRecordBytes = 256 << 10 // an appended record with its key
	maxWait        = 30 * time.Second
	pageItems      = 500
	pageBytes      = 1 << 20 // values on a page of the newest records, apart from the last one
)

// Fault is a way in which the store fails.
type Fault int

// The faults.
const (
	None        Fault = iota
	Down              // calls are answered with status 503
	Busy              // calls are answered with status 429
	Silent            // calls are never answered
	LoseAnswers       // appends take effect, but their connection is closed without an answer

	EndlessHeaderValue // an answer has a header value that never ends
	EndlessHeaders     // an answer has header lines that never end
	EndlessInterim     // informational (1xx) answers never end
	EndlessBody        // an answer has a chunked body that never ends
	RepeatedPages      // every page of the newest records is the first one and claims that more follow
	HugeRecord         // the answer to a read holds a record with a declared size of 4 GiB
	TinyRecords        // the answer to a read holds very many records without a value
	Compressed         // bodies are compressed, although the caller didn't ask for it
	Redirected         // calls are redirected to their own URL
	EndBeforeOffset    // the answer to a read has an end offset before the requested one
)

// Store is the stand-in for the metadata store, served over HTTP. Use New to create
// one.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	fault   Fault
	calls   map[string]int
	changed chan struct{} // closed and replaced at each append
	era     int64         // named in all answers; 0 for a store that knows no eras
}

// topic is a topic with one partition. It retains the records from offset first on,
// and the newest record of each key whatever its offset.
type topic struct {
	first   int64
	records []record
	newest  map[string]record
}

type record struct {
	offset int64
	key    string
	value  []byte
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string]*topic{}, calls: map[string]int{}, changed: make(chan struct{})}
}

// SetFault sets the fault, which lasts until the next call of Set.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeReaders()
}

// Calls returns how many times the URL path was called.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Put appends a record on behalf of an operator or a worker. A nil value removes the
// key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, value)
}

// DropHistory drops the retained records of a topic, apart from the newest record of each
// key.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
	s.wakeReaders()
}

// Copy is what a store held at some time.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{topics: map[string]*topic{}}
	for name, t := range s.topics {
		c.topics[name] = t.clone()
	}
	return c
}

func (t *topic) clone() *topic {
	return &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
}

// Restore makes the store hold what a copy holds, and begins an era. Offsets after those of
// the copy are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.topics = map[string]*topic{}
	for name, t := range c.topics {
		s.topics[name] = t.clone()
	}
	s.wakeReaders()
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name, key string, value []byte) int64 {
	t := s.topic(name)
	r := record{offset: t.end(), key: key, value: value}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	s.wakeReaders()
	return r.offset
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// wakeReaders wakes the reads that wait for records. The caller holds the lock.
func (s *Store) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls[r.URL.Path]++
	s.nameEra(w)
	s.mu.Unlock()
	switch {
	case fault == Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == Busy:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case fault == Silent:
		<-r.Context().Done()
		return
	case fault >= EndlessHeaderValue && serveFault(w, r, fault):
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r, fault)
	case "GET /log-read":
		s.serveRead(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// nameEra names the era in an answer. The caller holds the lock.
func (s *Store) nameEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, fault Fault) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.nameEra(w)
	offset := s.topic(name).end()
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size > maxRecordBytes || size == 0 {
			s.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+size]
		key := 1 + int(content[0])
		s.append(name, string(content[1:key]), slices.Clone(content[key:]))
		body = body[4+size:]
	}
	end := s.topic(name).end()
	s.mu.Unlock()
	if fault == LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": offset, "end": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(query.Get("wait-ms"))
	if err != nil {
		ms = 0
	}
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		first, end := t.first, t.end()
		s.nameEra(w) // the store may have been restored while the call waited
		var found []record
		if from >= first {
			found = slices.Clone(t.records[min(from-first, int64(len(t.records))):])
		}
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"first": first})
			return
		}
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(found) > 0 || expired {
			writeRecords(w, end, first, found)
			return
		}
	}
}

func writeRecords(w io.Writer, end, first int64, records []record) {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	// The error is ignored: a caller that has disconnected reads again.
	_, _ = w.Write(data)
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	s.nameEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after || s.fault == RepeatedPages {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, s.fault == RepeatedPages
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		newest := t.newest[key]
		size += len(newest.value)
		items = append(items, item{key, newest.value, newest.offset})
	}
	end := t.end()
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "has-more": more, "end": end})
}

func writeJSON(w io.Writer, body any) {
	// The error is ignored: a caller that has disconnected calls again.
	_ = json.NewEncoder(w).Encode(body)
}
