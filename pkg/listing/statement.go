package listing

//go:generate go tool stringer -type=Source,Event -output=listing_string.go

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/position"
)

// Source is the kind of source that a statement comes from.
type Source int

const (
	OwnRead Source = iota // a read of the list by this instance
	Word                  // an announcement of a keeper
	OwnKeep               // reports that this instance requested as the keeper
	Answer                // the answer of another server at the server's address
)

// Statement states how far a source had read the list at a time.
type Statement struct {
	Source Source
	From   string            // name of the keeper, for Word
	End    position.Position // after the last record that was read; 0 means unknown
	At     time.Duration     // latest known time at which there were no further records, on the clock of package boottime
}

// Newer reports whether s takes precedence over another statement. It compares the
// positions, or the times if the positions are equal or one of them is unknown.
func (s Statement) Newer(than Statement) bool {
	if s.End > 0 && than.End > 0 && s.End != than.End {
		return s.End > than.End
	}
	return s.At > than.At
}

// Announcement is a keeper's announcement of the places of a data centre.
type Announcement struct {
	Statement
	// FollowedFrom is the position from which on the keeper followed the list without a store
	// outage, so a removal there was not caused by an outage.
	FollowedFrom position.Position
	Places       []dispatch.Place
	// Departures holds the servers of any data centre that left recently according to the
	// keeper's reads.
	Departures []Departure
}

// Departure is the departure of a server: its owner removed it or is draining it.
type Departure struct {
	ID       string
	Offset   position.Position // of the record that states it
	Draining bool              // the entry still exists, but the server is draining
}
