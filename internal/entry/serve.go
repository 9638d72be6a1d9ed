package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/replica"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

// placementOffset names the offset type where backend.Options wants it.
type placementOffset = journal.Offset

// configStream is the stream of the fleet's configuration.
const configStream = replica.ConfigStream

// maxRequestIDBytes bounds the callers' request IDs.
const maxRequestIDBytes = 128

// errNotJoined reports a member that the placement does not have.
var errNotJoined = errors.New("entry instance does not take part in the placement")

// serve runs a request and gives its answer.
func (s *Server) serve(ctx context.Context, req *request, to *answer) {
	s.counters.add("Requests", 1)
	if reason := s.notServing(); reason != "" {
		s.refuseRequest(req, to, notRun(http.StatusServiceUnavailable, "no-configuration", "%s", reason))
		return
	}
	if strings.HasPrefix(req.Path, servicesPrefix) {
		s.serveService(ctx, req, to)
	} else {
		s.serveModel(ctx, req, to)
	}
	if to.ended && !to.refused {
		s.counters.add("Complete", 1)
	}
}

// notServing returns why no request can be served, or nothing.
func (s *Server) notServing() string {
	if !s.config.Status().Ready {
		return "no configuration was read from the log or another entry instance yet"
	}
	if _, ok := s.config.State().Preset(); !ok {
		return "the configuration has no preset in force"
	}
	return ""
}

// notReady returns why the balancer should send no callers, or nothing.
func (s *Server) notReady() string {
	if s.fleet.stopping.Load() {
		return "shutting down"
	}
	return s.notServing()
}

// refuseRequest tells the caller and the log why there is no whole answer.
func (s *Server) refuseRequest(req *request, to *answer, refused *refusal) {
	s.counters.add("Refused."+refused.Outcome.String(), 1)
	s.log.WithFields(logrus.Fields{
		"request": req.ID,
		"account": req.Account,
		"outcome": refused.Outcome.String(),
		"reason":  refused.Reason,
	}).Info("refused")
	_ = refused.send(to)
}

// Ready reports whether the balancer may send callers here.
func (s *Server) Ready() bool { return s.notReady() == "" }
