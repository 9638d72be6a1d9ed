package gateway

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/poison"
)

// reasonCrashesServers is the reason of refusals of requests with a blocked part.
const reasonCrashesServers = "a part of the prompt crashes backend servers"

// soundEvents is the number of events of a stream that show that its prompt doesn't crash
// the backend server. The first may be on its way when the server crashes.
const soundEvents = 2

// Suspects finds the parts of prompts that crash backend servers. It makes a
// poison.Board safe for concurrent use and logs the blocks. The zero value is ready to use.
type Suspects struct {
	Log *telemetry.Log
	// Board is not to be used after the first call of a method.
	Board poison.Board

	mu     sync.Mutex
	blocks []poison.Block // that were logged
}

// Reports returns what to tell the other instances.
func (s *Suspects) Reports() []poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Board.Reports(time.Now())
}

// Merge adds what another instance reported.
func (s *Suspects) Merge(peer string, reports []poison.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.Board.Merge(now, peer, reports)
	s.logBlocks(now, telemetry.Fields{"told_by": peer})
}

func (s *Suspects) noteCrash(server string, r poison.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.Board.NoteCrash(now, server, r)
	s.logBlocks(now, telemetry.Fields{"request": r.ID})
}

func (s *Suspects) noteAnswer(r poison.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.Board.NoteAnswer(now, r)
	s.logBlocks(now, telemetry.Fields{"request": r.ID})
}

func (s *Suspects) blocked(r poison.Request) (poison.Block, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Board.Blocked(time.Now(), r)
}

// logBlocks logs the blocks that have begun or ended since the last call, and what made
// that known. The caller holds the lock.
func (s *Suspects) logBlocks(now time.Time, cause telemetry.Fields) {
	if len(s.blocks) == 0 && !s.Board.HasSuspects() {
		return
	}
	blocks := s.Board.Blocks(now)
	isIn := func(blocks []poison.Block, b poison.Block) bool {
		return slices.ContainsFunc(blocks, func(other poison.Block) bool { return slices.Equal(other.Parts, b.Parts) })
	}
	for _, b := range blocks {
		if isIn(s.blocks, b) {
			continue
		}
		var crashes []string
		for _, c := range b.Crashes {
			text := c.Label
			if c.ToldBy != "" {
				text += " told by " + c.ToldBy
			}
			crashes = append(crashes, text)
		}
		fields := telemetry.Fields{
			"parts": b.Parts, "crashes": crashes, "others_answered": b.Contrast, "others_answered_told_by": b.ContrastBy,
			"answered_before": b.Answered, "blocked_ms": b.Until.Sub(now).Milliseconds(),
		}
		maps.Copy(fields, cause)
		s.Log.Info("part blocked", fields)
	}
	for _, b := range s.blocks {
		if isIn(blocks, b) {
			continue
		}
		fields := telemetry.Fields{"parts": b.Parts, "reason": "time"}
		if now.Before(b.Until) {
			fields["reason"] = "evidence"
			maps.Copy(fields, cause)
		}
		s.Log.Info("part not blocked", fields)
	}
	s.blocks = blocks
}

// blockedRefusal returns the refusal of a request whose prompt has a part that crashes
// backend servers, or nil if it has none.
func (q *request) blockedRefusal() *refusal {
	if q.service.Engine == nil || len(q.call.SharedParts) == 0 {
		return nil
	}
	block, blocked := q.gateway.Suspects.blocked(q.prompt())
	if !blocked {
		if len(block.Parts) > 0 {
			q.trace.Add("trial of blocked parts", telemetry.Fields{"parts": block.Parts, "crashes": len(block.Crashes)})
		}
		return nil
	}
	q.trace.Add("blocked", telemetry.Fields{
		"parts": block.Parts, "crashes": len(block.Crashes), "blocked_ms": time.Until(block.Until).Milliseconds(),
	})
	refused := &refusal{status: http.StatusServiceUnavailable, reason: reasonCrashesServers, retryAfter: time.Until(block.Until)}
	if q.mayHaveRun {
		refused.status, refused.retryAfter = http.StatusBadGateway, 0
	}
	return refused
}

// prompt returns the request as a poison.Board sees it.
func (q *request) prompt() poison.Request {
	return poison.Request{ID: q.call.ID, Model: q.call.Model, Parts: q.call.SharedParts}
}

// isCrash reports whether an error is that of a connection that the backend server
// closed in the middle of an answer.
func isCrash(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
