package gateway

import (
	"io"
	"net/http"
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
// poison.Board safe for concurrent use. The zero value is ready to use.
type Suspects struct {
	mu    sync.Mutex
	board poison.Board
}

// Reports returns what to tell the other instances.
func (s *Suspects) Reports() []poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Reports(time.Now())
}

// Merge adds what another instance reported.
func (s *Suspects) Merge(reports []poison.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Merge(time.Now(), reports)
}

func (s *Suspects) noteCrash(server string, r poison.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.NoteCrash(time.Now(), server, r)
}

func (s *Suspects) noteAnswer(r poison.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.NoteAnswer(time.Now(), r)
}

func (s *Suspects) blocked(parts []string) (poison.Block, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Blocked(time.Now(), parts)
}

// blockedRefusal returns the refusal of a request whose prompt has a part that crashes
// backend servers, or nil if it has none.
func (q *request) blockedRefusal() *refusal {
	if q.service.Engine == nil || len(q.call.SharedParts) == 0 {
		return nil
	}
	block, blocked := q.gateway.Suspects.blocked(q.call.SharedParts)
	if !blocked {
		return nil
	}
	q.trace.Add("blocked", telemetry.Fields{
		"part": block.Part, "crashes": block.Crashes, "blocked_ms": time.Until(block.Until).Milliseconds(),
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
