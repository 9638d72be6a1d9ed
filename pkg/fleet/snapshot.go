package fleet

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// snapshot is the body of a snapshot record: a state without its offset.
type snapshot struct {
	Format   int
	Changed  Version
	InForce  string
	Config   Config
	Versions []itemVersion
	Removed  []itemVersion `json:",omitempty"`
	Verdicts []Verdict     `json:",omitempty"`
}

// Encode returns the state as the body of a snapshot record that presumes the
// state's offset.
func (s State) Encode() ([]byte, error) {
	snap := snapshot{
		Format:   Format,
		Changed:  s.lastChange,
		InForce:  s.inForce,
		Config:   s.config,
		Removed:  s.removed,
		Verdicts: s.verdicts,
	}
	for _, i := range slices.SortedFunc(maps.Keys(s.versions), compareItems) {
		snap.Versions = append(snap.Versions, itemVersion{i, s.versions[i]})
	}
	data, err := json.Marshal(snap)
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore returns the state of the snapshot with the given offset. It returns a
// *journal.FormatError if the snapshot has a newer format.
func Restore(data []byte, at journal.Offset) (State, error) {
	var format struct{ Format int }
	if err := json.Unmarshal(data, &format); err == nil && format.Format > Format {
		return State{}, &journal.FormatError{Format: format.Format, Highest: Format}
	}
	var snap snapshot
	if err := (journal.Record{Kind: journal.KindSnapshot, Body: data}).DecodeBody(&snap); err != nil {
		return State{}, err
	}
	s := State{
		config:     snap.Config.sorted(),
		inForce:    snap.InForce,
		lastChange: snap.Changed,
		removed:    snap.Removed,
		verdicts:   snap.Verdicts,
	}
	for _, v := range snap.Versions {
		if s.versions == nil {
			s.versions = make(map[Item]Version, len(snap.Versions))
		}
		s.versions[v.Item] = v.Version
	}
	return s.withOffset(at), nil
}
