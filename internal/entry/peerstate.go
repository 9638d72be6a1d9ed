package entry

import (
	"context"
	"slices"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/lease"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// peerState returns the newest state of a stream that other instances hold. It
// is complete only when all that the platform lists have answered.
func (s *Server) peerState(ctx context.Context, stream string, above journal.Offset) (journal.PeerState, error) {
	own := stream == placement.Stream(s.settings.DataCentre)
	listed, known := s.fleet.listedAddresses(own, s.settings.DataCentre)
	newest := journal.PeerState{Complete: known, NoneReady: true}
	for _, address := range union(s.members.Addresses(own), listed) {
		if address == s.settings.PeersAddress {
			continue
		}
		state, err := s.peers.FetchState(ctx, address, stream, int64(max(above, newest.Offset)))
		if err != nil {
			newest.Complete = newest.Complete && !slices.Contains(listed, address)
			continue
		}
		newest.NoneReady = newest.NoneReady && !state.GetReady()
		if offset := journal.Offset(state.GetOffset()); offset > newest.Offset {
			newest.Offset, newest.Data = offset, state.GetSnapshot()
		}
	}
	return newest, nil
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// fetchState answers another instance that asks for the state of a stream.
func (s *Server) fetchState(_ context.Context, stream string, after int64) (*peerpb.FetchStateReply, error) {
	switch stream {
	case configStream:
		state := s.config.State()
		return stateReply(s.config.Status().Ready, state.Offset(), after, state.Encode)
	case s.placement.Stream():
		state := s.placement.State()
		return stateReply(s.placement.Status().Ready, state.Offset(), after, state.Snapshot)
	}
	return &peerpb.FetchStateReply{}, nil
}

// stateReply holds a snapshot only when it is newer than what the asker has.
func stateReply(ready bool, offset journal.Offset, after int64, snapshot func() ([]byte, error)) (*peerpb.FetchStateReply, error) {
	reply := &peerpb.FetchStateReply{Offset: int64(offset), Ready: ready}
	if int64(offset) <= after {
		return reply, nil
	}
	var err error
	reply.Snapshot, err = snapshot()
	return reply, err
}

// writesSnapshots reports whether this instance writes the next snapshot.
func (s *Server) writesSnapshots(stream string) bool {
	return lease.Owner(stream, s.aliveNames()) == s.settings.Name
}
