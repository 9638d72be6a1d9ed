package instance

import (
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// peerVersionTimeout is how long the version of a peer's configuration counts. Each digest
// tells it again.
const peerVersionTimeout = 2 * time.Second

// neverConfirmed is long before any process started.
const neverConfirmed = -24 * time.Hour

// peerVersion is the newest version of the configuration that peers have in force.
type peerVersion struct {
	version int64
	since   time.Duration // when a peer first told of it
	heardAt time.Duration // when a peer last did
	logged  bool          // it was logged that the store lacks it
}

// NotePeerVersion records which version of the configuration a peer has in force. An
// instance that has just started may have read an older one from a restored store, so that
// its configuration counts as unproven until it has read once more.
func (s *State) NotePeerVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	switch {
	case version > s.peers.version, now-s.peers.heardAt > peerVersionTimeout:
		s.peers = peerVersion{version: version, since: now, heardAt: now}
	case version == s.peers.version:
		s.peers.heardAt = now
	}
	if s.isBehindPeers() && s.firstRead > 0 && now-s.firstRead < discoveryTime {
		s.disprove()
	}
}

// isBehindPeers reports whether a peer has a newer configuration. The caller holds the lock.
func (s *State) isBehindPeers() bool {
	return s.view.Catalog != nil && s.view.Catalog.Version() < s.peers.version && s.clock()-s.peers.heardAt <= peerVersionTimeout
}

// confirm records that a read which began at a time showed no newer configuration than the
// one in force. If a peer has told of a newer one before that, the store has lost it. The
// caller holds the lock.
func (s *State) confirm(began time.Duration) {
	switch {
	case !s.isBehindPeers():
		s.view.ConfirmedAt = max(s.view.ConfirmedAt, began)
	case began > s.peers.since:
		s.disprove()
	}
}

// disprove makes the configuration count as not proven to be the newest. The caller holds
// the lock.
func (s *State) disprove() {
	s.view.ConfirmedAt = neverConfirmed
	if !s.peers.logged {
		s.peers.logged = true
		s.log.Warn("peers have a newer configuration than the store", telemetry.Fields{"version": s.view.Catalog.Version(), "peers": s.peers.version})
	}
}
