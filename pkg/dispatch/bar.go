package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/roster"
)

// BarCause is why a place gets no requests although it is listed.
type BarCause int

// The causes.
const (
	Leaving BarCause = iota // its server said that it leaves
	Resting                 // its server asked for no requests for some time
)

const (
	// leavingTime is how long the word of a server that it leaves counts. It exceeds the
	// time for which a leaving server goes on serving.
	leavingTime = 10 * time.Minute
	// leavingReportTime is how long peers are told of a server's last word that it leaves.
	leavingReportTime = 3 * time.Second
	maxLeavingReports = 64 // in one report
	// maxRestTime is the longest rest that a server can ask for.
	maxRestTime = 10 * time.Minute
	maxBars     = 4096 // servers that are remembered; the target size has 840
)

// bar is the time for which a server's own word keeps requests from it. It binds the run
// that said so and earlier ones: an instance may know a new run of a server later than
// its peers do.
type bar struct {
	run         int64 // of the server that said so; 0 if not known
	until       time.Time
	cause       BarCause
	reportUntil time.Time // until when peers are told; zero if a peer told this instance
}

// LeavingServer is a run of a server that said that it leaves.
type LeavingServer struct {
	ID  string
	Run int64 // 0 if not known
}

// NoteLeaving records that a server said that it leaves, in its run. It reports whether
// that is news.
func (s *Scheduler) NoteLeaving(now time.Time, id string, run int64) bool {
	return s.bar(now, id, bar{run: run, until: now.Add(leavingTime), cause: Leaving, reportUntil: now.Add(leavingReportTime)})
}

// NotePeerLeaving is like NoteLeaving for a server that said so to a peer.
func (s *Scheduler) NotePeerLeaving(now time.Time, server LeavingServer) bool {
	return s.bar(now, server.ID, bar{run: server.Run, until: now.Add(leavingTime), cause: Leaving})
}

// LeavingServers returns the servers to tell the peers of: those that lately said to this
// instance that they leave, the newest maxLeavingReports.
func (s *Scheduler) LeavingServers(now time.Time) []LeavingServer {
	var ids []string
	for id, b := range s.bars {
		if b.cause == Leaving && now.Before(b.reportUntil) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Or(s.bars[y].reportUntil.Compare(s.bars[x].reportUntil), cmp.Compare(x, y))
	})
	var servers []LeavingServer
	for _, id := range ids[:min(len(ids), maxLeavingReports)] {
		servers = append(servers, LeavingServer{ID: id, Run: s.bars[id].run})
	}
	return servers
}

// NoteRest records that a server asked this instance for no requests for some time, in
// its run. It reports whether that is news.
func (s *Scheduler) NoteRest(now time.Time, id string, run int64, rest time.Duration) bool {
	return s.bar(now, id, bar{run: run, until: now.Add(min(rest, maxRestTime)), cause: Resting})
}

func (s *Scheduler) bar(now time.Time, id string, next bar) (isNew bool) {
	known, ok := s.bars[id]
	unexpired := ok && now.Before(known.until)
	if unexpired && roster.IsLaterRun(known.run, next.run) {
		return false // what an earlier run said doesn't lift the bar of a later one
	}
	holds := unexpired && !roster.IsLaterRun(next.run, known.run)
	if holds {
		next.run = max(next.run, known.run)
	}
	if holds && known.cause == Leaving && next.cause == Resting {
		return false // it won't come back
	}
	if holds && known.cause == next.cause {
		if known.until.After(next.until) {
			next.until = known.until
		}
		if known.reportUntil.After(next.reportUntil) {
			next.reportUntil = known.reportUntil
		}
	}
	if !ok && len(s.bars) >= maxBars {
		s.expireBars(now)
	}
	if !ok && len(s.bars) >= maxBars {
		return false
	}
	if s.bars == nil {
		s.bars = map[string]bar{}
	}
	s.bars[id] = next
	return !holds || known.cause != next.cause
}

// expireBars forgets the bars that have ended.
func (s *Scheduler) expireBars(now time.Time) {
	for id, b := range s.bars {
		if !now.Before(b.until) {
			delete(s.bars, id)
		}
	}
}

// barred returns the bar of a place that holds now. A new run of a server isn't bound by
// what an earlier one said.
func (s *Scheduler) barred(now time.Time, p *placeState) (bar, bool) {
	b, ok := s.bars[p.ID]
	if !ok || !now.Before(b.until) || roster.IsLaterRun(p.Run, b.run) {
		return bar{}, false
	}
	return b, true
}

// openAgainAt returns when the first of the places that can run a ticket is no longer
// barred, or now if one isn't. It returns false if they are all leaving.
func (s *Scheduler) openAgainAt(now time.Time, t *Ticket) (time.Time, bool) {
	var first time.Time
	for _, p := range s.byServiceModel[serviceModel{t.Service, t.Model}] {
		if t.tried(p.ID) {
			continue
		}
		b, barred := s.barred(now, p)
		switch {
		case !barred:
			return now, true
		case b.cause == Resting && (first.IsZero() || b.until.Before(first)):
			first = b.until
		}
	}
	return first, !first.IsZero()
}
