package journal

import (
	"context"
	"time"
)

// writeSnapshot appends a snapshot when one is due and the state is that of
// the log's end. Two instances may both write one; the later one is stale.
func (f *Follower) writeSnapshot(ctx context.Context, page Page) error {
	data, at, err := f.dueSnapshot(page)
	if err != nil || data == nil {
		return err
	}
	record := Record{
		Format:   f.Format,
		ID:       NewID(),
		Kind:     KindSnapshot,
		Presumes: at,
		After:    at,
		Writer:   f.Writer,
		Body:     data,
	}
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	// A lost answer needs no care: the snapshot stays due until one is read back.
	_, err = f.Log.Append(ctx, f.Stream, encoded)
	return err
}

// dueSnapshot returns the snapshot to write, or nil.
func (f *Follower) dueSnapshot(page Page) ([]byte, Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.status.Offset
	now := f.now()
	if at == 0 || at != page.Next-1 || now.Sub(f.tried) < f.retry().max || !f.due(now) {
		return nil, 0, nil
	}
	f.tried = now
	data, err := f.Snapshot()
	return data, at, err
}

// due reports whether this instance has to write a snapshot.
func (f *Follower) due(now time.Time) bool {
	if f.writeBack {
		return true
	}
	age := max(0, now.Sub(f.newest))
	if f.Due != nil {
		return f.Due(age, f.entries)
	}
	span := float64(f.Retention/snapshotFractions) * (1 + f.spread)
	return f.entries >= snapshotEntries || f.Retention > 0 && float64(age) > span
}
