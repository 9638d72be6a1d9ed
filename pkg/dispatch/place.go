package dispatch

import (
	"time"
)

// Place is where a request can run: the head of a group, or a backend server of a
// plain service.
type Place struct {
	ID         string
	Service    string
	Model      string
	DataCentre string
	Address    string    // IP and port
	Run        int64     // higher in each run of a server with the same ID; 0 if not known
	Slots      int       // number of requests that can run concurrently
	ColdUntil  time.Time // end of its cold start
	ColdRate   float64   // limit in requests per second until then, from all instances together; 0 means no limit
}

// Load is the load that the requests of an instance cause at a place.
type Load struct {
	Running      int // requests
	PromptTokens int // prompt tokens of the running requests that have had no event yet
}

// placeState is a Place with its current load and recent results.
type placeState struct {
	Place
	ownLoad          Load
	peerLoad         Load
	failures         float64       // moving average of failures when it was last updated, 0 to 1
	failuresAt       time.Time     // when failures was last updated
	failing          bool          // counts as failing by the results of this instance
	failingUntil     time.Time     // until when a peer's report that it fails requests counts
	avoidUntil       time.Time     // gets no new requests before this time
	coldPeriod       time.Duration // between two turns of this instance to send to it during its cold start
	firstPeriodStart time.Time     // start of the period before the first turn
	lastTurn         int64         // number of the last turn that was used; 0 for none
	preference       float64       // cost that this instance adds, see the function of that name
	removed          bool          // was left out of the last SetPlaces; kept while requests run there
}

// Weights of a place's score; the lowest score is chosen.
const (
	// otherDataCentrePenalty is the extra utilization at which a local place scores
	// like an otherwise equal place in another data centre.
	otherDataCentrePenalty = 0.12
	// promptTokenWeight is the score per prompt token that is not processed yet. A
	// pass processes about 2,000 tokens and delays all streams of the group.
	promptTokenWeight = 0.1 / 2048
	// failureWeight makes a place that fails half of its requests score like a full one.
	failureWeight = 2.0
	// failureHalfTime is the time without results after which a place's failures count half.
	failureHalfTime = 3 * time.Second
	// failureSmoothing is the weight of one result in the moving average of failures.
	failureSmoothing = 0.2
)

func (p *placeState) running() int { return p.ownLoad.Running + p.peerLoad.Running }

func (p *placeState) promptTokens() int { return p.ownLoad.PromptTokens + p.peerLoad.PromptTokens }

func (p *placeState) free() bool { return p.running() < p.Slots }

// score returns the cost of running a ticket at the place with a capacity; lower is better.
func (p *placeState) score(t *Ticket, now time.Time, capacity float64) float64 {
	score := float64(p.running()) / max(capacity, 1)
	score += float64(p.promptTokens()) * promptTokenWeight
	score += p.knownFailureShare(now) * failureWeight
	if p.DataCentre != t.DataCentre {
		score += otherDataCentrePenalty
	}
	return score
}

// failureShare returns the share of failures, reduced by the time since the last result.
func (p *placeState) failureShare(now time.Time) float64 {
	if p.failures == 0 {
		return 0
	}
	halfTimes := now.Sub(p.failuresAt).Seconds() / failureHalfTime.Seconds()
	return p.failures / (1 + halfTimes)
}

const (
	// failingShare is the share of failures from which on a place counts as failing: two in
	// a row after successes. It does so until the share falls below recoveredShare.
	failingShare   = 0.35
	recoveredShare = 0.2
	// reportedShare is the share of failures that a peer's report stands for.
	reportedShare = 0.8
	// failingTimeout is how long such a report counts.
	failingTimeout = 1500 * time.Millisecond
	// failureExponent makes a place that fails half of its requests get a sixteenth of
	// what it would get.
	failureExponent = 4
)

// knownFailureShare is like failureShare, but takes the reports of peers into account.
func (p *placeState) knownFailureShare(now time.Time) float64 {
	if now.Before(p.failingUntil) {
		return max(p.failureShare(now), reportedShare)
	}
	return p.failureShare(now)
}

// noteResult adds the result of a request to the moving average of failures.
func (p *placeState) noteResult(now time.Time, failed bool) {
	share := p.failureShare(now) * (1 - failureSmoothing)
	if failed {
		share += failureSmoothing
	}
	p.failures, p.failuresAt = share, now
}

const (
	// coldRateShare is the share of a cold place's rate that the instances use. The
	// margin is for turns of several instances that happen to coincide, since they
	// are not coordinated.
	coldRateShare = 0.6
	// coldTurnDuration is the time within which a turn can be used. It is short so
	// that idle instances don't all hold an unused turn when a burst arrives.
	coldTurnDuration = 250 * time.Millisecond
)

// hasTurn reports whether this instance may send a request to a cold place now.
// Each instance has one turn in each period, starting at a random time. An unused
// turn expires, so when a burst arrives at all instances at once, only some of them
// have a turn.
func (p *placeState) hasTurn(now time.Time, t turnSchedule) bool {
	turn := p.currentTurn(now, t)
	return turn > p.lastTurn && now.Sub(p.firstPeriodStart)-time.Duration(turn)*p.coldPeriod < coldTurnDuration
}

// turnSchedule determines the turns of an instance at a cold place.
type turnSchedule struct {
	random func() float64 // returns a random number in [0, 1)
	period time.Duration  // between two turns
}

// currentTurn returns the number of the latest turn of this instance; the first is
// 1. The numbering restarts when the period changes, which happens when the number
// of instances changes.
func (p *placeState) currentTurn(now time.Time, t turnSchedule) int64 {
	if p.coldPeriod != t.period {
		p.coldPeriod, p.lastTurn = t.period, 0
		p.firstPeriodStart = now.Add(-time.Duration(t.random() * float64(t.period)))
	}
	return int64(now.Sub(p.firstPeriodStart) / t.period)
}
