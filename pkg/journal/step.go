package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLost reports that entries expired before this follower read them, and that
// neither a snapshot on the log nor a reachable peer's state includes them.
var ErrLost = errors.New("entries expired and no reachable state includes them")

// ErrReverted reports that the log ends before entries that were already read.
var ErrReverted = errors.New("log ends before entries that were read from it")

// Step reads the log once and applies the entries. It returns an error if the
// log is unavailable or the state could not advance; Run retries.
func (f *Follower) Step(ctx context.Context) error {
	status := f.Status()
	if status.Offset == 0 && !status.Ready {
		if err := f.start(ctx); err != nil {
			return err
		}
		status = f.Status()
	}
	from := status.Offset + 1
	page, err := f.Log.Read(ctx, f.Stream, from, maxPageEntries, f.readWait())
	if errors.Is(err, ErrExpired) {
		return f.catchUp(ctx, page)
	}
	if err == nil && page.Next < from {
		err = errors.Wrapf(ErrReverted, "stream %q: read up to %d, next is %d", f.Stream, from-1, page.Next)
	}
	if err != nil {
		return f.handleUnavailable(ctx, err)
	}
	if err := f.applyPage(page); err != nil {
		return err
	}
	return f.writeSnapshot(ctx, page)
}

// readWait returns how long the next read waits for entries. A follower that may
// be behind doesn't wait, so that it learns the log's end at once.
func (f *Follower) readWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.Ready || !f.unavailableSince.IsZero() {
		return 0
	}
	return f.maxWait()
}

// start restores the newest snapshot on the log, so that a new follower does not
// have to apply the whole stream.
func (f *Follower) start(ctx context.Context) error {
	page, err := f.Log.Read(ctx, f.Stream, 1, 1, 0)
	if err != nil && !errors.Is(err, ErrExpired) {
		return f.handleUnavailable(ctx, err)
	}
	if _, err := f.restoreNewest(ctx, page.First, page.Next); err != nil {
		return f.handleUnavailable(ctx, err)
	}
	return nil
}

// applyPage applies a page that was read from the offset after the state's.
func (f *Follower) applyPage(page Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailableSince = time.Time{}
	f.status.Source = SourceLog
	f.status.End = max(f.status.End, page.Next-1)
	if page.First > 1 && page.First > f.snapshotOffset {
		f.snapshotRequired = true
	}
	if err := f.applyAll(page.Entries); err != nil {
		return err
	}
	if f.status.Offset >= page.Next-1 {
		f.status.Ready = true
		f.status.Lost = false
	}
	return nil
}

// applyAll applies entries in order. It ignores those that the state includes
// already and, after a gap, those that are not valid snapshots.
func (f *Follower) applyAll(entries []Entry) error {
	for _, e := range entries {
		if f.status.Stopped != nil {
			return f.status.Stopped
		}
		if e.Offset <= f.status.Offset && f.disabledGuards&guardNewerOnly == 0 {
			continue
		}
		if err := f.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry applies one entry. After a gap, it ignores the entry unless it is a
// valid snapshot.
func (f *Follower) applyEntry(e Entry) error {
	data, isSnapshot := f.snapshotOf(e)
	if e.Offset != f.status.Offset+1 {
		if !isSnapshot {
			return nil
		}
		return f.restore(data, e)
	}
	err := f.Apply(e)
	var formatErr *FormatError
	if errors.As(err, &formatErr) {
		f.status.Stopped = formatErr
	}
	if err != nil {
		return err
	}
	f.advance(e, isSnapshot)
	return nil
}

// snapshotOf returns the snapshot in the entry, and whether it is a valid one.
func (f *Follower) snapshotOf(e Entry) ([]byte, bool) {
	if f.disabledGuards&guardSnapshotPosition != 0 {
		r, err := DecodeRecord(e.Data, f.Format)
		return r.Body, err == nil && r.Kind == KindSnapshot
	}
	return SnapshotOf(e, f.Format)
}

// restore replaces the state by data, the snapshot in the entry.
func (f *Follower) restore(data []byte, e Entry) error {
	if err := f.Restore(data, e.Offset); err != nil {
		return errors.Wrapf(err, "restore snapshot at offset %d of stream %q", e.Offset, f.Stream)
	}
	f.advance(e, true)
	return nil
}

// advance updates the status after the entry was applied.
func (f *Follower) advance(e Entry, isSnapshot bool) {
	f.status.Offset = e.Offset
	f.status.End = max(f.status.End, e.Offset)
	f.entriesSinceSnapshot++
	if isSnapshot {
		f.entriesSinceSnapshot = 0
		f.snapshotOffset = e.Offset
		f.snapshotRequired = false
		f.snapshotJitter = random(f.Jitter)
	}
	if isSnapshot || f.snapshotTime.IsZero() {
		f.snapshotTime = e.Time
	}
}
