package member

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type=Status

// Status is the state of a member, as seen by another one.
type Status int

// The statuses of a member. Within an incarnation, a later one overrides an earlier
// one.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// Item is a small value that a member publishes under a key.
type Item struct {
	Key     string
	Version uint64 // grows with each change by its owner
	Value   []byte
}

// Row is the known state of one member.
type Row struct {
	Name        string
	DataCentre  string
	Address     string // IP:port; empty in a row that carries only items
	Boot        uint64 // grows with each restart, for example the fencing number from joining
	Incarnation uint32 // grows when the member refutes a suspicion
	Status      Status
	Items       []Item // sorted by key
}

// Item returns the member's item with the key, and whether there is one.
func (r Row) Item(key string) (Item, bool) {
	i, ok := slices.BinarySearchFunc(r.Items, key, compareKey)
	if !ok {
		return Item{}, false
	}
	return r.Items[i], true
}

func compareKey(i Item, key string) int { return cmp.Compare(i.Key, key) }

// compareStatus compares how new two rows of the same member are.
func (r Row) compareStatus(other Row) int {
	return cmp.Or(
		cmp.Compare(r.Boot, other.Boot),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Status, other.Status),
	)
}

// withItem returns the row with the item added, and whether it changed. A row that
// has the item in the same or a newer version stays as it is.
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

// record is a row with this instance's local state about the member.
type record struct {
	row             Row
	checksum        uint32
	bucket          int
	statusSince     time.Time      // when the status was adopted, or its timer restarted
	lastReceived    time.Time      // time of the last message sent by the member itself
	unansweredSince time.Time      // time of the first unanswered ping; zero if there is none
	statusSends     int            // number of times that the status is still to be sent
	itemSends       map[string]int // number of times that each item is still to be sent, by key
}

// hasPending reports whether the status or an item is still to be sent.
func (r *record) hasPending() bool { return r.statusSends > 0 || len(r.itemSends) > 0 }

// setRow sets the row and its checksum.
func (r *record) setRow(row Row) {
	r.row = row
	h := xxhash.New()
	fmt.Fprintf(h, "%s/%d/%d/%d", row.Name, row.Boot, row.Incarnation, row.Status)
	for _, i := range row.Items {
		fmt.Fprintf(h, "/%s=%d", i.Key, i.Version)
	}
	r.checksum = uint32(h.Sum64())
}

// scheduleSends sets how often the items with the given keys, and the status if it
// changed, are to be sent.
func (r *record) scheduleSends(sends int, statusChanged bool, keys ...string) {
	if statusChanged {
		r.statusSends = sends
	}
	if r.itemSends == nil {
		r.itemSends = make(map[string]int)
	}
	for _, k := range keys {
		r.itemSends[k] = sends
	}
}

// countReceived counts what another member sent as if it had been sent from here,
// since that member spreads the same change.
func (r *record) countReceived(row Row) {
	if row.Address != "" && r.statusSends > 0 {
		r.statusSends--
	}
	for _, i := range row.Items {
		r.countItemSend(i.Key)
	}
}

// countItemSend counts one sending of an item.
func (r *record) countItemSend(key string) {
	sendsLeft, ok := r.itemSends[key]
	if !ok {
		return
	}
	if sendsLeft <= 1 {
		delete(r.itemSends, key)
		return
	}
	r.itemSends[key] = sendsLeft - 1
}
