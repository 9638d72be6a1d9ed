package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxRecordBytes = 256 << 10
	maxWait        = 30 * time.Second
	pageItems      = 500
	pageBytes      = 1 << 20
)

// Fault is what goes wrong at the store.
type Fault int

// The faults.
const (
	None        Fault = iota
	Down              // calls get 503
	Busy              // calls get 429
	Silent            // calls get no answer
	LoseAnswers       // writes are done and not answered

	EndlessHeaderValue // the value of a header has no end
	EndlessHeaders     // a head has header lines without end
	EndlessInterim     // informational answers without end
	EndlessBody        // a body in chunks without end
	RepeatedPages      // each page of the newest records is the first, and says that more follow
	HugeRecord         // a read's answer holds a record that declares 4 GiB
	TinyRecords        // a read's answer is full of records without a value
	Compressed         // bodies are compressed though nobody asked
	Redirected         // calls are sent on to the same call
	EndBeforeOffset    // a read's answer ends before the offset that was asked for
)

// Store is the stand-in. It serves HTTP. Use New.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	fault   Fault
	calls   map[string]int
	changed chan struct{} // closed and replaced at each append
}

// topic is one partition with a first retained record.
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

// SetFault makes a fault last until the next Set.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Calls returns how often a call was made.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Put appends a record, as the operator and the workers do. A nil value removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, value)
}

// DropHistory drops the history of a topic; the newest record of each key stays.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
	s.wake()
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
	s.wake()
	return r.offset
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// wake ends the waits of reads. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls[r.URL.Path]++
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
		var found []record
		if from >= first {
			found = slices.Clone(t.records[min(from-first, int64(len(t.records))):])
		}
		s.mu.Unlock()
		if from < first {
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
	// The reader may be gone; then it reads again.
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
	// The reader may be gone; then it calls again.
	_ = json.NewEncoder(w).Encode(body)
}
