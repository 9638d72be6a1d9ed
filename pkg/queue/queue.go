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
	DefaultRate       = 1000 // in cost units per second
)

const (
	priorities    = 2
	rateWindow    = 2 * time.Second
	rateSmoothing = 0.3
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config holds the limits of a queue. Fields that are zero take the defaults.
type Config struct {
	MaxEntries int
	MaxBytes   int
	BatchEvery int     // at least one of this many served requests has priority 1, if any wait
	Rate       float64 // initial estimate of the service rate, in cost units per second
}

// Entry is a waiting request.
type Entry struct {
	ID       uint64 // unique in the queue
	Account  string // client account
	Key      string // what the request waits for, for example a model; see Take
	Weight   int    // of the account, for fair queueing; 0 means 1
	Priority int    // 0 is interactive, 1 is batch
	Cost     int    // estimated tokens
	Bytes    int    // memory that the request uses while it waits
	Deadline time.Time
	Pushed   time.Time // time of the call of Push, which sets it
}

// Queue is a queue of requests. The zero value is an empty queue with the default limits.
// It is not safe for concurrent use.
type Queue struct {
	Config Config

	classes          [priorities]class
	usage            map[string]*accountUsage
	entries          int
	bytes            int
	servedSinceBatch int // priority 0 requests served since the last one of priority 1
	rate             float64
	servedCost       float64 // since windowStart
	windowStart      time.Time
	noDisplacement   bool // in tests: never displace
	fifo             bool // in tests: serve each priority in order of arrival
	strictPriority   bool // in tests: serve priority 1 only if no priority 0 request waits
}

// class holds the entries of one priority, ordered by start tag.
type class struct {
	items       []queuedEntry
	virtualTime float64
	finishTags  map[string]float64 // last finish tag of each account
}

type queuedEntry struct {
	Entry
	startTag float64
}

// accountUsage is the part of the queue that one account uses.
type accountUsage struct {
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

// Bytes returns the memory that the waiting requests use.
func (q *Queue) Bytes() int { return q.bytes }

// Push adds a request, or returns a *Refusal. The caller must refuse the displaced
// entries with ReasonDisplaced.
func (q *Queue) Push(now time.Time, e Entry) (displaced []Entry, err error) {
	e.Weight = max(e.Weight, 1)
	e.Priority = min(max(e.Priority, 0), priorities-1)
	e.Pushed = now
	c := &q.classes[e.Priority]
	start := c.startTag(e, q.fifo)
	wait := q.estimateWait(e.Priority, start)
	if !e.Deadline.IsZero() && now.Add(wait).After(e.Deadline) {
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: clampRetryAfter(wait)}
	}
	displaced, ok := q.displaceFor(e)
	if !ok {
		return nil, &Refusal{Reason: ReasonFull, RetryAfter: clampRetryAfter(q.estimateWait(priorities-1, maxTag))}
	}
	c.setFinishTag(e, start)
	c.insert(queuedEntry{Entry: e, startTag: start})
	q.addUsage(e, 1)
	return displaced, nil
}

// Peek returns the entry that Pop would return.
func (q *Queue) Peek() (Entry, bool) {
	p, ok := q.nextPriority()
	if !ok {
		return Entry{}, false
	}
	return q.classes[p].items[0].Entry, true
}

// Pop removes and returns the next entry to serve. It does not skip entries past their
// deadline, so callers should call Expire first.
func (q *Queue) Pop() (Entry, bool) {
	return q.Take(func(Entry) bool { return true })
}

// Take removes and returns the first entry, in the order of service, for which try
// returns true. If try returns false for an entry, later entries with the same Key are
// skipped. So entries with one key are served in order, and do not block those with
// another.
func (q *Queue) Take(try func(Entry) bool) (Entry, bool) {
	first, ok := q.nextPriority()
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

// serve removes an entry and advances the virtual time.
func (q *Queue) serve(p, i int) {
	it := q.removeAt(p, i)
	c := &q.classes[p]
	c.virtualTime = max(c.virtualTime, it.startTag)
	if p == 0 {
		q.servedSinceBatch++
	} else {
		q.servedSinceBatch = 0
	}
	c.deleteOldFinishTags()
}

// nextPriority returns the priority to serve next, or false if the queue is empty.
func (q *Queue) nextPriority() (int, bool) {
	interactive, batch := len(q.classes[0].items), len(q.classes[1].items)
	switch {
	case interactive == 0 && batch == 0:
		return 0, false
	case interactive == 0:
		return 1, true
	case batch > 0 && q.servedSinceBatch >= q.config().BatchEvery-1 && !q.strictPriority:
		return 1, true
	}
	return 0, true
}

// Remove removes an entry, for example because its caller has disconnected. It reports
// whether the queue had it.
func (q *Queue) Remove(id uint64) bool {
	for p := range q.classes {
		items := q.classes[p].items
		i := slices.IndexFunc(items, func(it queuedEntry) bool { return it.ID == id })
		if i >= 0 {
			q.removeAt(p, i)
			return true
		}
	}
	return false
}

func (q *Queue) removeAt(p, i int) queuedEntry {
	c := &q.classes[p]
	it := c.items[i]
	c.items = slices.Delete(c.items, i, i+1)
	q.addUsage(it.Entry, -1)
	return it
}

// Expire removes and returns the entries whose deadline has passed. The caller must
// refuse them with ReasonDeadline.
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

// addUsage adds an entry to its account's usage if sign is 1, and subtracts it if sign
// is -1.
func (q *Queue) addUsage(e Entry, sign int) {
	if q.usage == nil {
		q.usage = make(map[string]*accountUsage)
	}
	usage, ok := q.usage[e.Account]
	if !ok {
		usage = &accountUsage{}
		q.usage[e.Account] = usage
	}
	usage.weight = e.Weight
	usage.entries += sign
	usage.bytes += sign * e.Bytes
	q.entries += sign
	q.bytes += sign * e.Bytes
	if usage.entries == 0 {
		delete(q.usage, e.Account)
	}
}
