package member

import (
	"maps"
	"slices"
	"time"
)

// maxTickGapIntervals is the largest gap between two ticks, in intervals, that counts
// as normal. After a larger one this instance was itself paused, so the time does
// not count as silence of the others.
const maxTickGapIntervals = 3

// Tick updates the status of silent members and returns the pings of this interval.
// It must be called once in each interval.
func (t *Table) Tick(now time.Time) []Message {
	t.ticks++
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > maxTickGapIntervals*t.config.Interval {
		t.resetTimers(now)
	}
	t.lastTick = now
	t.updateStatuses(now)
	var messages []Message
	compareWith := t.randomLiveMember()
	for _, name := range t.pingTargets(compareWith) {
		r := t.records[name]
		if r.unansweredSince.IsZero() {
			r.unansweredSince = now
		}
		m := t.message(Ping, r)
		if name == compareWith {
			m.Checksums = t.bucketChecksums()
		}
		messages = append(messages, m)
	}
	if m, ok := t.pingContact(now); ok {
		messages = append(messages, m)
	}
	return messages
}

// resetTimers restarts the timers of all members after this instance was paused.
func (t *Table) resetTimers(now time.Time) {
	for _, r := range t.records {
		r.unansweredSince = time.Time{}
		r.statusSince = now
	}
}

// updateStatuses changes the status of members whose timers have expired, and removes
// those that have been Dead or Left for ForgetAfter.
func (t *Table) updateStatuses(now time.Time) {
	for _, name := range slices.Clone(t.sortedNames) {
		r := t.records[name]
		if r == t.self {
			continue
		}
		age := now.Sub(r.statusSince)
		switch {
		case r.row.Status == Alive && !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= t.config.SuspectAfter:
			t.setStatus(now, r, Suspect)
		case r.row.Status == Suspect && age >= t.config.DeadAfter:
			t.setStatus(now, r, Dead)
		case r.row.Status >= Dead && age >= t.config.ForgetAfter:
			t.delete(name)
		}
	}
}

// randomLiveMember returns the name of a random other member that is Alive or
// Suspect, or "" if there is none.
func (t *Table) randomLiveMember() string {
	names := t.otherNames(Suspect)
	if len(names) == 0 {
		return ""
	}
	return names[t.config.Rand(len(names))]
}

// pingTargets returns the names of the members to ping: the successors on the ring
// of names up to the first one that is Alive, the random one, those that have not
// answered a ping, and every deadPingTicks ticks a dead one. The last lets the two
// halves of a partition find each other after it has healed.
func (t *Table) pingTargets(random string) []string {
	chosen := make(map[string]bool)
	names := t.otherNames(Suspect)
	t.chooseRingSuccessors(names, chosen)
	if random != "" {
		chosen[random] = true
	}
	for _, name := range names {
		r := t.records[name]
		if r.row.Status == Alive && !r.unansweredSince.IsZero() {
			chosen[name] = true
		}
	}
	if t.ticks%deadPingTicks == 0 {
		dead := t.deadNames()
		if len(dead) > 0 {
			chosen[dead[t.config.Rand(len(dead))]] = true
		}
	}
	return slices.Sorted(maps.Keys(chosen))
}

// chooseRingSuccessors adds the members that follow this one in the ring of names to
// chosen, up to the first one that is Alive.
func (t *Table) chooseRingSuccessors(names []string, chosen map[string]bool) {
	start, _ := slices.BinarySearch(names, t.self.row.Name)
	for i := range names {
		name := names[(start+i)%len(names)]
		chosen[name] = true
		if t.records[name].row.Status == Alive {
			return
		}
	}
}

func (t *Table) deadNames() []string {
	var names []string
	for _, name := range t.otherNames(Dead) {
		if t.records[name].row.Status == Dead {
			names = append(names, name)
		}
	}
	return names
}

// message returns a message with the pending changes, or with introductionRows for a
// receiver in another data centre.
func (t *Table) message(kind MessageKind, receiver *record) Message {
	m := Message{Kind: kind, From: t.self.row.Name, To: receiver.row.Name, Address: receiver.row.Address}
	if receiver.row.DataCentre != t.self.row.DataCentre {
		m.Rows = t.introductionRows()
		return m
	}
	m.Rows = t.pendingChanges(receiver)
	return m
}

// pendingChanges returns the pending changes for a message to the receiver, and counts
// them as sent. Those that are to be sent most often come first. No further change is
// added once MaxBytes is reached. A receiver that is not Alive also gets its own row,
// so that it can refute the status.
func (t *Table) pendingChanges(receiver *record) []Row {
	var rows []Row
	bytes := 0
	if receiver.row.Status != Alive {
		rows = append(rows, withoutItems(receiver.row))
	}
	for _, r := range t.pendingRecords() {
		if bytes >= t.config.MaxBytes {
			break
		}
		row := t.nextChange(r)
		bytes += row.encodedBytes()
		rows = append(rows, row)
	}
	return rows
}

// nextChange returns the pending changes of a row and counts them as sent.
func (t *Table) nextChange(r *record) Row {
	row := Row{Name: r.row.Name, Boot: r.row.Boot}
	if r.statusSends > 0 {
		r.statusSends--
		row = withoutItems(r.row)
	}
	for _, key := range slices.Sorted(maps.Keys(r.itemSends)) {
		if item, ok := r.row.Item(key); ok {
			row.Items = append(row.Items, item)
		}
		r.countItemSend(key)
	}
	return row
}

// withoutItems returns the row without its items.
func withoutItems(r Row) Row {
	r.Items = nil
	return r
}

// pendingRecords returns the records with pending changes, those that are to be sent
// most often first.
func (t *Table) pendingRecords() []*record {
	var records []*record
	for _, name := range t.sortedNames {
		if r := t.records[name]; r.hasPending() {
			records = append(records, r)
		}
	}
	slices.SortStableFunc(records, func(a, b *record) int { return b.maxPendingSends() - a.maxPendingSends() })
	return records
}

// maxPendingSends returns the largest number of times that the status or an item is
// still to be sent.
func (r *record) maxPendingSends() int {
	most := r.statusSends
	for _, n := range r.itemSends {
		most = max(most, n)
	}
	return most
}
