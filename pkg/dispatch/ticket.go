package dispatch

import (
	"slices"
	"time"
)

// Ticket is one request on its way to a place.
type Ticket struct {
	Service           string
	Model             string    // empty for a plain service
	DataCentre        string    // of this instance; places there are preferred
	Priority          int       // 0 goes first
	PromptTokens      int       // tokens to read before the first event
	LatestOnTimeStart time.Time // latest time to start running for an answer within its latency objective
	LatestStart       time.Time // latest time to start running at all
	Tried             []string  // places that failed it already

	Arrived time.Time // set by Offer when it is zero

	place   *place
	placed  time.Time
	reading bool // its prompt counts at the place
	waiting bool
}

// Place returns the place that the ticket holds, or an empty one.
func (t *Ticket) Place() Place {
	if t.place == nil {
		return Place{}
	}
	return t.place.Place
}

// before reports whether t gets a free place before other.
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
