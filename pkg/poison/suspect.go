package poison

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// sameCrash is the time within which failures at a server belong to one crash.
	sameCrash = time.Second
	// moment is the time within which crashes of several servers may have one cause.
	moment = 300 * time.Millisecond
	// suspicionTime is how long the crashes of a part that isn't blocked count.
	suspicionTime = 30 * time.Second
	// reportDelay exceeds the usual delay of a report, by which its crashes seem too new.
	reportDelay = 300 * time.Millisecond
	// trialTime is how long a request that is sent as a trial may take until another one is
	// sent.
	trialTime = 3 * time.Second
)

// suspect is what is known of a part that was in crashes.
type suspect struct {
	part, model string
	crashes     []crash   // in the order of their time, all later than answeredAt
	answeredAt  time.Time // of the last answer that went on; zero if none is remembered
	cleared     int       // crashes that answers have cleared
	answers     int       // to requests of the model when the first crash became known
	contrastBy  string    // the peer that has seen enough answers since
	newsAt      time.Time // when a crash or an answer was last noted that peers may not know
	trial       uint32    // hash of the ID of the request that was last sent as a trial
	trialAt     time.Time
}

// crash is a crash of a server that ran a request with the part.
type crash struct {
	server, request uint32
	at              time.Time
	label           string // names the server and the request, for the log
	toldBy          string // the peer that told of it; empty if this instance saw it
}

// same reports whether c and other are the same crash of a server.
func (c crash) same(other crash) bool {
	return c.server == other.server && c.at.Sub(other.at).Abs() < sameCrash
}

// add adds a crash unless it is known or older than the last answer. answers is the
// number of requests to the model that have been answered so far.
func (s *suspect) add(now time.Time, c crash, answers int) {
	if s.wasAnswered() && !c.at.After(s.answeredAt.Add(reportDelay)) {
		s.newsAt = now // a peer that reports the crash doesn't know of the answer
		return
	}
	if s.has(c) {
		return
	}
	if len(s.crashes) == 0 {
		s.answers, s.contrastBy = answers, ""
	}
	s.newsAt = now
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(x, y crash) int { return x.at.Compare(y.at) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[len(s.crashes)-maxCrashes:]
	}
}

// clear records an answer to a request with the part.
func (s *suspect) clear(now, at time.Time) {
	if at.Before(s.answeredAt) {
		return
	}
	known := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	if len(s.crashes) < known || !s.wasAnswered() {
		s.newsAt = now
	}
	s.cleared += known - len(s.crashes)
	s.answeredAt = at
}

func (s *suspect) wasAnswered() bool { return !s.answeredAt.IsZero() }

// hasContrast reports whether enough other requests to the model were answered since the
// first crash. answers is the number that have been answered so far.
func (s *suspect) hasContrast(answers int) bool {
	return len(s.crashes) > 0 && (s.contrastBy != "" || answers-s.answers >= minAnswers)
}

func (s *suspect) has(c crash) bool { return slices.ContainsFunc(s.crashes, c.same) }

// hasAll reports whether the part was in all crashes of a list, as far as they are not older
// than those that are remembered.
func (s *suspect) hasAll(crashes []crash) bool {
	for _, c := range crashes {
		forgotten := len(s.crashes) == maxCrashes && c.at.Before(s.crashes[0].at)
		if !forgotten && !s.has(c) {
			return false
		}
	}
	return true
}

// requestsIn returns the number of requests in a list of crashes.
func requestsIn(crashes []crash) int {
	requests := map[uint32]bool{}
	for _, c := range crashes {
		requests[c.request] = true
	}
	return len(requests)
}

// momentsOf returns at how many moments the crashes happened. Servers that fail together,
// such as those of a domain, do so at one.
func momentsOf(crashes []crash) int {
	moments := 0
	var last time.Time
	for _, c := range crashes {
		if moments == 0 || c.at.Sub(last) >= moment {
			moments, last = moments+1, c.at
		}
	}
	return moments
}

// admitsTrial reports whether a request may be sent although it has the parts of a block,
// since the block has ended. Until the end of that request is known, others may not.
func (s *suspect) admitsTrial(now time.Time, block *Block, request uint32) bool {
	switch {
	case now.Before(block.Until):
		return false
	case s.trialAt.Before(block.Until) || s.trial == request || now.Sub(s.trialAt) >= trialTime:
		if s.trial != request || s.trialAt.Before(block.Until) {
			s.trial, s.trialAt = request, now
		}
		return true
	}
	block.Until = s.trialAt.Add(trialTime)
	return false
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum32()
}

func longHashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}
