package listing

//go:generate go tool stringer -type=Source,Event -output=listing_string.go

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// Source tells what brought a statement.
type Source int

// The sources.
const (
	OwnRead Source = iota // this instance has read the list
	Word                  // a keeper has told
	OwnKeep               // this instance is the keeper, and asks the servers
	Answer                // what answered at the server's address
)

// Statement tells how far a source had read the list at a time.
type Statement struct {
	Source Source
	From   string        // the keeper's name
	End    int64         // all records before this offset were read; 0 is not known
	At     time.Duration // when they were all, at the latest, on the clock of package boottime
}

// Newer reports whether a statement goes before another one: by offset, and by
// age where the offsets are equal or not known.
func (s Statement) Newer(than Statement) bool {
	if s.End > 0 && than.End > 0 && s.End != than.End {
		return s.End > than.End
	}
	return s.At > than.At
}

// Announcement is a keeper's word on the places of a data centre.
type Announcement struct {
	Statement
	// FollowedFrom is the offset from which on the keeper followed the list while the
	// store answered it, so that a removal there is no lapse for the store's sake.
	FollowedFrom int64
	Places       []dispatch.Place
	// Departures are servers of any data centre that the keeper lately read to have left.
	Departures []Departure
}

// Departure tells that a server's owner has taken it out.
type Departure struct {
	ID       string
	Offset   int64 // of the record
	Draining bool  // it is still listed
}
