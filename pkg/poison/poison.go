package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxParts        = 256 // suspected parts
	maxPartsOfCrash = 64  // suspected parts of one request
	maxCrashes      = 12  // remembered crashes of a part
	maxRecent       = 32  // remembered crashes of a model, whatever the parts
	maxReports      = 24  // parts in Reports
	maxReported     = 144 // crashes in Reports

	// reportTime is how long news of a part is reported. Blocked parts are reported always.
	reportTime = 2 * time.Second
	// clearedTime is how long a part is remembered that an answer has cleared of crashes.
	clearedTime = 10 * time.Minute
)

// Request is a request to a model.
type Request struct {
	ID    string
	Model string
	Parts []string // IDs of the shared parts of its prompt
}

// Report holds what is known of a part that is suspected of crashing servers.
type Report struct {
	Part    string
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
	// Instance is the name of this instance, and Instances returns how many there are. Both
	// spread the trials of blocked parts over time. Without them, there is one instance.
	Instance  string
	Instances func() int

	parts   map[string]*suspect
	answers map[string]int     // to requests of each model
	recent  map[string][]crash // of each model, also those of cleared parts
	memory  answerMemory
}

// NoteCrash records that the connection to a server broke when it had just begun to answer
// a request.
func (b *Board) NoteCrash(now time.Time, server string, r Request) {
	c := crash{server: hashOf(server), request: hashOf(r.ID), at: now, label: server + "/" + r.ID}
	b.addRecent(r.Model, c)
	for _, part := range b.suspicious(r.Parts) {
		s := b.suspect(now, part, r.Model)
		s.add(now, c, b.answers[s.model])
	}
}

// addRecent adds a crash to those of a model unless it is known.
func (b *Board) addRecent(model string, c crash) {
	crashes := b.recent[model]
	if slices.ContainsFunc(crashes, c.same) {
		return
	}
	if len(crashes) >= maxRecent {
		crashes = slices.Delete(crashes, 0, 1)
	}
	if b.recent == nil {
		b.recent = map[string][]crash{}
	}
	b.recent[model] = append(crashes, c)
}

// suspicious returns the parts of a prompt that are recorded for a crash: all, or those
// without an answer and with the latest positions if there are too many.
func (b *Board) suspicious(parts []string) []string {
	if len(parts) <= maxPartsOfCrash {
		return parts
	}
	var chosen []string
	for _, answered := range []bool{false, true} {
		for _, part := range slices.Backward(parts) {
			if _, known := b.memory.last(part); known == answered && len(chosen) < maxPartsOfCrash {
				chosen = append(chosen, part)
			}
		}
	}
	return chosen
}

// NoteAnswer records that the answer to a request went on, or is whole.
func (b *Board) NoteAnswer(now time.Time, r Request) {
	if b.answers == nil {
		b.answers = map[string]int{}
	}
	b.answers[r.Model]++
	for _, part := range r.Parts {
		b.memory.note(part, now)
		if s := b.parts[part]; s != nil {
			s.clear(now, now)
		}
	}
}

// Blocked reports whether a request is to be refused, and for which block. One that has
// ended admits a request as its trial, also when that is asked for again, and is returned
// with false.
func (b *Board) Blocked(now time.Time, r Request) (block Block, blocked bool) {
	for _, part := range r.Parts {
		s := b.parts[part]
		if s == nil {
			continue
		}
		found, ok := b.blockOf(s)
		if !ok || !found.appliesTo(r) {
			continue
		}
		if !s.admitsTrial(now, &found, hashOf(r.ID)) {
			return found, true
		}
		block = found
	}
	return block, false
}

// HasSuspects reports whether there are parts that were in crashes.
func (b *Board) HasSuspects() bool { return len(b.parts) > 0 }

// Blocks returns the blocks that are in force, in the order of their parts.
func (b *Board) Blocks(now time.Time) []Block {
	var blocks []Block
	for _, s := range b.parts {
		block, found := b.blockOf(s)
		known := slices.ContainsFunc(blocks, func(other Block) bool { return slices.Equal(other.Parts, block.Parts) })
		if found && now.Before(block.Until) && !known {
			blocks = append(blocks, block)
		}
	}
	slices.SortFunc(blocks, func(x, y Block) int { return slices.Compare(x.Parts, y.Parts) })
	return blocks
}

// Reports returns what to tell the other instances: the parts with enough crashes to be
// blocked and those of which there are news, at most maxReports with maxReported crashes.
// It prefers parts without an answer, then those with the most crashes.
func (b *Board) Reports(now time.Time) []Report {
	b.expire(now)
	var suspects []*suspect
	for _, s := range b.parts {
		if len(s.crashes) >= minCrashes || now.Sub(s.newsAt) < reportTime {
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, func(x, y *suspect) int {
		return cmp.Or(boolCompare(x.wasAnswered(), y.wasAnswered()), cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(x.part, y.part))
	})
	var reports []Report
	crashes := 0
	for _, s := range suspects {
		crashes += len(s.crashes)
		if len(reports) == maxReports || crashes > maxReported {
			break
		}
		r := Report{Part: s.part, Model: s.model, Answered: s.hasContrast(b.answers[s.model])}
		if s.wasAnswered() {
			r.Cleared, r.ClearedAge = true, now.Sub(s.answeredAt)
		}
		for _, c := range s.crashes {
			r.Crashes = append(r.Crashes, Crash{Server: c.server, Request: c.request, Age: now.Sub(c.at)})
		}
		reports = append(reports, r)
	}
	return reports
}

func boolCompare(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// Merge adds what a peer reported.
func (b *Board) Merge(now time.Time, peer string, reports []Report) {
	for _, r := range reports {
		s := b.suspect(now, r.Part, r.Model)
		switch {
		case r.Cleared:
			at := now.Add(-max(r.ClearedAge, 0))
			s.clear(now, at)
			b.memory.note(r.Part, at)
		case s.wasAnswered():
			s.newsAt = now // the peer doesn't know of any answer
		}
		for _, c := range r.Crashes {
			told := crash{
				server: c.Server, request: c.Request, at: now.Add(-max(c.Age, 0)), label: fmt.Sprintf("%08x/%08x", c.Server, c.Request), toldBy: peer,
			}
			b.addRecent(s.model, told)
			s.add(now, told, b.answers[s.model])
		}
		if r.Answered && len(s.crashes) > 0 && !s.hasContrast(b.answers[s.model]) {
			s.contrastBy, s.newsAt = peer, now
		}
	}
}

// suspect returns the suspect for a part, which it creates if necessary. If there are too
// many, it forgets the one with the fewest crashes, of these the oldest.
func (b *Board) suspect(now time.Time, part, model string) *suspect {
	if s := b.parts[part]; s != nil {
		return s
	}
	if len(b.parts) >= maxParts {
		b.expire(now)
	}
	if len(b.parts) >= maxParts {
		var least *suspect
		for _, s := range b.parts {
			if least == nil || cmp.Or(cmp.Compare(len(s.crashes), len(least.crashes)), s.newsAt.Compare(least.newsAt), cmp.Compare(s.part, least.part)) < 0 {
				least = s
			}
		}
		delete(b.parts, least.part)
	}
	if b.parts == nil {
		b.parts = map[string]*suspect{}
	}
	s := &suspect{part: part, model: model}
	s.answeredAt, _ = b.memory.last(part)
	b.parts[part] = s
	return s
}

// expire forgets what no longer counts.
func (b *Board) expire(now time.Time) {
	for part, s := range b.parts {
		memory := suspicionTime
		if _, found := b.blockOf(s); found {
			memory = blockMemory
		}
		if n := len(s.crashes); n > 0 && now.Sub(s.crashes[n-1].at) > memory {
			s.crashes = nil
		}
		if len(s.crashes) == 0 && (s.cleared == 0 || now.Sub(s.newsAt) > clearedTime) && now.Sub(s.newsAt) > reportTime {
			delete(b.parts, part)
		}
	}
}
