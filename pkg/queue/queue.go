package queue

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of [Config].
const (
	DefaultMaxEntries = 256
	DefaultMaxBytes   = 16 << 20
	DefaultBatchEvery = 8
	DefaultRate       = 1000 // cost units a second until completions have shown better
)

const (
	priorities    = 2
	rateWindow    = 2 * time.Second
	rateGain      = 0.3
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config bounds a queue. Zero fields take the defaults.
type Config struct {
	MaxEntries int
	MaxBytes   int
	BatchEvery int     // priority 1 gets at least one in so many services
	Rate       float64 // first estimate of the service, in cost units a second
}

// Entry is a waiting request.
type Entry struct {
	ID       uint64 // unique in the queue
	Account  string // client account
	Key      string // what it waits for, such as a model; see Take
	Weight   int    // share of the account; 0 counts as 1
	Priority int    // 0 is interactive, 1 is batch
	Cost     int    // estimated tokens
	Bytes    int    // memory that the request holds while it waits
	Deadline time.Time
	Pushed   time.Time // set by Push
}

// Queue holds waiting requests. The zero value is an empty queue with default
// bounds. It is not safe for concurrent use.
type Queue struct {
	Config Config

	classes   [priorities]class
	holdings  map[string]*holding
	entries   int
	bytes     int
	streak    int // services of priority 0 since one of priority 1
	rate      float64
	served    float64 // cost since windowAt
	windowAt  time.Time
	unlimited bool // tests switch the displacement off
	fifo      bool // tests and measures switch fairness off
	strict    bool // tests switch the rate of priority 1 off
}

// class holds the entries of one priority by start tag.
type class struct {
	items   []item
	virtual float64
	finish  map[string]float64 // last finish tag of each account
}

type item struct {
	Entry
	start float64
}

// holding is what one account has in the queue.
type holding struct {
	entries int
	bytes   int
	weight  int
}

func (q *Queue) config() Config {
	c := q.Config
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	c.MaxBytes = cmp.Or(c.MaxBytes, DefaultMaxBytes)
	c.BatchEvery = cmp.Or(c.BatchEvery, DefaultBatchEvery)
	c.Rate = cmp.Or(c.Rate, DefaultRate)
	return c
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.entries }

// Bytes returns the memory that waiting requests hold.
func (q *Queue) Bytes() int { return q.bytes }

// Push adds a request, or returns a *Refusal. The entries that it displaced are
// to be refused with ReasonDisplaced.
func (q *Queue) Push(now time.Time, e Entry) (displaced []Entry, err error) {
	e.Weight = max(e.Weight, 1)
	e.Priority = min(max(e.Priority, 0), priorities-1)
	e.Pushed = now
	c := &q.classes[e.Priority]
	start := c.startTag(e, q.fifo)
	wait := q.waitOf(e.Priority, start)
	if !e.Deadline.IsZero() && now.Add(wait).After(e.Deadline) {
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: clampRetry(wait)}
	}
	displaced, ok := q.makeRoom(e)
	if !ok {
		return nil, &Refusal{Reason: ReasonFull, RetryAfter: clampRetry(q.waitOf(priorities-1, maxTag))}
	}
	c.charge(e, start)
	c.insert(item{Entry: e, start: start})
	q.hold(e, 1)
	return displaced, nil
}

// Peek returns the entry that Pop would return.
func (q *Queue) Peek() (Entry, bool) {
	p, ok := q.next()
	if !ok {
		return Entry{}, false
	}
	return q.classes[p].items[0].Entry, true
}

// Pop takes the next entry to serve. Entries past their deadline are not
// skipped; call Expire first.
func (q *Queue) Pop() (Entry, bool) {
	return q.Take(func(Entry) bool { return true })
}

// Take takes the next entry, in the order of service, that try accepts. When try
// refuses an entry, later ones with the same Key are not tried, so nothing
// overtakes within a key and one key does not hold back another.
func (q *Queue) Take(try func(Entry) bool) (Entry, bool) {
	first, ok := q.next()
	if !ok {
		return Entry{}, false
	}
	var refused []string
	for _, p := range [priorities]int{first, 1 - first} {
		for i, it := range q.classes[p].items {
			if slices.Contains(refused, it.Key) {
				continue
			}
			if try(it.Entry) {
				q.serve(p, i)
				return it.Entry, true
			}
			refused = append(refused, it.Key)
		}
	}
	return Entry{}, false
}

// serve takes an entry out and moves virtual time on.
func (q *Queue) serve(p, i int) {
	it := q.removeAt(p, i)
	c := &q.classes[p]
	c.virtual = max(c.virtual, it.start)
	if p == 0 {
		q.streak++
	} else {
		q.streak = 0
	}
	c.forget()
}

// next returns the priority whose turn it is.
func (q *Queue) next() (int, bool) {
	urgent, batch := len(q.classes[0].items), len(q.classes[1].items)
	switch {
	case urgent == 0 && batch == 0:
		return 0, false
	case urgent == 0:
		return 1, true
	case batch > 0 && q.streak >= q.config().BatchEvery-1 && !q.strict:
		return 1, true
	}
	return 0, true
}

// Remove takes an entry out, for instance when its caller went away.
func (q *Queue) Remove(id uint64) bool {
	for p := range q.classes {
		items := q.classes[p].items
		i := slices.IndexFunc(items, func(it item) bool { return it.ID == id })
		if i >= 0 {
			q.removeAt(p, i)
			return true
		}
	}
	return false
}

func (q *Queue) removeAt(p, i int) item {
	c := &q.classes[p]
	it := c.items[i]
	c.items = slices.Delete(c.items, i, i+1)
	q.hold(it.Entry, -1)
	return it
}

// Expire takes out the entries whose deadline has come. They are to be refused
// with ReasonDeadline.
func (q *Queue) Expire(now time.Time) []Entry {
	var expired []Entry
	for p := range q.classes {
		for i := len(q.classes[p].items) - 1; i >= 0; i-- {
			deadline := q.classes[p].items[i].Deadline
			if !deadline.IsZero() && !now.Before(deadline) {
				expired = append(expired, q.removeAt(p, i).Entry)
			}
		}
	}
	return expired
}

// hold books an entry in (1) or out (-1).
func (q *Queue) hold(e Entry, sign int) {
	if q.holdings == nil {
		q.holdings = make(map[string]*holding)
	}
	h, ok := q.holdings[e.Account]
	if !ok {
		h = &holding{}
		q.holdings[e.Account] = h
	}
	h.weight = e.Weight
	h.entries += sign
	h.bytes += sign * e.Bytes
	q.entries += sign
	q.bytes += sign * e.Bytes
	if h.entries == 0 {
		delete(q.holdings, e.Account)
	}
}
