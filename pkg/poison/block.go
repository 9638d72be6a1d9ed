package poison

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// minAnswers is the number of other requests to a model whose answers during the crashes
	// show that its servers run.
	minAnswers = 5
	// minCrashes is the least number of crashes after which a part is blocked.
	minCrashes = 3

	// blockTime is how long a block lasts whose evidence is clear, and doubtfulBlockTime any
	// other. It doubles with each crash after its end, up to maxBlockTime.
	blockTime         = time.Minute
	doubtfulBlockTime = 20 * time.Second
	maxBlockTime      = 10 * time.Minute
	// blockMemory is how long the crashes of a blocked part are remembered, so that one
	// more blocks it again.
	blockMemory = 2 * maxBlockTime

	// turnTime is the mean time from the end of a block at one instance to that at the next,
	// in which that one learns of the trial of the other. maxTurnTime bounds their sum.
	turnTime    = 2 * time.Second
	maxTurnTime = 20 * time.Second
)

// Block is a decision to refuse requests.
type Block struct {
	Parts   []string // a request with all of them is refused
	Crashes []Cause  // that led to it
	// Contrast is set if answers to other requests showed that the servers run, and
	// ContrastBy is the peer that told of them, or empty.
	Contrast   bool
	ContrastBy string
	// Answered is set if a request with the part was answered before the crashes.
	Answered bool
	Until    time.Time // then one request is sent as a trial
}

// Cause is a crash that led to a block.
type Cause struct {
	Label  string // names the server and the request, or their hashes if a peer told of it
	ToldBy string // the peer, or empty if this instance saw it
}

// appliesTo reports whether a request has all parts of the block.
func (b Block) appliesTo(r Request) bool {
	return !slices.ContainsFunc(b.Parts, func(part string) bool { return !slices.Contains(r.Parts, part) })
}

// threshold is how many crashes, of how many requests and at how many moments, it takes to
// block a part.
type threshold struct{ crashes, requests, moments int }

// threshold returns the threshold for a part. contrast is set if other requests were
// answered during the crashes. Each earlier crash that an answer has cleared shows that
// servers crash beside the part without it being the cause, and so it takes one more.
func (s *suspect) threshold(contrast bool) threshold {
	switch {
	case contrast && !s.wasAnswered():
		return threshold{crashes: minCrashes, requests: 2, moments: 1}
	case contrast:
		return threshold{crashes: minCrashes + s.cleared, requests: 3, moments: 3}
	case !s.wasAnswered():
		return threshold{crashes: minCrashes + 1, requests: 2, moments: 2}
	}
	return threshold{crashes: 2*minCrashes + 2 + s.cleared, requests: 4, moments: 4}
}

// isReached reports whether crashes reach the threshold.
func (t threshold) isReached(crashes []crash) bool {
	return len(crashes) >= t.crashes && requestsIn(crashes) >= t.requests && momentsOf(crashes) >= t.moments
}

// blockOf returns the block that follows from the crashes of a suspect, if there is one.
func (b *Board) blockOf(s *suspect) (Block, bool) {
	if len(s.crashes) < minCrashes {
		return Block{}, false
	}
	contrast, answered := s.hasContrast(b.answers[s.model]), s.wasAnswered()
	crashes, least := b.unexplained(s), s.threshold(contrast)
	if !least.isReached(crashes) || (!contrast || answered) && b.hasOtherCause(s) {
		return Block{}, false
	}
	block := Block{Contrast: contrast, ContrastBy: s.contrastBy, Answered: answered}
	first := blockTime
	if !contrast || answered || b.hasRival(s) {
		first = doubtfulBlockTime
	}
	for _, other := range b.parts {
		if other == s || other.isNoLessSuspicious(s) && other.hasAll(s.crashes) {
			block.Parts = append(block.Parts, other.part)
		}
	}
	slices.Sort(block.Parts)
	for _, c := range crashes {
		block.Crashes = append(block.Crashes, Cause{Label: c.label, ToldBy: c.toldBy})
	}
	block.Until = blockedUntil(crashes, least.crashes, first).Add(b.turn(s.part, crashes))
	return block, true
}

// isNoLessSuspicious reports whether a part isn't cleared in comparison with another: by an
// answer, where the other has none.
func (s *suspect) isNoLessSuspicious(other *suspect) bool {
	return !s.wasAnswered() || other.wasAnswered()
}

// unexplained returns the crashes of a part without those that a more suspicious part
// explains: one that was never answered and was in crashes of several requests.
func (b *Board) unexplained(s *suspect) []crash {
	if !s.wasAnswered() {
		return s.crashes
	}
	var rest []crash
	for _, c := range s.crashes {
		explained := false
		for _, other := range b.parts {
			explained = explained || !other.wasAnswered() && other.has(c) && requestsIn(other.crashes) >= 2
		}
		if !explained {
			rest = append(rest, c)
		}
	}
	return rest
}

// hasRival reports whether a part without an answer was in several of the crashes, but not
// in all. Then two parts may crash servers, and this one may be sound.
func (b *Board) hasRival(s *suspect) bool {
	for _, other := range b.parts {
		if other == s || other.model != s.model || other.wasAnswered() {
			continue
		}
		shared := 0
		for _, c := range s.crashes {
			if other.has(c) {
				shared++
			}
		}
		if shared >= 2 && shared < len(s.crashes) {
			return true
		}
	}
	return false
}

// hasOtherCause reports whether many crashes of the model are explained neither by a part
// nor by any one other. Then the servers crash whatever the prompts hold.
func (b *Board) hasOtherCause(s *suspect) bool {
	since := s.crashes[0].at
	switch {
	case len(s.crashes) == maxCrashes:
		since = since.Add(sameCrash) // crashes that are no longer remembered of the part aren't others
	case s.wasAnswered():
		since = since.Add(-suspicionTime)
	}
	var others []crash
	for _, c := range b.recent[s.model] {
		if !c.at.Before(since) && !s.has(c) {
			others = append(others, c)
		}
	}
	allowed := len(s.crashes) / 4
	if len(others) <= allowed {
		return false
	}
	for _, other := range b.parts {
		if other.model != s.model || other.wasAnswered() {
			continue
		}
		left := 0
		for _, c := range others {
			if !other.has(c) {
				left++
			}
		}
		if left <= allowed {
			return false
		}
	}
	return true
}

// blockedUntil returns when a block ends that began with the nth crash and was first to
// last for d. Crashes before its end are those of requests that were under way.
func blockedUntil(crashes []crash, n int, d time.Duration) time.Time {
	until := crashes[n-1].at.Add(d)
	for _, c := range crashes[n:] {
		if !c.at.Before(until) {
			d = min(2*d, maxBlockTime)
		}
		until = c.at.Add(d)
	}
	return until
}

// turn returns how much longer a block lasts at this instance, which differs from one to
// the next.
func (b *Board) turn(part string, crashes []crash) time.Duration {
	if b.Instances == nil {
		return 0
	}
	all := min(time.Duration(max(b.Instances()-1, 0))*turnTime, maxTurnTime)
	draw := float64(longHashOf(fmt.Sprint(b.Instance, "/", part, "/", crashes[len(crashes)-1].request))) / math.MaxUint64
	return time.Duration(draw * float64(all))
}
