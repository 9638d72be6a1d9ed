package member

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config configures a Table. Zero durations, counts and functions take the defaults.
type Config struct {
	Self         Row             // name, data centre, address and boot of this instance
	Interval     time.Duration   // time between two calls of Tick
	SuspectAfter time.Duration   // time without an answer to a ping before a member becomes Suspect
	DeadAfter    time.Duration   // time in which a suspect can refute the suspicion
	ForgetAfter  time.Duration   // time before a member that is Dead or Left is removed
	Retransmits  int             // number of times that each member sends a change
	MaxBytes     int             // size at which a message takes no further changes
	Rand         func(n int) int // returns a random number in [0,n); by default 0
}

const (
	defaultInterval    = time.Second
	defaultRetransmits = 3
	defaultMaxBytes    = 1200
	suspectIntervals   = 2   // default of SuspectAfter
	deadIntervals      = 3   // default of DeadAfter
	forgetIntervals    = 600 // default of ForgetAfter
	bucketCount        = 16  // checksums in a message
	maxAnswerBuckets   = 2   // differing buckets in one Ack
	deadPingTicks      = 10  // ticks between two pings of a dead member
	maxContacts        = 3   // for each other data centre
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
	if c.Retransmits == 0 {
		c.Retransmits = defaultRetransmits
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.Rand == nil {
		c.Rand = func(int) int { return 0 }
	}
	return c
}

// Table is an instance's view of the members. It is not safe for concurrent use.
type Table struct {
	config      Config
	self        *record
	records     map[string]*record // members of the same data centre by name, including this one
	sortedNames []string           // names of the records
	contacts    map[string]*record // a few members of each other data centre by name
	itemVersion uint64             // newest version among this instance's items
	ticks       int
	lastTick    time.Time
	replaced    bool
}

// New returns a Table that knows only its own instance.
func New(c Config) *Table {
	t := &Table{
		config:   c.withDefaults(),
		records:  make(map[string]*record),
		contacts: make(map[string]*record),
	}
	t.self = &record{}
	t.self.setRow(c.Self)
	t.self.scheduleSends(t.config.Retransmits, true)
	t.insert(c.Self.Name, t.self)
	return t
}

// Add adds an instance, for example one that joined on the log. It changes nothing if
// the table has the same or a newer run of the instance. The change is not sent to
// other members, because they learn of it in the same way.
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
	t.records[row.Name].statusSends = 0
}

// Remove removes an instance, for example one that left on the log.
func (t *Table) Remove(name string) {
	if name != t.self.row.Name {
		t.delete(name)
		delete(t.contacts, name)
	}
}

// Leave sets the status of this instance to Left, which the next messages send.
func (t *Table) Leave(now time.Time) {
	t.setStatus(now, t.self, Left)
}

// Replaced reports whether a row of a newer run with this instance's name was
// received.
func (t *Table) Replaced() bool { return t.replaced }

// SetItem publishes a value of this instance. A value that did not change is not sent
// again.
func (t *Table) SetItem(key string, value []byte) {
	if old, ok := t.self.row.Item(key); ok && bytes.Equal(old.Value, value) {
		return
	}
	t.itemVersion++
	row, _ := t.self.row.withItem(Item{key, t.itemVersion, bytes.Clone(value)})
	t.self.setRow(row)
	t.self.scheduleSends(t.config.Retransmits, false, key)
}

// Alive returns the members of the data centre that are Alive or Suspect, including
// this instance, sorted by name.
func (t *Table) Alive() []Row {
	var rows []Row
	for _, name := range t.sortedNames {
		if r := t.records[name]; r.row.Status <= Suspect {
			rows = append(rows, r.row)
		}
	}
	return rows
}

// Rows returns all members of the data centre that the table has, whatever their
// status, sorted by name.
func (t *Table) Rows() []Row {
	var rows []Row
	for _, name := range t.sortedNames {
		rows = append(rows, t.records[name].row)
	}
	return rows
}

// Contacts returns the members of other data centres that have sent a message in the
// last contactTimeout, sorted by name.
func (t *Table) Contacts(now time.Time) []Row {
	var rows []Row
	for _, name := range slices.Sorted(maps.Keys(t.contacts)) {
		if r := t.contacts[name]; now.Sub(r.lastReceived) < t.contactTimeout() {
			rows = append(rows, r.row)
		}
	}
	return rows
}

func (t *Table) insert(name string, r *record) {
	r.bucket = bucketOf(name)
	t.records[name] = r
	i, _ := slices.BinarySearch(t.sortedNames, name)
	t.sortedNames = slices.Insert(t.sortedNames, i, name)
}

func (t *Table) delete(name string) {
	i, ok := slices.BinarySearch(t.sortedNames, name)
	if !ok {
		return
	}
	delete(t.records, name)
	t.sortedNames = slices.Delete(t.sortedNames, i, i+1)
}

// bucketOf returns the bucket of a member. Each bucket has one checksum in a message.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// bucketChecksums returns the checksum of each bucket, the XOR of the checksums of
// its records.
func (t *Table) bucketChecksums() []uint32 {
	checksums := make([]uint32, bucketCount)
	for _, r := range t.records {
		checksums[r.bucket] ^= r.checksum
	}
	return checksums
}

func (t *Table) setStatus(now time.Time, r *record, status Status) {
	row := r.row
	row.Status = status
	r.statusSince = now
	r.setRow(row)
	r.scheduleSends(t.config.Retransmits, true)
}

// otherNames returns the sorted names of the other members whose status is at most
// maxStatus.
func (t *Table) otherNames(maxStatus Status) []string {
	var names []string
	for _, name := range t.sortedNames {
		if r := t.records[name]; r != t.self && r.row.Status <= maxStatus {
			names = append(names, name)
		}
	}
	return names
}
