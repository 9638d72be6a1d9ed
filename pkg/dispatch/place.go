package dispatch

import (
	"time"
)

// Place takes requests: the head of a group, or a backend server of a plain service.
type Place struct {
	ID         string
	Service    string
	Model      string
	DataCentre string
	Address    string    // IP and port
	Slots      int       // requests that run side by side
	ColdUntil  time.Time // end of its cold start
	ColdRate   float64   // requests a second that it bears until then, from all instances; 0 means any
}

// Load is what one instance has running at a place.
type Load struct {
	Running int
	Reading int // prompt tokens of the requests without a first event
}

// place is a Place with what is known of its load and its results.
type place struct {
	Place
	own        Load
	remote     Load
	failing    float64 // moving share of failures, 0 to 1
	failedAt   time.Time
	doubtUntil time.Time // gets no new work before
	cold       float64   // requests that may be sent now while it is cold
	coldAt     time.Time
	gone       bool // no longer among the places; kept while requests run there
}

// Weights of a place's score; the lowest score is chosen.
const (
	// awayPenalty is the load, as a share of the slots, at which a place in
	// another data centre is as good as one at hand.
	awayPenalty = 0.12
	// readingWeight counts prompt tokens that are still to be read; a pass reads
	// about 2,000 and delays every stream of its group.
	readingWeight = 0.1 / 2048
	// failingWeight makes a place that fails half of its requests as bad as a full one.
	failingWeight = 2.0
	// failingMemory is the time in which a place's failures count half.
	failingMemory = 3 * time.Second
	// failingShare is the weight of one result in the moving share of failures.
	failingShare = 0.2
)

func (p *place) running() int { return p.own.Running + p.remote.Running }

func (p *place) reading() int { return p.own.Reading + p.remote.Reading }

func (p *place) free() bool { return p.running() < p.Slots }

// score tells how bad the place is for a ticket.
func (p *place) score(t *Ticket, now time.Time) float64 {
	score := float64(p.running()) / float64(max(p.Slots, 1))
	score += float64(p.reading()) * readingWeight
	score += p.failShare(now) * failingWeight
	if p.DataCentre != t.DataCentre {
		score += awayPenalty
	}
	return score
}

func (p *place) failShare(now time.Time) float64 {
	if p.failing == 0 {
		return 0
	}
	halves := now.Sub(p.failedAt).Seconds() / failingMemory.Seconds()
	return p.failing / (1 + halves)
}

// note records the result of a request.
func (p *place) note(now time.Time, failed bool) {
	share := p.failShare(now) * (1 - failingShare)
	if failed {
		share += failingShare
	}
	p.failing, p.failedAt = share, now
}

// bears reports whether a cold place may get one more request now, with an
// equal part of its rate for each of the instances.
func (p *place) bears(now time.Time, instances int) bool {
	if p.ColdRate <= 0 || !now.Before(p.ColdUntil) {
		return true
	}
	rate := p.ColdRate / float64(max(instances, 1))
	if p.coldAt.IsZero() {
		p.cold = 1
	} else {
		p.cold = min(p.cold+rate*now.Sub(p.coldAt).Seconds(), max(1, rate))
	}
	p.coldAt = now
	return p.cold >= 1
}
