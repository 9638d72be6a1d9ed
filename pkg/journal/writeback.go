package journal

import (
	"context"
	"time"
)

// writeSnapshot appends a snapshot if one is due and the state includes all
// entries of the log. If two instances write one at the same time, the later one
// is stale.
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
	// A lost response needs no handling: a snapshot remains due until one is read
	// from the log.
	_, err = f.Log.Append(ctx, f.Stream, encoded)
	return err
}

// dueSnapshot returns the snapshot to write and the state's offset, or nil if
// none is due.
func (f *Follower) dueSnapshot(page Page) ([]byte, Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.status.Offset
	now := f.now()
	if at == 0 || at != page.Next-1 || now.Sub(f.lastSnapshotAttempt) < f.newBackoff().max || !f.due(now) {
		return nil, 0, nil
	}
	f.lastSnapshotAttempt = now
	data, err := f.Snapshot()
	return data, at, err
}

// due reports whether this instance has to write a snapshot now.
func (f *Follower) due(now time.Time) bool {
	if f.snapshotRequired {
		return true
	}
	age := max(0, now.Sub(f.snapshotTime))
	if f.Due != nil {
		return f.Due(age, f.entriesSinceSnapshot)
	}
	maxAge := float64(f.Retention/snapshotAgeDivisor) * (1 + f.snapshotJitter)
	return f.entriesSinceSnapshot >= defaultSnapshotEntries || f.Retention > 0 && float64(age) > maxAge
}
