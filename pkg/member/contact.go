package member

import (
	"maps"
	"slices"
	"time"
)

// contactIntervals is the silence after which a contact in another data centre
// is no longer counted as alive.
const contactIntervals = 15

func (t *Table) contactSilence() time.Duration { return contactIntervals * t.config.Interval }

// addContact remembers a member of another data centre. A full list drops one
// that has been silent.
func (t *Table) addContact(now time.Time, row Row) {
	if row.Status >= Dead || row.Address == "" {
		return
	}
	row = bare(row)
	if old, ok := t.contacts[row.Name]; ok {
		if old.row.Boot <= row.Boot {
			old.update(row)
		}
		return
	}
	same, silent := t.contactsIn(now, row.DataCentre)
	if len(same) >= maxContacts {
		if len(silent) == 0 {
			return
		}
		delete(t.contacts, silent[0])
	}
	r := &record{since: now}
	r.update(row)
	t.contacts[row.Name] = r
}

// contactsIn returns the contacts in a data centre, and the silent ones of them.
func (t *Table) contactsIn(now time.Time, dataCentre string) (all, silent []string) {
	for _, name := range slices.Sorted(maps.Keys(t.contacts)) {
		r := t.contacts[name]
		if r.row.DataCentre != dataCentre {
			continue
		}
		all = append(all, name)
		if now.Sub(r.heard) >= t.contactSilence() && now.Sub(r.since) >= t.contactSilence() {
			silent = append(silent, name)
		}
	}
	return all, silent
}

// pingContact pings one contact after the other.
func (t *Table) pingContact(now time.Time) (Message, bool) {
	names := slices.Sorted(maps.Keys(t.contacts))
	if len(names) == 0 {
		return Message{}, false
	}
	r := t.contacts[names[t.ticks%len(names)]]
	return t.message(Ping, r), true
}

// introduction returns what another data centre learns: this instance and
// another one that is alive.
func (t *Table) introduction() []Row {
	rows := []Row{bare(t.self.row)}
	names := t.others(Alive)
	if len(names) > 0 {
		rows = append(rows, bare(t.records[names[t.config.Rand(len(names))]].row))
	}
	return rows
}
