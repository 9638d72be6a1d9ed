package journal

import (
	"context"

	"github.com/cockroachdb/errors"
)

// away notes that the log is away and takes the newest state of the peers.
func (f *Follower) away(ctx context.Context, cause error) error {
	f.mu.Lock()
	if f.awaySince.IsZero() {
		f.awaySince = f.now()
	}
	f.mu.Unlock()
	if peer, err := f.askPeers(ctx); err == nil && peer.Offset > 0 {
		err = f.takePeer(peer)
		return errors.CombineErrors(cause, err)
	}
	return cause
}

// askPeers returns the newest state of the peers.
func (f *Follower) askPeers(ctx context.Context) (PeerState, error) {
	if f.PeerState == nil {
		return PeerState{}, errors.Newf("follower of stream %q has no peers", f.Stream)
	}
	return f.PeerState(ctx, f.Status().Offset)
}

// takePeer takes a peer's state when it is newer than the own one. With the
// newest state of all that can be reached, the follower is ready, unless they
// all are as new as itself.
func (f *Follower) takePeer(peer PeerState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.End = max(f.status.End, peer.Offset)
	if f.status.Stopped != nil {
		return f.status.Stopped
	}
	if peer.Offset > f.status.Offset || f.disabled&guardNewest != 0 {
		if err := f.Restore(peer.Data, peer.Offset); err != nil {
			return errors.Wrapf(err, "restore a peer's state at offset %d of stream %q", peer.Offset, f.Stream)
		}
		f.status.Offset = peer.Offset
		f.status.Source = SourcePeer
	}
	f.status.Ready = f.status.Ready || !peer.NoneReady
	return nil
}

// catchUp goes on after the entries behind the state's offset expired: with the
// newest snapshot of the log, else with the newest state of the peers, which
// is then written back. Lost entries are skipped only when no one has them.
func (f *Follower) catchUp(ctx context.Context, page Page) error {
	f.noteEnd(page.Next - 1)
	found, err := f.restoreNewest(ctx, page.First, page.Next)
	if err != nil {
		return f.away(ctx, err)
	}
	if found {
		return nil
	}
	peer, err := f.askPeers(ctx)
	if err == nil && peer.Offset > 0 {
		if err := f.takePeer(peer); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeBack = true
	if f.status.Offset+1 >= page.First {
		return nil
	}
	return f.skip(page.First-1, err == nil && peer.Complete)
}

// noteEnd keeps the newest offset known to exist.
func (f *Follower) noteEnd(end Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.End = max(f.status.End, end)
}

// skip moves the state over lost entries, when nobody can have their state.
func (f *Follower) skip(to Offset, complete bool) error {
	complete = complete || f.disabled&guardComplete != 0
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

// restoreNewest takes the newest valid snapshot that the log keeps, when it is
// newer than the state. It searches from the log's end.
func (f *Follower) restoreNewest(ctx context.Context, first, next Offset) (bool, error) {
	for high := next; high > first; {
		low := max(first, high-pageEntries)
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

// restoreLast takes the last valid snapshot among the entries that is newer
// than the state and can be restored.
func (f *Follower) restoreLast(entries []Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if e.Offset <= f.status.Offset && f.disabled&guardNewest == 0 {
			return false
		}
		if data, ok := f.snapshotOf(e); ok && f.restore(data, e) == nil {
			return true
		}
	}
	return false
}
