package dispatch

import (
	"slices"
	"time"
)

// Ticket is a request that needs a place to run, or holds one. After a failure, the
// same request can be offered again.
type Ticket struct {
	Service           string
	Model             string    // empty for a plain service
	DataCentre        string    // of this instance; its places are preferred
	Priority          int       // 0 is the most urgent
	PromptTokens      int       // prompt tokens to process before the first event
	LatestOnTimeStart time.Time // latest start that can meet the latency objective
	LatestStart       time.Time // latest start; the request is refused after it
	Tried             []string  // IDs of places that have failed the request

	Arrived time.Time // set by Offer when it is zero

	place         *placeState
	placedAt      time.Time
	promptPending bool // its prompt tokens count towards the load of the place
	waiting       bool
}

// Place returns the place that the ticket holds, or the zero value if it holds none.
func (t *Ticket) Place() Place {
	if t.place == nil {
		return Place{}
	}
	return t.place.Place
}

// before reports whether t gets a free slot before other does.
func (t *Ticket) before(other *Ticket, now time.Time) bool {
	if a, b := now.Before(t.LatestOnTimeStart), now.Before(other.LatestOnTimeStart); a != b {
		return a
	}
	if t.Priority != other.Priority {
		return t.Priority < other.Priority
	}
	return t.Arrived.Before(other.Arrived)
}

func (t *Ticket) tried(id string) bool { return slices.Contains(t.Tried, id) }
