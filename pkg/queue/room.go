package queue

import "slices"

// makeRoom displaces entries of accounts that hold more than the newcomer's
// would. It reports false when that does not make enough room.
func (q *Queue) makeRoom(e Entry) ([]Entry, bool) {
	c := q.config()
	if e.Bytes > c.MaxBytes {
		return nil, false
	}
	var removed []item
	for q.entries+1 > c.MaxEntries || q.bytes+e.Bytes > c.MaxBytes {
		p, i, ok := q.victim(e)
		if !ok {
			q.restore(removed)
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

// restore puts removed items back into their places.
func (q *Queue) restore(removed []item) {
	for _, it := range slices.Backward(removed) {
		q.classes[it.Priority].insert(it)
		q.hold(it.Entry, 1)
	}
}

// victim returns the newest entry of the account that holds most for its
// weight, if that is more than the newcomer's account would hold.
func (q *Queue) victim(e Entry) (priority, at int, ok bool) {
	if q.unlimited {
		return 0, 0, false
	}
	own := q.occupancy(e.Account, e)
	most, worst := own, ""
	for account, h := range q.holdings {
		used := q.fraction(h.entries, h.bytes) / float64(h.weight)
		if account != e.Account && (used > most || used == most && worst != "" && account < worst) {
			most, worst = used, account
		}
	}
	if worst == "" {
		return 0, 0, false
	}
	return q.newestOf(worst)
}

// occupancy is the part of the queue that the account holds with the entry in.
func (q *Queue) occupancy(account string, e Entry) float64 {
	entries, bytes := 1, e.Bytes
	if h := q.holdings[account]; h != nil {
		entries += h.entries
		bytes += h.bytes
	}
	return q.fraction(entries, bytes) / float64(e.Weight)
}

func (q *Queue) fraction(entries, bytes int) float64 {
	c := q.config()
	return max(float64(entries)/float64(c.MaxEntries), float64(bytes)/float64(c.MaxBytes))
}

// newestOf finds the account's last entry, batch before interactive.
func (q *Queue) newestOf(account string) (priority, at int, ok bool) {
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
