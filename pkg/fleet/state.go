package fleet

import (
	"maps"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// IDWindow is how many offsets the verdict of a record is remembered. A record
// whose After lies further back is refused, so no copy of a record can outlive
// the memory of its ID.
const IDWindow journal.Offset = 512

// Version says which record wrote an item last.
type Version struct {
	Offset journal.Offset // 0 when the item does not exist
	Writer string         `json:",omitempty"`
}

// State is the replicated state machine of the configuration stream: an
// immutable value that holds the configuration after all entries up to Offset.
// The zero State is that of an empty stream.
type State struct {
	offset   journal.Offset
	stopped  *journal.FormatError
	config   Config
	inForce  string
	changed  Version
	versions map[Item]Version
	removed  []itemVersion // by offset, at most IDWindow back
	verdicts []Verdict     // by offset, at most IDWindow back
	disabled guardSet
}

// itemVersion is the version of one item.
type itemVersion struct {
	Item
	Version
}

// guardSet are the checks that tests switch off to see that they matter.
type guardSet uint

const (
	guardIDs guardSet = 1 << iota
	guardPresumes
	guardInForce
	guardSnapshot
	guardFormat
	guardAge
)

// Offset returns the offset of the newest entry that the state includes.
func (s State) Offset() journal.Offset { return s.offset }

// Config returns the configuration.
func (s State) Config() Config { return s.config }

// Changed returns the version of the newest accepted change.
func (s State) Changed() Version { return s.changed }

// Preset returns the preset in force. It returns false only before the first
// fleet was imported.
func (s State) Preset() (Preset, bool) { return s.config.Preset(s.inForce) }

// Behind returns the error of the entry right after Offset that this release
// cannot read, or nil. A state that is behind stays as it is.
func (s State) Behind() error {
	if s.stopped == nil {
		return nil
	}
	return s.stopped
}

// VersionOf returns the version of an item, the zero Version when the item does
// not exist.
func (s State) VersionOf(i Item) Version {
	if i.Kind == ItemFleet {
		return s.changed
	}
	return s.versions[i]
}

// Verdict returns the verdict of a recent record.
func (s State) Verdict(id string) (Verdict, bool) {
	for _, v := range slices.Backward(s.verdicts) {
		if v.ID == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// withOffset returns the state at the offset, without what is too old to be
// remembered there.
func (s State) withOffset(at journal.Offset) State {
	s.offset = at
	oldest := at - IDWindow
	for len(s.verdicts) > 0 && s.verdicts[0].Offset <= oldest {
		s.verdicts = s.verdicts[1:]
	}
	for len(s.removed) > 0 && s.removed[0].Offset <= oldest {
		s.removed = s.removed[1:]
	}
	return s
}

// withVerdict returns the state with the verdict remembered.
func (s State) withVerdict(v Verdict) State {
	s.verdicts = append(slices.Clip(s.verdicts), v)
	return s
}

// withVersion returns the state after the version wrote the item, or removed
// it when it no longer exists.
func (s State) withVersion(i Item, v Version, exists bool) State {
	s.changed = v
	s.versions = maps.Clone(s.versions)
	if s.versions == nil {
		s.versions = make(map[Item]Version)
	}
	if exists {
		s.versions[i] = v
		return s
	}
	delete(s.versions, i)
	s.removed = append(slices.Clip(s.removed), itemVersion{i, v})
	return s
}

// withFleetVersion returns the state after the version wrote every item.
func (s State) withFleetVersion(v Version) State {
	old := s.versions
	s.changed = v
	s.versions = make(map[Item]Version)
	for i := range s.config.items() {
		s.versions[i] = v
	}
	s.removed = slices.Clip(s.removed)
	for _, i := range slices.SortedFunc(maps.Keys(old), compareItems) {
		if _, stays := s.versions[i]; !stays {
			s.removed = append(s.removed, itemVersion{i, v})
		}
	}
	return s
}

// winner returns the version that a conflicting record lost to.
func (s State) winner(i Item) Version {
	if v := s.VersionOf(i); v.Offset != 0 {
		return v
	}
	for _, r := range slices.Backward(s.removed) {
		if r.Item == i {
			return r.Version
		}
	}
	return Version{}
}
