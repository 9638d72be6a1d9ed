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

// placementOffset is the offset type of backend.Options.
type placementOffset = journal.Offset

// configStream is the log stream of the fleet's configuration.
const configStream = replica.ConfigStream

// maxRequestIDBytes limits the length of request IDs that callers set.
const maxRequestIDBytes = 128

// errNotJoined reports an entry instance that is not in the placement.
var errNotJoined = errors.New("entry instance does not take part in the placement")

// serve runs a request and writes its answer.
func (s *Server) serve(ctx context.Context, req *request, answer *answerWriter) {
	s.counters.add("Requests", 1)
	if reason := s.notServingReason(); reason != "" {
		s.refuseRequest(req, answer, notRunRefusal(http.StatusServiceUnavailable, "no-configuration", "%s", reason))
		return
	}
	if strings.HasPrefix(req.Path, servicesPrefix) {
		s.serveService(ctx, req, answer)
	} else {
		s.serveModel(ctx, req, answer)
	}
	if answer.ended && !answer.isRefusal {
		s.counters.add("Complete", 1)
	}
}

// notServingReason returns why no request can be served, or "" if requests can be
// served.
func (s *Server) notServingReason() string {
	if !s.config.Status().Ready {
		return "no configuration was read from the log or another entry instance yet"
	}
	if _, ok := s.config.State().Preset(); !ok {
		return "the configuration has no preset in force"
	}
	return ""
}

// notReadyReason returns why the balancer should send no callers here, or "" if it
// may.
func (s *Server) notReadyReason() string {
	if s.fleet.stopping.Load() {
		return "shutting down"
	}
	return s.notServingReason()
}

// refuseRequest sends the refusal to the caller, and logs and counts it.
func (s *Server) refuseRequest(req *request, answer *answerWriter, refused *refusal) {
	s.counters.add("Refused."+refused.Outcome.String(), 1)
	s.log.WithFields(logrus.Fields{
		"request": req.ID,
		"account": req.Account,
		"outcome": refused.Outcome.String(),
		"reason":  refused.Reason,
	}).Info("refused")
	_ = refused.send(answer)
}

// Ready reports whether the balancer may send callers to this instance.
func (s *Server) Ready() bool { return s.notReadyReason() == "" }
