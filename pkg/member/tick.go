package member

import (
	"maps"
	"slices"
	"time"
)

// pauseIntervals is the gap between ticks after which this instance was paused
// itself, so that it judges no other one by it.
const pauseIntervals = 3

// Tick judges silent members and returns the pings of this interval. Call it
// once each interval.
func (t *Table) Tick(now time.Time) []Message {
	t.ticks++
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseIntervals*t.config.Interval {
		t.forgiveSilence(now)
	}
	t.lastTick = now
	t.judge(now)
	var messages []Message
	compare := t.randomMember()
	for _, name := range t.targets(compare) {
		r := t.records[name]
		if r.pinged.IsZero() {
			r.pinged = now
		}
		m := t.message(Ping, r)
		if name == compare {
			m.Sums = t.sums()
		}
		messages = append(messages, m)
	}
	if m, ok := t.pingContact(now); ok {
		messages = append(messages, m)
	}
	return messages
}

// forgiveSilence restarts all clocks that ran while this instance was paused.
func (t *Table) forgiveSilence(now time.Time) {
	for _, r := range t.records {
		r.pinged = time.Time{}
		r.since = now
	}
}

func (t *Table) judge(now time.Time) {
	for _, name := range slices.Clone(t.order) {
		r := t.records[name]
		if r == t.self {
			continue
		}
		age := now.Sub(r.since)
		switch {
		case r.row.Status == Alive && !r.pinged.IsZero() && now.Sub(r.pinged) >= t.config.SuspectAfter:
			t.setStatus(now, r, Suspect)
		case r.row.Status == Suspect && age >= t.config.DeadAfter:
			t.setStatus(now, r, Dead)
		case r.row.Status >= Dead && age >= t.config.ForgetAfter:
			t.delete(name)
		}
	}
}

// randomMember returns a random other member that is not dead, or "".
func (t *Table) randomMember() string {
	names := t.others(Suspect)
	if len(names) == 0 {
		return ""
	}
	return names[t.config.Rand(len(names))]
}

// targets returns the members to ping: the neighbours on the ring up to the
// first one that is alive, the random one, those with a ping unanswered, and now
// and then a dead one, so that two halves of a healed partition meet.
func (t *Table) targets(random string) []string {
	chosen := make(map[string]bool)
	names := t.others(Suspect)
	t.chooseNeighbours(names, chosen)
	if random != "" {
		chosen[random] = true
	}
	for _, name := range names {
		r := t.records[name]
		if r.row.Status == Alive && !r.pinged.IsZero() {
			chosen[name] = true
		}
	}
	if t.ticks%deadPingEvery == 0 {
		dead := t.deadNames()
		if len(dead) > 0 {
			chosen[dead[t.config.Rand(len(dead))]] = true
		}
	}
	return slices.Sorted(maps.Keys(chosen))
}

func (t *Table) chooseNeighbours(names []string, chosen map[string]bool) {
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
	for _, name := range t.others(Dead) {
		if t.records[name].row.Status == Dead {
			names = append(names, name)
		}
	}
	return names
}

// message returns a message with the changes that travel on.
func (t *Table) message(kind MessageKind, to *record) Message {
	m := Message{Kind: kind, From: t.self.row.Name, To: to.row.Name, Address: to.row.Address}
	if to.row.DataCentre != t.self.row.DataCentre {
		m.Rows = t.introduction()
		return m
	}
	m.Rows = t.changes(to)
	return m
}

// changes returns what travels on to the member, what has travelled least
// first, within the limit of bytes.
func (t *Table) changes(to *record) []Row {
	var rows []Row
	bytes := 0
	if to.row.Status != Alive {
		rows = append(rows, bare(to.row))
	}
	for _, r := range t.spreading() {
		if bytes >= t.config.MaxBytes {
			break
		}
		row := t.takeChange(r)
		bytes += row.encodedBytes()
		rows = append(rows, row)
	}
	return rows
}

// takeChange returns what travels on of a row and counts it as sent.
func (t *Table) takeChange(r *record) Row {
	row := Row{Name: r.row.Name, Boot: r.row.Boot}
	if r.status > 0 {
		r.status--
		row = bare(r.row)
	}
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if item, ok := r.row.Item(key); ok {
			row.Items = append(row.Items, item)
		}
		r.sent(key)
	}
	return row
}

// bare returns the row with its status and no items.
func bare(r Row) Row {
	r.Items = nil
	return r
}

func (t *Table) spreading() []*record {
	var list []*record
	for _, name := range t.order {
		if r := t.records[name]; r.spreading() {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *record) int { return b.left() - a.left() })
	return list
}

// left returns the most times that something of the row still travels on.
func (r *record) left() int {
	most := r.status
	for _, n := range r.items {
		most = max(most, n)
	}
	return most
}
