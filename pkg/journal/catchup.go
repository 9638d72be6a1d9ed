package journal

import (
	"context"

	"github.com/cockroachdb/errors"
)

// handleUnavailable records since when the log cannot be read, and restores the
// newest state of the peers. It returns cause, combined with an error of the
// restore.
func (f *Follower) handleUnavailable(ctx context.Context, cause error) error {
	f.mu.Lock()
	if f.unavailableSince.IsZero() {
		f.unavailableSince = f.now()
	}
	f.mu.Unlock()
	if peer, err := f.fetchPeerState(ctx); err == nil && peer.Offset > 0 {
		err = f.restoreFromPeer(peer)
		return errors.CombineErrors(cause, err)
	}
	return cause
}

// fetchPeerState returns the newest state that a reachable peer has.
func (f *Follower) fetchPeerState(ctx context.Context) (PeerState, error) {
	if f.PeerState == nil {
		return PeerState{}, errors.Newf("follower of stream %q has no peers", f.Stream)
	}
	return f.PeerState(ctx, f.Status().Offset)
}

// restoreFromPeer restores a peer's state if it is newer than the follower's
// own. The follower becomes ready, since it then has the newest state of all
// reachable peers, unless none of those peers is ready itself.
func (f *Follower) restoreFromPeer(peer PeerState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.End = max(f.status.End, peer.Offset)
	if f.status.Stopped != nil {
		return f.status.Stopped
	}
	if peer.Offset > f.status.Offset || f.disabledGuards&guardNewerOnly != 0 {
		if err := f.Restore(peer.Data, peer.Offset); err != nil {
			return errors.Wrapf(err, "restore a peer's state at offset %d of stream %q", peer.Offset, f.Stream)
		}
		f.status.Offset = peer.Offset
		f.status.Source = SourcePeer
	}
	f.status.Ready = f.status.Ready || !peer.NoneReady
	return nil
}

// catchUp recovers after the entries that follow the state's offset expired. It
// restores the newest snapshot on the log, or else the newest state of the
// peers, which is then written to the log as a snapshot. Lost entries are
// skipped only if no peer's state includes them.
func (f *Follower) catchUp(ctx context.Context, page Page) error {
	f.raiseEnd(page.Next - 1)
	restored, err := f.restoreNewest(ctx, page.First, page.Next)
	if err != nil {
		return f.handleUnavailable(ctx, err)
	}
	if restored {
		return nil
	}
	peer, err := f.fetchPeerState(ctx)
	if err == nil && peer.Offset > 0 {
		if err := f.restoreFromPeer(peer); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotRequired = true
	if f.status.Offset+1 >= page.First {
		return nil
	}
	return f.skipTo(page.First-1, err == nil && peer.Complete)
}

// raiseEnd raises Status.End to end if that is newer.
func (f *Follower) raiseEnd(end Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.End = max(f.status.End, end)
}

// skipTo advances the state past lost entries if every listed peer has answered,
// which complete says, and the follower has a state of its own, or if an operator
// called SkipLost. Otherwise it returns ErrLost, since another instance may have
// a state that includes the entries.
func (f *Follower) skipTo(to Offset, complete bool) error {
	complete = complete || f.disabledGuards&guardAllPeers != 0
	if !f.skipLost && !(complete && f.status.Offset > 0) {
		f.status.Lost = true
		return errors.Wrapf(ErrLost, "stream %q: entries %d to %d", f.Stream, f.status.Offset+1, to)
	}
	data, err := f.Snapshot()
	if err != nil {
		return err
	}
	if err := f.Restore(data, to); err != nil {
		return err
	}
	f.status.Offset = to
	f.status.Lost = false
	f.skipLost = false
	return nil
}

// restoreNewest restores the newest valid snapshot on the log if it is newer
// than the state, and reports whether it did. It searches backwards from the
// log's end.
func (f *Follower) restoreNewest(ctx context.Context, first, next Offset) (bool, error) {
	for high := next; high > first; {
		low := max(first, high-maxPageEntries)
		page, err := f.Log.Read(ctx, f.Stream, low, int(high-low), 0)
		if errors.Is(err, ErrExpired) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if f.restoreLast(page.Entries) {
			return true, nil
		}
		high = low
	}
	return false, nil
}

// restoreLast restores the last valid snapshot among the entries that is newer
// than the state and that Restore accepts. It reports whether it found one.
func (f *Follower) restoreLast(entries []Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if e.Offset <= f.status.Offset && f.disabledGuards&guardNewerOnly == 0 {
			return false
		}
		if data, ok := f.snapshotOf(e); ok && f.restore(data, e) == nil {
			return true
		}
	}
	return false
}
