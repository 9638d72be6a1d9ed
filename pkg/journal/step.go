package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLost reports that entries expired before this follower read them, and that
// neither the log nor a reachable peer has their state.
var ErrLost = errors.New("entries expired and no reachable state includes them")

// ErrReverted reports that the log's end lies before entries already read.
var ErrReverted = errors.New("log ends before entries that were read from it")

// Step reads the log once and folds what it finds. It returns an error when the
// log is away or the state could not advance; Run tries again.
func (f *Follower) Step(ctx context.Context) error {
	status := f.Status()
	if status.Offset == 0 && !status.Ready {
		if err := f.start(ctx); err != nil {
			return err
		}
		status = f.Status()
	}
	from := status.Offset + 1
	page, err := f.Log.Read(ctx, f.Stream, from, pageEntries, f.readWait())
	if errors.Is(err, ErrExpired) {
		return f.catchUp(ctx, page)
	}
	if err == nil && page.Next < from {
		err = errors.Wrapf(ErrReverted, "stream %q: read up to %d, next is %d", f.Stream, from-1, page.Next)
	}
	if err != nil {
		return f.away(ctx, err)
	}
	if err := f.foldPage(page); err != nil {
		return err
	}
	return f.writeSnapshot(ctx, page)
}

// readWait returns how long the next read waits for entries. Whoever may be
// behind learns the log's end first.
func (f *Follower) readWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.Ready || !f.awaySince.IsZero() {
		return 0
	}
	return f.wait()
}

// start takes the newest snapshot of the log, so that a new follower does not
// fold the whole stream.
func (f *Follower) start(ctx context.Context) error {
	page, err := f.Log.Read(ctx, f.Stream, 1, 1, 0)
	if err != nil && !errors.Is(err, ErrExpired) {
		return f.away(ctx, err)
	}
	if _, err := f.restoreNewest(ctx, page.First, page.Next); err != nil {
		return f.away(ctx, err)
	}
	return nil
}

// foldPage folds a page that was read from the offset after the state's.
func (f *Follower) foldPage(page Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaySince = time.Time{}
	f.status.Source = SourceLog
	f.status.End = max(f.status.End, page.Next-1)
	if page.First > 1 && page.First > f.snapshotAt {
		f.writeBack = true
	}
	if err := f.foldAll(page.Entries); err != nil {
		return err
	}
	if f.status.Offset >= page.Next-1 {
		f.status.Ready = true
		f.status.Lost = false
	}
	return nil
}

// foldAll folds entries in order. It leaves out those that the state includes
// and ends at a gap.
func (f *Follower) foldAll(entries []Entry) error {
	for _, e := range entries {
		if f.status.Stopped != nil {
			return f.status.Stopped
		}
		if e.Offset <= f.status.Offset && f.disabled&guardNewest == 0 {
			continue
		}
		if err := f.fold(e); err != nil {
			return err
		}
	}
	return nil
}

// fold folds one entry. After a gap only a valid snapshot is taken.
func (f *Follower) fold(e Entry) error {
	data, isSnapshot := f.snapshotOf(e)
	if e.Offset != f.status.Offset+1 {
		if !isSnapshot {
			return nil
		}
		return f.restore(data, e)
	}
	err := f.Apply(e)
	var newer *FormatError
	if errors.As(err, &newer) {
		f.status.Stopped = newer
	}
	if err != nil {
		return err
	}
	f.advance(e, isSnapshot)
	return nil
}

// snapshotOf returns the state of a valid snapshot entry.
func (f *Follower) snapshotOf(e Entry) ([]byte, bool) {
	if f.disabled&guardSnapshot != 0 {
		r, err := DecodeRecord(e.Data, f.Format)
		return r.Body, err == nil && r.Kind == KindSnapshot
	}
	return SnapshotOf(e, f.Format)
}

// restore takes the state of the snapshot in the entry.
func (f *Follower) restore(data []byte, e Entry) error {
	if err := f.Restore(data, e.Offset); err != nil {
		return errors.Wrapf(err, "restore snapshot at offset %d of stream %q", e.Offset, f.Stream)
	}
	f.advance(e, true)
	return nil
}

// advance moves the position to an entry that was folded.
func (f *Follower) advance(e Entry, isSnapshot bool) {
	f.status.Offset = e.Offset
	f.status.End = max(f.status.End, e.Offset)
	f.entries++
	if isSnapshot {
		f.entries = 0
		f.snapshotAt = e.Offset
		f.writeBack = false
		f.spread = random(f.Jitter)
	}
	if isSnapshot || f.newest.IsZero() {
		f.newest = e.Time
	}
}
