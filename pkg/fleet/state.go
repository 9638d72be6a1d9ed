package fleet

import (
	"maps"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// IDWindow is the number of entries for which the verdict of a record is kept. A record
// whose After is further back is refused. Otherwise a late copy of a record could be
// accepted again after the verdict of the first copy was dropped.
const IDWindow journal.Offset = 512

// Version identifies the record that last changed an item.
type Version struct {
	Offset journal.Offset // 0 if the item does not exist
	Writer string         `json:",omitempty"`
}

// State is the replicated state machine of the configuration stream. It is an immutable
// value with the configuration after all entries up to Offset. The zero State is that of
// an empty stream.
type State struct {
	offset     journal.Offset
	stopped    *journal.FormatError
	config     Config
	inForce    string
	lastChange Version
	versions   map[Item]Version
	removed    []itemVersion // sorted by offset, at most IDWindow old
	verdicts   []Verdict     // sorted by offset, at most IDWindow old
	disabled   guardSet
}

// itemVersion is the version of one item.
type itemVersion struct {
	Item
	Version
}

// guardSet is a set of checks that a test disables to prove that each one is needed.
type guardSet uint

const (
	guardIDs      guardSet = 1 << iota // a later copy of a record has no effect
	guardPresumes                      // a record must presume the item's current version
	guardInForce                       // the preset in force can't be removed
	guardSnapshot                      // a snapshot must cover all entries before it
	guardFormat                        // an entry with a newer format stops the state
	guardAge                           // a record that is older than IDWindow is refused
)

// Offset returns the offset of the newest entry that the state includes.
func (s State) Offset() journal.Offset { return s.offset }

// Config returns the configuration.
func (s State) Config() Config { return s.config }

// LastChange returns the version of the newest accepted change.
func (s State) LastChange() Version { return s.lastChange }

// Preset returns the preset in force. It returns false only if no fleet has been
// imported yet.
func (s State) Preset() (Preset, bool) { return s.config.Preset(s.inForce) }

// Stopped returns a *journal.FormatError if the entry after Offset has a format that this
// release can't read, else nil. A stopped state never changes.
func (s State) Stopped() error {
	if s.stopped == nil {
		return nil
	}
	return s.stopped
}

// VersionOf returns the version of an item, or the zero Version if the item does not
// exist.
func (s State) VersionOf(i Item) Version {
	if i.Kind == ItemFleet {
		return s.lastChange
	}
	return s.versions[i]
}

// Verdict returns the verdict about the record with the ID. It returns false for
// unknown records and for those older than IDWindow.
func (s State) Verdict(id string) (Verdict, bool) {
	for _, v := range slices.Backward(s.verdicts) {
		if v.ID == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// withOffset returns the state at the offset, without the verdicts and removed items
// that are IDWindow or more entries old there.
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

// withVerdict returns the state with the verdict added.
func (s State) withVerdict(v Verdict) State {
	s.verdicts = append(slices.Clip(s.verdicts), v)
	return s
}

// withVersion returns the state in which the record of the version has changed the item,
// or has removed it if exists is false.
func (s State) withVersion(i Item, v Version, exists bool) State {
	s.lastChange = v
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

// withFleetVersion returns the state in which the record of the version has replaced
// every item.
func (s State) withFleetVersion(v Version) State {
	old := s.versions
	s.lastChange = v
	s.versions = make(map[Item]Version)
	for i := range s.config.items() {
		s.versions[i] = v
	}
	s.removed = slices.Clip(s.removed)
	for _, i := range slices.SortedFunc(maps.Keys(old), compareItems) {
		if _, exists := s.versions[i]; !exists {
			s.removed = append(s.removed, itemVersion{i, v})
		}
	}
	return s
}

// winner returns the version that a conflicting record lost to, also if the item was
// removed recently.
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
