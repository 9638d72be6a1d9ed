package placement

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Format      int
	Offset      journal.Offset
	Table       Table
	Previous    Table
	Leases      []Lease
	Groups      []Group
	Claims      []Claim
	Quarantines []Quarantine
	Verdicts    []Verdict
}

// Snapshot encodes the state for Restore.
func (s State) Snapshot() ([]byte, error) {
	var verdicts []Verdict
	for _, chunk := range s.verdicts.chunks {
		verdicts = append(verdicts, chunk...)
	}
	return json.Marshal(snapshot{
		Format:      Format,
		Offset:      s.offset,
		Table:       s.table,
		Previous:    s.previous,
		Leases:      sorted(s.leases),
		Groups:      s.Groups(),
		Claims:      s.Claims(),
		Quarantines: s.Quarantines(),
		Verdicts:    verdicts,
	})
}

// Restore decodes a snapshot. The argument at is the offset of the log entry with
// the snapshot, which becomes the state's offset if it is higher, or 0 to keep the
// offset in the snapshot. Restore returns ErrNewerFormat if the snapshot has a
// newer format.
func Restore(data []byte, at journal.Offset) (State, error) {
	var header struct{ Format int }
	if err := json.Unmarshal(data, &header); err != nil {
		return State{}, errors.Wrap(err, "placement snapshot is not readable")
	}
	if header.Format > Format {
		return State{}, ErrNewerFormat
	}
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return State{}, errors.Wrap(err, "placement snapshot is not readable")
	}
	s := snap.state()
	s.offset = max(s.offset, at)
	return s, nil
}

func (snap snapshot) state() State {
	s := State{offset: snap.Offset, table: snap.Table, previous: snap.Previous}
	s.entries = index(snap.Table.Members, func(e Entry) string { return e.Name })
	s.leases = index(snap.Leases, func(l Lease) string { return l.Duty })
	s.groups = index(snap.Groups, func(g Group) string { return g.Name })
	s.claims = index(snap.Claims, func(c Claim) string { return c.Server })
	s.quarantines = index(snap.Quarantines, func(q Quarantine) string { return q.Server })
	s.memberOf = make(map[string]string)
	for _, g := range snap.Groups {
		for _, m := range g.Members {
			s.memberOf[m.Name] = g.Name
		}
	}
	for _, v := range snap.Verdicts {
		s.verdicts = s.verdicts.with(v)
	}
	return s
}

func index[V any](values []V, key func(V) string) map[string]V {
	m := make(map[string]V, len(values))
	for _, v := range values {
		m[key(v)] = v
	}
	return m
}
