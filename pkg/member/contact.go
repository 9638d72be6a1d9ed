package member

import (
	"maps"
	"slices"
	"time"
)

// contactTimeoutIntervals is the number of intervals without a message after which a
// contact in another data centre no longer counts as alive.
const contactTimeoutIntervals = 15

func (t *Table) contactTimeout() time.Duration { return contactTimeoutIntervals * t.config.Interval }

// addContact adds or updates a contact, which is a member of another data centre. If
// its data centre has maxContacts contacts already, it replaces a silent one, if any.
func (t *Table) addContact(now time.Time, row Row) {
	if row.Status >= Dead || row.Address == "" {
		return
	}
	row = withoutItems(row)
	if old, ok := t.contacts[row.Name]; ok {
		if old.row.Boot <= row.Boot {
			old.setRow(row)
		}
		return
	}
	known, silent := t.contactsIn(now, row.DataCentre)
	if len(known) >= maxContacts {
		if len(silent) == 0 {
			return
		}
		delete(t.contacts, silent[0])
	}
	r := &record{statusSince: now}
	r.setRow(row)
	t.contacts[row.Name] = r
}

// contactsIn returns the names of the contacts in a data centre, and the names of the
// silent ones. A contact is silent if it was added at least contactTimeout ago and has
// sent no message for that long.
func (t *Table) contactsIn(now time.Time, dataCentre string) (names, silent []string) {
	for _, name := range slices.Sorted(maps.Keys(t.contacts)) {
		r := t.contacts[name]
		if r.row.DataCentre != dataCentre {
			continue
		}
		names = append(names, name)
		if now.Sub(r.lastReceived) >= t.contactTimeout() && now.Sub(r.statusSince) >= t.contactTimeout() {
			silent = append(silent, name)
		}
	}
	return names, silent
}

// pingContact returns a ping for one contact. Successive ticks ping the contacts in
// turn.
func (t *Table) pingContact(now time.Time) (Message, bool) {
	names := slices.Sorted(maps.Keys(t.contacts))
	if len(names) == 0 {
		return Message{}, false
	}
	r := t.contacts[names[t.ticks%len(names)]]
	return t.message(Ping, r), true
}

// introductionRows returns the rows that are sent to other data centres: this
// instance and a random other one that is alive.
func (t *Table) introductionRows() []Row {
	rows := []Row{withoutItems(t.self.row)}
	names := t.otherNames(Alive)
	if len(names) > 0 {
		rows = append(rows, withoutItems(t.records[names[t.config.Rand(len(names))]].row))
	}
	return rows
}
