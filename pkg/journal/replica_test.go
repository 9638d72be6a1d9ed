package journal_test

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/journal/journaltest"
	"github.com/cockroachdb/errors"
)

const (
	stream     = "config"
	kindChange = "Change"
)

// replica is a follower whose state is the list of the offsets of all changes.
type replica struct {
	journal.Follower
	offset  journal.Offset
	changes []journal.Offset
	applied []journal.Entry // entries passed to Apply
}

func newReplica(log *journaltest.Log) *replica {
	r := &replica{}
	r.Log = log.Client()
	r.Stream = stream
	r.Format = 1
	r.Wait = time.Nanosecond
	r.Apply = r.apply
	r.Restore = r.restore
	r.Snapshot = func() ([]byte, error) { return json.Marshal(r.changes) }
	r.Due = func(time.Duration, int) bool { return false }
	return r
}

func (r *replica) apply(e journal.Entry) error {
	record, err := journal.DecodeRecord(e.Data, r.Format)
	if err != nil {
		return err
	}
	r.applied = append(r.applied, e)
	if data, ok := journal.SnapshotOf(e, r.Format); ok {
		return r.restore(data, e.Offset)
	}
	r.offset = e.Offset
	if record.Kind == kindChange {
		r.changes = append(slices.Clip(r.changes), e.Offset)
	}
	return nil
}

func (r *replica) restore(data []byte, at journal.Offset) error {
	r.changes = nil
	r.offset = at
	return json.Unmarshal(data, &r.changes)
}

// peerStateFrom returns a PeerState function that returns the newest state of the
// replicas returned by others.
func peerStateFrom(others func() (replicas []*replica, complete bool)) func(context.Context, journal.Offset) (journal.PeerState, error) {
	return func(context.Context, journal.Offset) (journal.PeerState, error) {
		replicas, complete := others()
		if len(replicas) == 0 {
			return journal.PeerState{}, errors.New("no peer answers")
		}
		newest := journal.PeerState{Complete: complete, NoneReady: true}
		for _, r := range replicas {
			newest.NoneReady = newest.NoneReady && !r.Status().Ready
			if r.offset > newest.Offset || newest.Data == nil {
				newest.Offset = r.offset
				newest.Data, _ = r.Snapshot()
			}
		}
		return newest, nil
	}
}

// record returns an encoded record with a new ID.
func record(kind string, presumes journal.Offset, body []byte) []byte {
	data, err := journal.Record{
		Format:   1,
		ID:       journal.NewID(),
		Kind:     kind,
		Presumes: presumes,
		Body:     body,
	}.Encode()
	if err != nil {
		panic(err)
	}
	return data
}
