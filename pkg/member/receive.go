package member

import (
	"slices"
	"time"
)

// Receive takes a message in and returns the answers to it.
func (t *Table) Receive(now time.Time, m Message) []Message {
	for _, row := range m.Rows {
		if row.DataCentre != "" && row.DataCentre != t.self.row.DataCentre {
			t.addContact(now, row)
			continue
		}
		t.mergeRow(now, row)
	}
	from := t.sender(now, m.From)
	if from == nil {
		return t.answerStranger(m)
	}
	switch m.Kind {
	case Ping:
		return []Message{t.answerPing(from, m)}
	case Ack:
		return t.answerAck(from, m)
	case Sync:
		return t.answerSync(from, m)
	}
	return nil
}

// answerStranger answers the ping of a member that is not known yet, which
// would hold this one for silent otherwise, and asks for its row.
func (t *Table) answerStranger(m Message) []Message {
	if m.Kind != Ping || m.From == t.self.row.Name {
		return nil
	}
	return []Message{{Kind: Ack, From: t.self.row.Name, To: m.From, Want: []string{m.From}}}
}

// sender notes that the member was heard. It returns nil for one whose row is
// not known.
func (t *Table) sender(now time.Time, name string) *record {
	r, ok := t.records[name]
	if !ok {
		r, ok = t.contacts[name]
	}
	if !ok || r == t.self {
		return nil
	}
	r.heard = now
	r.pinged = time.Time{}
	return r
}

func (t *Table) answerPing(from *record, m Message) Message {
	answer := t.message(Ack, from)
	if from.row.DataCentre != t.self.row.DataCentre {
		return answer
	}
	sums := t.sums()
	busy := t.busyBuckets()
	var differ []int
	for i := range sums {
		if i < len(m.Sums) && sums[i] != m.Sums[i] && !busy[i] {
			differ = append(differ, i)
		}
	}
	for len(differ) > bucketsAnswered {
		i := t.config.Rand(len(differ))
		differ = slices.Delete(differ, i, i+1)
	}
	answer.Buckets = differ
	answer.Digests = t.digests(differ)
	return answer
}

// busyBuckets returns the buckets with changes that still travel, which
// would only be sent twice.
func (t *Table) busyBuckets() [bucketCount]bool {
	var busy [bucketCount]bool
	for _, r := range t.records {
		if r.spreading() {
			busy[r.bucket] = true
		}
	}
	return busy
}

func (t *Table) digests(buckets []int) []Digest {
	var list []Digest
	if len(buckets) == 0 {
		return nil
	}
	for _, name := range t.order {
		if r := t.records[name]; slices.Contains(buckets, r.bucket) {
			list = append(list, Digest{name, r.sum})
		}
	}
	return list
}

// answerAck sends what the other one lacks and asks for what differs.
func (t *Table) answerAck(from *record, m Message) []Message {
	answer := Message{Kind: Sync, From: t.self.row.Name, To: from.row.Name, Address: from.row.Address}
	theirs := make(map[string]uint32, len(m.Digests))
	for _, d := range m.Digests {
		theirs[d.Name] = d.Sum
		r, ok := t.records[d.Name]
		if !ok || r.sum != d.Sum {
			answer.Want = append(answer.Want, d.Name)
		}
	}
	for _, d := range t.digests(m.Buckets) {
		if sum, ok := theirs[d.Name]; !ok || sum != d.Sum {
			answer.Rows = append(answer.Rows, t.records[d.Name].row)
		}
	}
	answer.Rows = append(answer.Rows, t.wanted(m)...)
	if len(answer.Rows) == 0 && len(answer.Want) == 0 {
		return nil
	}
	return []Message{answer}
}

func (t *Table) answerSync(from *record, m Message) []Message {
	rows := t.wanted(m)
	if len(rows) == 0 {
		return nil
	}
	return []Message{{Kind: Sync, From: t.self.row.Name, To: from.row.Name, Address: from.row.Address, Rows: rows}}
}

// wanted returns the rows that the message asks for.
func (t *Table) wanted(m Message) []Row {
	var rows []Row
	for _, name := range m.Want {
		if r, ok := t.records[name]; ok {
			rows = append(rows, r.row)
		}
	}
	return rows
}

// mergeRow adopts what is new in the row.
func (t *Table) mergeRow(now time.Time, row Row) {
	r, ok := t.records[row.Name]
	if !ok && row.Address == "" {
		return
	}
	if r == t.self {
		t.mergeSelf(row)
		return
	}
	if !ok {
		r = &record{since: now}
		t.insert(row.Name, r)
		t.adopt(r, row)
		return
	}
	newer := row.Address != "" && row.compareStatus(r.row) > 0
	next := r.row
	if newer {
		r.since = now
		next = row
		next.Items = r.row.Items
		if row.Boot > r.row.Boot {
			next.Items = nil
			r.pinged = time.Time{}
		}
	}
	var keys []string
	if row.Boot == next.Boot {
		next, keys = mergeItems(next, row.Items)
	}
	if !newer && len(keys) == 0 {
		r.heardAgain(row)
		return
	}
	r.update(next)
	r.travel(t.config.Spread, newer, keys...)
}

// adopt takes in the row of a member that was not known.
func (t *Table) adopt(r *record, row Row) {
	r.update(row)
	var keys []string
	for _, i := range row.Items {
		keys = append(keys, i.Key)
	}
	r.travel(t.config.Spread, true, keys...)
}

func mergeItems(row Row, items []Item) (Row, []string) {
	var keys []string
	for _, i := range items {
		next, changed := row.withItem(i)
		if !changed {
			continue
		}
		row = next
		keys = append(keys, i.Key)
	}
	return row, keys
}

// mergeSelf refutes a suspicion of this instance.
func (t *Table) mergeSelf(row Row) {
	own := t.self.row
	if row.Boot > own.Boot {
		t.replaced = true
		return
	}
	if row.Boot < own.Boot || row.Address == "" || own.Status == Left {
		return
	}
	if row.Status == Alive || row.Incarnation < own.Incarnation {
		return
	}
	own.Incarnation = row.Incarnation + 1
	t.self.update(own)
	t.self.travel(t.config.Spread, true)
}
