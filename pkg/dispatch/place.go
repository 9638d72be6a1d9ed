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
	Running      int
	PromptTokens int // prompt tokens of the requests without a first event
}

// place is a Place with what is known of its load and its results.
type place struct {
	Place
	own        Load
	remote     Load
	failing    float64 // moving share of failures, 0 to 1
	failedAt   time.Time
	doubtUntil time.Time     // gets no new work before
	coldPeriod time.Duration // between turns to send to it while it is cold
	coldFrom   time.Time     // when the period before the first turn began
	coldTurn   int64         // the last turn that was used; 0 before the first
	gone       bool          // no longer among the places; kept while requests run there
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

func (p *place) reading() int { return p.own.PromptTokens + p.remote.PromptTokens }

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

const (
	// coldShare is the part of a cold place's rate that is used; instances that
	// don't know each other's turns may fall together.
	coldShare = 0.6
	// coldWindow is how long a turn lasts, so that many instances that wait for
	// work don't all keep one.
	coldWindow = 250 * time.Millisecond
)

// hasTurn reports whether a cold place may get a request now. Each of the instances
// has turns of its own, one a period, that begin at a random moment: a turn that
// isn't used is over, so that work that comes to all instances at once finds only
// some of them with a turn.
func (p *place) hasTurn(now time.Time, t turns) bool {
	turn := p.turn(now, t)
	return turn > p.coldTurn && now.Sub(p.coldFrom)-time.Duration(turn)*p.coldPeriod < coldWindow
}

// turns says how an instance's turns at a cold place are chosen.
type turns struct {
	draw   func() float64
	period time.Duration // between two turns
}

// turn numbers the turns of this instance, from 1 on. They begin anew when the
// number of instances changes.
func (p *place) turn(now time.Time, t turns) int64 {
	if p.coldPeriod != t.period {
		p.coldPeriod, p.coldTurn = t.period, 0
		p.coldFrom = now.Add(-time.Duration(t.draw() * float64(t.period)))
	}
	return int64(now.Sub(p.coldFrom) / t.period)
}
