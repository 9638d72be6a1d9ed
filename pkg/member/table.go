package member

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets a table up. Zero durations and counts take the defaults.
type Config struct {
	Self         Row // name, data centre, address and boot of this instance
	Interval     time.Duration
	SuspectAfter time.Duration // silence after a ping that makes a member suspect
	DeadAfter    time.Duration // time that a suspect has to refute
	ForgetAfter  time.Duration // time that a dead member is remembered
	Spread       int           // times that each member passes a change on
	MaxBytes     int           // bytes of changes in one message
	Rand         func(n int) int
}

const (
	defaultInterval  = time.Second
	defaultSpread    = 3
	defaultMaxBytes  = 1200
	suspectIntervals = 2
	deadIntervals    = 3
	forgetIntervals  = 600
	bucketCount      = 16
	bucketsAnswered  = 2
	deadPingEvery    = 10
	maxContacts      = 3 // for each other data centre
)

func (c Config) withDefaults() Config {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.SuspectAfter == 0 {
		c.SuspectAfter = suspectIntervals * c.Interval
	}
	if c.DeadAfter == 0 {
		c.DeadAfter = deadIntervals * c.Interval
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = forgetIntervals * c.Interval
	}
	if c.Spread == 0 {
		c.Spread = defaultSpread
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.Rand == nil {
		c.Rand = func(int) int { return 0 }
	}
	return c
}

// Table is one instance's view of the others. It is not safe for concurrent
// use.
type Table struct {
	config   Config
	self     *record
	records  map[string]*record // members of the same data centre, with this one
	order    []string           // sorted names of the records
	contacts map[string]*record // a few members of each other data centre
	version  uint64             // newest version of an own item
	ticks    int
	lastTick time.Time
	replaced bool
}

// New returns a table that knows only its own instance.
func New(c Config) *Table {
	t := &Table{
		config:   c.withDefaults(),
		records:  make(map[string]*record),
		contacts: make(map[string]*record),
	}
	t.self = &record{}
	t.self.update(c.Self)
	t.self.travel(t.config.Spread, true)
	t.insert(c.Self.Name, t.self)
	return t
}

// Add tells the table of an instance, such as one that joined on the log. It
// changes nothing when the table knows the same run or a newer one. Since the
// others learn it the same way, it does not travel.
func (t *Table) Add(now time.Time, row Row) {
	row.Items = nil
	if row.DataCentre != t.self.row.DataCentre {
		t.addContact(now, row)
		return
	}
	old, ok := t.records[row.Name]
	if ok && old.row.Boot >= row.Boot {
		return
	}
	t.mergeRow(now, row)
	t.records[row.Name].status = 0
}

// Remove forgets an instance, such as one that left on the log.
func (t *Table) Remove(name string) {
	if name != t.self.row.Name {
		t.delete(name)
		delete(t.contacts, name)
	}
}

// Leave makes this instance say that it ends.
func (t *Table) Leave(now time.Time) {
	t.setStatus(now, t.self, Left)
}

// Replaced reports whether a newer run of this instance's name was heard of.
func (t *Table) Replaced() bool { return t.replaced }

// SetItem publishes a value of this instance. A value that did not change does
// not travel.
func (t *Table) SetItem(key string, value []byte) {
	if old, ok := t.self.row.Item(key); ok && bytes.Equal(old.Value, value) {
		return
	}
	t.version++
	row, _ := t.self.row.withItem(Item{key, t.version, bytes.Clone(value)})
	t.self.update(row)
	t.self.travel(t.config.Spread, false, key)
}

// Alive returns the members of the data centre that are not known to be dead
// or to have left, this instance among them, sorted by name.
func (t *Table) Alive() []Row {
	var rows []Row
	for _, name := range t.order {
		if r := t.records[name]; r.row.Status <= Suspect {
			rows = append(rows, r.row)
		}
	}
	return rows
}

// Rows returns all members of the data centre that are remembered.
func (t *Table) Rows() []Row {
	var rows []Row
	for _, name := range t.order {
		rows = append(rows, t.records[name].row)
	}
	return rows
}

// Contacts returns the members of other data centres that were heard lately,
// sorted by name.
func (t *Table) Contacts(now time.Time) []Row {
	var rows []Row
	for _, name := range slices.Sorted(maps.Keys(t.contacts)) {
		if r := t.contacts[name]; now.Sub(r.heard) < t.contactSilence() {
			rows = append(rows, r.row)
		}
	}
	return rows
}

func (t *Table) insert(name string, r *record) {
	r.bucket = bucketOf(name)
	t.records[name] = r
	i, _ := slices.BinarySearch(t.order, name)
	t.order = slices.Insert(t.order, i, name)
}

func (t *Table) delete(name string) {
	i, ok := slices.BinarySearch(t.order, name)
	if !ok {
		return
	}
	delete(t.records, name)
	t.order = slices.Delete(t.order, i, i+1)
}

// bucketOf spreads members over the checksums of a message.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func (t *Table) sums() []uint32 {
	sums := make([]uint32, bucketCount)
	for _, r := range t.records {
		sums[r.bucket] ^= r.sum
	}
	return sums
}

func (t *Table) setStatus(now time.Time, r *record, s Status) {
	row := r.row
	row.Status = s
	r.since = now
	r.update(row)
	r.travel(t.config.Spread, true)
}

// others returns the sorted names of the other members with a status up to
// the given one.
func (t *Table) others(worst Status) []string {
	var names []string
	for _, name := range t.order {
		if r := t.records[name]; r != t.self && r.row.Status <= worst {
			names = append(names, name)
		}
	}
	return names
}
