package poison

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is blocked.
	minCrashes = 3
	// minRequests is the number of requests with the part that these crashes must have had. A
	// sound request that is sent again may meet another crash.
	minRequests = 2
	// minAnswers is the number of requests to the same model that must have been answered
	// meanwhile. Without any, the model may have crashed for another reason.
	minAnswers = 5
	// sameCrash is the time within which failures at a server belong to one crash.
	sameCrash = time.Second
	// blockTime is how long a part is blocked after its last crash. It doubles with each
	// crash after minCrashes, up to maxBlockTime.
	blockTime    = time.Minute
	maxBlockTime = 10 * time.Minute
	// suspicionTime is how long the crashes of a part that isn't blocked count.
	suspicionTime = 30 * time.Second
	// blockMemory is how long the crashes of a blocked part are remembered, so that one
	// more blocks it again.
	blockMemory = 2 * maxBlockTime
	// clearedTime is how long an answer is remembered, so that older crashes that a peer
	// reports late don't count.
	clearedTime = 10 * time.Second
	// reportTime is how long news of a part is reported. Blocked parts are reported always.
	reportTime = 2 * time.Second
	// reportDelay exceeds the usual delay of a report, by which its crashes seem too new.
	reportDelay = 300 * time.Millisecond

	maxParts    = 256 // remembered parts
	maxCrashes  = 8   // remembered crashes of a part
	maxReports  = 24  // parts in Reports
	maxReported = minCrashes + 1
)

// Request is a request to a model.
type Request struct {
	ID    string
	Model string
	Parts []string // IDs of the shared parts of its prompt
}

// Block is a decision to refuse requests with a part.
type Block struct {
	Part    string
	Crashes int // that are known
	Until   time.Time
}

// Report holds what is known of a part that is suspected of crashing servers.
type Report struct {
	Part    string
	Depth   int // position of the part in prompts
	Model   string
	Crashes []Crash
	// Answered is set if enough other requests to the model were answered since the first
	// crash. An instance that gets few requests can't tell by itself.
	Answered bool
	// Cleared is set if a request with the part was answered, and ClearedAge is the time
	// since the last answer.
	Cleared    bool
	ClearedAge time.Duration
}

// Crash is a crash of a server that ran a request with a suspected part.
type Crash struct {
	Server  uint32 // hash of the server's ID
	Request uint32 // hash of the request's ID
	Age     time.Duration
}

// Board holds the suspected parts. It is not safe for concurrent use. The zero value
// suspects none.
type Board struct {
	parts   map[string]*suspect
	answers map[string]int // to requests of each model
}

// suspect is what is known of a part.
type suspect struct {
	model     string
	depth     int       // position of the part in prompts
	crashes   []crash   // in the order of their time, all later than clearedAt
	clearedAt time.Time // of the last answer that went on; zero if there was none
	answers   int       // to requests of the model when the first crash became known
	answered  bool      // a peer has seen enough answers since
	newsAt    time.Time // when a crash or an answer was last noted that peers may not know
}

type crash struct {
	server, request uint32
	at              time.Time
}

// NoteCrash records that the connection to a server broke when it had just begun to answer
// a request.
func (b *Board) NoteCrash(now time.Time, server string, r Request) {
	for depth, part := range r.Parts {
		if s := b.suspect(now, part, depth, r.Model); s != nil {
			s.add(now, crash{server: hashOf(server), request: hashOf(r.ID), at: now}, b.answers[s.model])
		}
	}
}

// NoteAnswer records that the answer to a request went on, or is whole.
func (b *Board) NoteAnswer(now time.Time, r Request) {
	if b.answers == nil {
		b.answers = map[string]int{}
	}
	b.answers[r.Model]++
	for _, part := range r.Parts {
		if s := b.parts[part]; s != nil {
			s.clear(now, now)
		}
	}
}

// Blocked returns the block of the first blocked part.
func (b *Board) Blocked(now time.Time, parts []string) (Block, bool) {
	for _, part := range parts {
		s := b.parts[part]
		if s == nil || !s.isGuilty(b.answers[s.model]) || b.isExplained(s) {
			continue
		}
		if until := s.blockedUntil(); now.Before(until) {
			return Block{Part: part, Crashes: len(s.crashes), Until: until}, true
		}
	}
	return Block{}, false
}

// Reports returns what to tell the other instances: the blocked parts and those of which
// there are news, at most maxReports. It prefers those with the most crashes.
func (b *Board) Reports(now time.Time) []Report {
	b.expire(now)
	var names []string
	for part, s := range b.parts {
		if len(s.crashes) >= minCrashes || now.Sub(s.newsAt) < reportTime {
			names = append(names, part)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(len(b.parts[y].crashes), len(b.parts[x].crashes)), cmp.Compare(x, y))
	})
	var reports []Report
	for _, part := range names[:min(len(names), maxReports)] {
		s := b.parts[part]
		r := Report{Part: part, Depth: s.depth, Model: s.model, Answered: s.isAnswered(b.answers[s.model])}
		if !s.clearedAt.IsZero() {
			r.Cleared, r.ClearedAge = true, now.Sub(s.clearedAt)
		}
		for _, c := range s.crashes[max(len(s.crashes)-maxReported, 0):] {
			r.Crashes = append(r.Crashes, Crash{Server: c.server, Request: c.request, Age: now.Sub(c.at)})
		}
		reports = append(reports, r)
	}
	return reports
}

// Merge adds what a peer reported.
func (b *Board) Merge(now time.Time, reports []Report) {
	for _, r := range reports {
		s := b.suspect(now, r.Part, r.Depth, r.Model)
		if s == nil {
			continue
		}
		if r.Cleared {
			s.clear(now, now.Add(-max(r.ClearedAge, 0)))
		}
		for _, c := range r.Crashes {
			s.add(now, crash{server: c.Server, request: c.Request, at: now.Add(-max(c.Age, 0))}, b.answers[s.model])
		}
		if r.Answered && len(s.crashes) > 0 && !s.answered {
			s.answered, s.newsAt = true, now
		}
	}
}

// suspect returns the suspect for a part, which it creates if necessary, or nil if too
// many are known.
func (b *Board) suspect(now time.Time, part string, depth int, model string) *suspect {
	if s := b.parts[part]; s != nil {
		return s
	}
	if len(b.parts) >= maxParts {
		b.expire(now)
	}
	if len(b.parts) >= maxParts {
		return nil
	}
	if b.parts == nil {
		b.parts = map[string]*suspect{}
	}
	s := &suspect{model: model, depth: depth}
	b.parts[part] = s
	return s
}

// expire forgets what no longer counts.
func (b *Board) expire(now time.Time) {
	for part, s := range b.parts {
		memory := suspicionTime
		if s.isGuilty(b.answers[s.model]) {
			memory = blockMemory
		}
		if n := len(s.crashes); n > 0 && now.Sub(s.crashes[n-1].at) > memory {
			s.crashes = nil
		}
		if len(s.crashes) == 0 && now.Sub(s.clearedAt) > clearedTime {
			delete(b.parts, part)
		}
	}
}

// add adds a crash unless it is known or older than the last answer. answers is the
// number of requests to the model that have been answered so far.
func (s *suspect) add(now time.Time, c crash, answers int) {
	if !s.clearedAt.IsZero() && !c.at.After(s.clearedAt.Add(reportDelay)) {
		s.newsAt = now // a peer that reports the crash doesn't know of the answer
		return
	}
	if slices.ContainsFunc(s.crashes, c.same) {
		return
	}
	if len(s.crashes) == 0 {
		s.answers, s.answered = answers, false
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
	if at.Before(s.clearedAt) {
		return
	}
	s.clearedAt = at
	known := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	if len(s.crashes) < known {
		s.newsAt = now
	}
}

// isAnswered reports whether enough requests to the model were answered since the first
// crash. answers is the number that have been answered so far.
func (s *suspect) isAnswered(answers int) bool {
	return len(s.crashes) > 0 && (s.answered || answers-s.answers >= minAnswers)
}

// isGuilty reports whether the crashes are enough to block the part.
func (s *suspect) isGuilty(answers int) bool {
	if len(s.crashes) < minCrashes || !s.isAnswered(answers) {
		return false
	}
	requests := map[uint32]bool{}
	for _, c := range s.crashes {
		requests[c.request] = true
	}
	return len(requests) >= minRequests
}

// isExplained reports whether a later part of prompts was there in all crashes of a part.
// Prompts that begin in the same way may be sound without the later part.
func (b *Board) isExplained(s *suspect) bool {
	for _, other := range b.parts {
		if other.depth > s.depth && len(other.crashes) >= minCrashes && other.hasAll(s.crashes) {
			return true
		}
	}
	return false
}

// hasAll reports whether a part was there in all the crashes.
func (s *suspect) hasAll(crashes []crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(s.crashes, c.same) {
			return false
		}
	}
	return true
}

// same reports whether c and other are the same crash of a server.
func (c crash) same(other crash) bool {
	return c.server == other.server && c.at.Sub(other.at).Abs() < sameCrash
}

// blockedUntil returns when the block of a guilty part ends.
func (s *suspect) blockedUntil() time.Time {
	block := blockTime
	for range len(s.crashes) - minCrashes {
		block *= 2
	}
	return s.crashes[len(s.crashes)-1].at.Add(min(block, maxBlockTime))
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum32()
}
