package entry

import (
	"context"
	"slices"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/lease"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// peerState returns the newest state of a stream after the offset that other entry
// instances hold. It is complete only if all entry instances that the platform lists
// have answered.
func (s *Server) peerState(ctx context.Context, stream string, after journal.Offset) (journal.PeerState, error) {
	localOnly := stream == placement.Stream(s.settings.DataCentre)
	listed, known := s.fleet.listedAddresses(localOnly, s.settings.DataCentre)
	newest := journal.PeerState{Complete: known, NoneReady: true}
	for _, address := range union(s.members.Addresses(localOnly), listed) {
		if address == s.settings.PeersAddress {
			continue
		}
		state, err := s.peers.FetchState(ctx, address, stream, int64(max(after, newest.Offset)))
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

// union returns the sorted addresses of both lists without duplicates.
func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// fetchState handles another instance's request for the state of a stream.
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

// stateReply returns a reply that holds a snapshot only if it is newer than the
// state of the instance that asked.
func stateReply(ready bool, offset journal.Offset, after int64, snapshot func() ([]byte, error)) (*peerpb.FetchStateReply, error) {
	reply := &peerpb.FetchStateReply{Offset: int64(offset), Ready: ready}
	if int64(offset) <= after {
		return reply, nil
	}
	var err error
	reply.Snapshot, err = snapshot()
	return reply, err
}

// writesSnapshots reports whether this instance writes the next snapshot of the
// stream.
func (s *Server) writesSnapshots(stream string) bool {
	return lease.Owner(stream, s.aliveNames()) == s.settings.Name
}
