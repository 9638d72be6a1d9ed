package dispatch

import (
	"slices"
	"time"
)

// peerLoads holds the loads that a peer reported.
type peerLoads struct {
	loads      map[string]Load // by place ID
	receivedAt time.Time       // when the report was received
}

// SetPeerLoads replaces the loads that a peer reported, by place ID.
func (s *Scheduler) SetPeerLoads(now time.Time, instance string, loads map[string]Load) {
	if s.peers == nil {
		s.peers = map[string]peerLoads{}
	}
	s.addPeerLoads(s.peers[instance].loads, -1)
	s.peers[instance] = peerLoads{loads: loads, receivedAt: now}
	s.addPeerLoads(loads, 1)
	if now.Sub(s.peersExpiredAt) >= peerLoadsTimeout/4 {
		s.expirePeerLoads(now)
	}
}

// DropPeerLoads forgets the loads that all peers reported, also those of limited servers.
func (s *Scheduler) DropPeerLoads() {
	clear(s.peers)
	for _, p := range s.places {
		p.peerLoad = Load{}
	}
	s.limits.DropPeers()
}

// addPeerLoads adds loads to those of the places, or removes them if sign is -1.
func (s *Scheduler) addPeerLoads(loads map[string]Load, sign int) {
	for id, load := range loads {
		if p := s.places[id]; p != nil {
			p.peerLoad.Running += sign * load.Running
			p.peerLoad.PromptTokens += sign * load.PromptTokens
		}
	}
}

// expirePeerLoads removes the loads of the peers that have sent none for a while.
func (s *Scheduler) expirePeerLoads(now time.Time) {
	s.peersExpiredAt = now
	for instance, r := range s.peers {
		if now.Sub(r.receivedAt) > max(peerLoadsTimeout, peerLoadsLags*s.PeerLag) {
			s.addPeerLoads(r.loads, -1)
			delete(s.peers, instance)
		}
	}
}

// sumPeerLoads adds up the loads of the peers, without those that have expired.
func (s *Scheduler) sumPeerLoads(now time.Time) {
	s.expirePeerLoads(now)
	for _, p := range s.places {
		p.peerLoad = Load{}
	}
	for _, r := range s.peers {
		s.addPeerLoads(r.loads, 1)
	}
}

// Failing returns the IDs of the heads that have lately failed most requests of this
// instance. A head that fails them at once has free slots, and would get more and more.
func (s *Scheduler) Failing(now time.Time) []string {
	var failing []string
	for id, p := range s.places {
		if p.Model == "" {
			continue
		}
		share := p.failureShare(now)
		p.failing = share >= failingShare || p.failing && share >= recoveredShare
		if p.failing {
			failing = append(failing, id)
		}
	}
	slices.Sort(failing)
	return failing
}

// SetFailing records that a peer reported heads as failing. Where there are many
// instances, each alone would have to send several requests to each such head.
func (s *Scheduler) SetFailing(now time.Time, ids []string) {
	for _, id := range ids {
		if p := s.places[id]; p != nil {
			p.failingUntil = now.Add(failingTimeout)
		}
	}
}

// OwnLoads returns the load of this instance, by place ID.
func (s *Scheduler) OwnLoads() map[string]Load {
	own := make(map[string]Load, len(s.places))
	for id, p := range s.places {
		if p.ownLoad.Running > 0 {
			own[id] = p.ownLoad
		}
	}
	return own
}
