package queue

import "slices"

// displaceFor removes and returns entries until e fits into the queue. It only displaces
// entries of accounts that use more of the queue than e's account would. If that is not
// enough, it leaves the queue as it was and returns false.
func (q *Queue) displaceFor(e Entry) ([]Entry, bool) {
	c := q.config()
	if e.Bytes > c.MaxBytes {
		return nil, false
	}
	var removed []queuedEntry
	for q.entries+1 > c.MaxEntries || q.bytes+e.Bytes > c.MaxBytes {
		p, i, ok := q.entryToDisplace(e)
		if !ok {
			q.reinsert(removed)
			return nil, false
		}
		removed = append(removed, q.removeAt(p, i))
	}
	var displaced []Entry
	for _, it := range removed {
		displaced = append(displaced, it.Entry)
	}
	return displaced, true
}

// reinsert inserts removed entries again, the last one first.
func (q *Queue) reinsert(removed []queuedEntry) {
	for _, it := range slices.Backward(removed) {
		q.classes[it.Priority].insert(it)
		q.addUsage(it.Entry, 1)
	}
}

// entryToDisplace returns the position of the newest entry of the account that uses the
// largest share of the queue, relative to its weight. It returns false if that is not
// more than e's account would use with e.
func (q *Queue) entryToDisplace(e Entry) (priority, at int, ok bool) {
	if q.noDisplacement {
		return 0, 0, false
	}
	newShare := q.shareWith(e.Account, e)
	largestShare, largestAccount := newShare, ""
	for account, usage := range q.usage {
		share := q.utilization(usage.entries, usage.bytes) / float64(usage.weight)
		if account != e.Account && (share > largestShare || share == largestShare && largestAccount != "" && account < largestAccount) {
			largestShare, largestAccount = share, account
		}
	}
	if largestAccount == "" {
		return 0, 0, false
	}
	return q.newestEntry(largestAccount)
}

// shareWith returns the share of the queue that the account would use with the entry,
// relative to its weight.
func (q *Queue) shareWith(account string, e Entry) float64 {
	entries, bytes := 1, e.Bytes
	if usage := q.usage[account]; usage != nil {
		entries += usage.entries
		bytes += usage.bytes
	}
	return q.utilization(entries, bytes) / float64(e.Weight)
}

// utilization returns the used fraction of the queue's limit on entries or on bytes,
// whichever is larger.
func (q *Queue) utilization(entries, bytes int) float64 {
	c := q.config()
	return max(float64(entries)/float64(c.MaxEntries), float64(bytes)/float64(c.MaxBytes))
}

// newestEntry returns the position of the account's last batch entry, or else of its last
// interactive entry.
func (q *Queue) newestEntry(account string) (priority, at int, ok bool) {
	for p := priorities - 1; p >= 0; p-- {
		items := q.classes[p].items
		for i := len(items) - 1; i >= 0; i-- {
			if items[i].Account == account {
				return p, i, true
			}
		}
	}
	return 0, 0, false
}
