package member

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type=Status

// Status is what an instance believes of another one.
type Status int

// Statuses, where a later one wins within an incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// Item is a small value that its owner publishes.
type Item struct {
	Key     string
	Version uint64 // grows with each change by the owner
	Value   []byte
}

// Row is what is known of one member.
type Row struct {
	Name        string
	DataCentre  string
	Address     string // IP:port; empty in a row that carries only items
	Boot        uint64 // grows with each restart, such as the fencing number of joining
	Incarnation uint32 // grows when the member refutes a suspicion
	Status      Status
	Items       []Item // sorted by key
}

// Item returns the member's item of the key.
func (r Row) Item(key string) (Item, bool) {
	i, ok := slices.BinarySearchFunc(r.Items, key, compareKey)
	if !ok {
		return Item{}, false
	}
	return r.Items[i], true
}

func compareKey(i Item, key string) int { return cmp.Compare(i.Key, key) }

// compareStatus orders two views of a member by how new they are.
func (r Row) compareStatus(other Row) int {
	return cmp.Or(
		cmp.Compare(r.Boot, other.Boot),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Status, other.Status),
	)
}

// withItem returns the row with the item, unless it holds a newer one.
func (r Row) withItem(item Item) (Row, bool) {
	i, ok := slices.BinarySearchFunc(r.Items, item.Key, compareKey)
	if ok && r.Items[i].Version >= item.Version {
		return r, false
	}
	items := slices.Clone(r.Items)
	if ok {
		items[i] = item
	} else {
		items = slices.Insert(items, i, item)
	}
	r.Items = items
	return r, true
}

// record is a row with this instance's own bookkeeping.
type record struct {
	row    Row
	sum    uint32
	bucket int
	since  time.Time      // when the status was adopted
	heard  time.Time      // last message straight from the member
	pinged time.Time      // first ping that it has not answered; zero when none
	status int            // times that the status still travels on
	items  map[string]int // times that each item still travels on
}

// spreading reports whether something of the row still travels on.
func (r *record) spreading() bool { return r.status > 0 || len(r.items) > 0 }

// update stores the row and its checksum.
func (r *record) update(row Row) {
	r.row = row
	h := xxhash.New()
	fmt.Fprintf(h, "%s/%d/%d/%d", row.Name, row.Boot, row.Incarnation, row.Status)
	for _, i := range row.Items {
		fmt.Fprintf(h, "/%s=%d", i.Key, i.Version)
	}
	r.sum = uint32(h.Sum64())
}

// travel marks what is new for passing on.
func (r *record) travel(times int, status bool, keys ...string) {
	if status {
		r.status = times
	}
	if r.items == nil {
		r.items = make(map[string]int)
	}
	for _, k := range keys {
		r.items[k] = times
	}
}

// heardAgain lowers the count of what another member already passes on.
func (r *record) heardAgain(row Row) {
	if row.Address != "" && r.status > 0 {
		r.status--
	}
	for _, i := range row.Items {
		r.sent(i.Key)
	}
}

func (r *record) sent(key string) {
	left, ok := r.items[key]
	if !ok {
		return
	}
	if left <= 1 {
		delete(r.items, key)
		return
	}
	r.items[key] = left - 1
}
