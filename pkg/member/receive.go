package member

import (
	"slices"
	"time"
)

// Receive processes a message and returns the answers to it.
func (t *Table) Receive(now time.Time, m Message) []Message {
	for _, row := range m.Rows {
		if row.DataCentre != "" && row.DataCentre != t.self.row.DataCentre {
			t.addContact(now, row)
			continue
		}
		t.mergeRow(now, row)
	}
	from := t.markReceived(now, m.From)
	if from == nil {
		return t.answerUnknownSender(m)
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

// answerUnknownSender answers a ping from a member that is not known yet, and asks for
// its row. Without an answer, the sender would suspect this instance.
func (t *Table) answerUnknownSender(m Message) []Message {
	if m.Kind != Ping || m.From == t.self.row.Name {
		return nil
	}
	return []Message{{Kind: Ack, From: t.self.row.Name, To: m.From, Want: []string{m.From}}}
}

// markReceived records that a message from the member was received, and returns the
// member's record. It returns nil if the member is not known.
func (t *Table) markReceived(now time.Time, name string) *record {
	r, ok := t.records[name]
	if !ok {
		r, ok = t.contacts[name]
	}
	if !ok || r == t.self {
		return nil
	}
	r.lastReceived = now
	r.unansweredSince = time.Time{}
	return r
}

// answerPing returns the Ack for a ping. For some of the buckets whose checksums
// differ, it lists the checksums of their members.
func (t *Table) answerPing(from *record, m Message) Message {
	answer := t.message(Ack, from)
	if from.row.DataCentre != t.self.row.DataCentre {
		return answer
	}
	checksums := t.bucketChecksums()
	pending := t.pendingBuckets()
	var differing []int
	for i := range checksums {
		if i < len(m.Checksums) && checksums[i] != m.Checksums[i] && !pending[i] {
			differing = append(differing, i)
		}
	}
	for len(differing) > maxAnswerBuckets {
		i := t.config.Rand(len(differing))
		differing = slices.Delete(differing, i, i+1)
	}
	answer.Buckets = differing
	answer.Digests = t.digests(differing)
	return answer
}

// pendingBuckets returns the buckets with pending changes. They are not compared,
// because their changes would be sent twice.
func (t *Table) pendingBuckets() [bucketCount]bool {
	var pending [bucketCount]bool
	for _, r := range t.records {
		if r.hasPending() {
			pending[r.bucket] = true
		}
	}
	return pending
}

// digests returns the digests of the members in the buckets.
func (t *Table) digests(buckets []int) []Digest {
	var digests []Digest
	if len(buckets) == 0 {
		return nil
	}
	for _, name := range t.sortedNames {
		if r := t.records[name]; slices.Contains(buckets, r.bucket) {
			digests = append(digests, Digest{name, r.checksum})
		}
	}
	return digests
}

// answerAck returns a message with the rows that the sender lacks or has in another
// state, and asks for the rows that this instance lacks or has in another state.
func (t *Table) answerAck(from *record, m Message) []Message {
	answer := Message{Kind: Sync, From: t.self.row.Name, To: from.row.Name, Address: from.row.Address}
	checksums := make(map[string]uint32, len(m.Digests))
	for _, d := range m.Digests {
		checksums[d.Name] = d.Checksum
		r, ok := t.records[d.Name]
		if !ok || r.checksum != d.Checksum {
			answer.Want = append(answer.Want, d.Name)
		}
	}
	for _, d := range t.digests(m.Buckets) {
		if checksum, ok := checksums[d.Name]; !ok || checksum != d.Checksum {
			answer.Rows = append(answer.Rows, t.records[d.Name].row)
		}
	}
	answer.Rows = append(answer.Rows, t.requestedRows(m)...)
	if len(answer.Rows) == 0 && len(answer.Want) == 0 {
		return nil
	}
	return []Message{answer}
}

// answerSync returns the rows that a Sync message asks for.
func (t *Table) answerSync(from *record, m Message) []Message {
	rows := t.requestedRows(m)
	if len(rows) == 0 {
		return nil
	}
	return []Message{{Kind: Sync, From: t.self.row.Name, To: from.row.Name, Address: from.row.Address, Rows: rows}}
}

// requestedRows returns the rows that the message asks for.
func (t *Table) requestedRows(m Message) []Row {
	var rows []Row
	for _, name := range m.Want {
		if r, ok := t.records[name]; ok {
			rows = append(rows, r.row)
		}
	}
	return rows
}

// mergeRow updates a member of this data centre with the newer parts of the row.
func (t *Table) mergeRow(now time.Time, row Row) {
	r, ok := t.records[row.Name]
	if !ok && row.Address == "" {
		return
	}
	if r == t.self {
		t.mergeOwnRow(row)
		return
	}
	if !ok {
		r = &record{statusSince: now}
		t.insert(row.Name, r)
		t.addRow(r, row)
		return
	}
	newer := row.Address != "" && row.compareStatus(r.row) > 0
	next := r.row
	if newer {
		r.statusSince = now
		next = row
		next.Items = r.row.Items
		if row.Boot > r.row.Boot {
			next.Items = nil
			r.unansweredSince = time.Time{}
		}
	}
	var keys []string
	if row.Boot == next.Boot {
		next, keys = mergeItems(next, row.Items)
	}
	if !newer && len(keys) == 0 {
		r.countReceived(row)
		return
	}
	r.setRow(next)
	r.scheduleSends(t.config.Retransmits, newer, keys...)
}

// addRow sets the row of a new member and schedules its status and items for sending.
func (t *Table) addRow(r *record, row Row) {
	r.setRow(row)
	var keys []string
	for _, i := range row.Items {
		keys = append(keys, i.Key)
	}
	r.scheduleSends(t.config.Retransmits, true, keys...)
}

// mergeItems adds the newer ones of the items to the row, and returns the row and the
// keys of the added items.
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

// mergeOwnRow processes a received row of this instance. If the row calls it Suspect,
// Dead or Left, the instance refutes that with a higher incarnation. A row of a newer
// run means that this instance was replaced.
func (t *Table) mergeOwnRow(row Row) {
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
	t.self.setRow(own)
	t.self.scheduleSends(t.config.Retransmits, true)
}
