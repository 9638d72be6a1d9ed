package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/operator"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

const (
	// maxCommandBytes limits the body of an operator's request.
	maxCommandBytes = 16 << 20
	// inForceTimeout is how long a command waits until its change is in force at all
	// entry instances.
	inForceTimeout = 8 * time.Second
	// unreachableTimeout is how long a command waits for entry instances that do not
	// answer.
	unreachableTimeout = 1500 * time.Millisecond
	// inForcePollInterval is the wait between two polls of the entry instances.
	inForcePollInterval = 250 * time.Millisecond
)

// operatorsHandler returns the handler of the operators' API and of the metrics.
func (s *Server) operatorsHandler() http.Handler {
	s.publishGauges()
	s.counters.publishOnce()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, s.counters.values.String())
	})
	mux.HandleFunc("GET "+operator.StatusPath, s.serveStatus)
	mux.HandleFunc("GET "+operator.ConfigPath, s.serveConfig)
	mux.HandleFunc("POST "+operator.CommandPath, s.serveCommand)
	mux.HandleFunc("POST "+operator.OverridePath, s.serveOverride)
	mux.HandleFunc("POST "+operator.SkipLostPath, s.serveSkipLost)
	return mux
}

func (s *Server) serveConfig(w http.ResponseWriter, _ *http.Request) {
	state := s.config.State()
	preset, _ := state.Preset()
	writeJSON(w, http.StatusOK, operator.Configuration{
		Offset: state.Offset(),
		Preset: preset.Name,
		Config: withoutKeys(state.Config()),
	})
}

// withoutKeys returns a copy of the configuration without the bearer keys of the
// client accounts.
func withoutKeys(config fleet.Config) fleet.Config {
	config.ClientAccounts = slices.Clone(config.ClientAccounts)
	for i := range config.ClientAccounts {
		config.ClientAccounts[i].Key = ""
	}
	return config
}

// serveCommand records an operator's change of the configuration. The answer lists
// the entry instances at which it is in force.
func (s *Server) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command operator.Command
	if !s.readJSON(w, r, &command) {
		return
	}
	change, err := command.Change()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, operator.Result{Error: err.Error()})
		return
	}
	if !s.config.Status().Ready && command.FleetPut == nil {
		writeJSON(w, http.StatusServiceUnavailable, operator.Result{Error: s.notServingReason()})
		return
	}
	verdict, err := s.config.Submit(r.Context(), command.ID, command.Writer, change)
	result := operator.Result{ID: command.ID, Offset: verdict.Offset, Accepted: verdict.Accepted, Findings: verdict.Findings}
	if err != nil {
		result.Error = err.Error()
		result.MayTakeEffect = errors.Is(err, journal.ErrOutcomeUnknown)
		writeJSON(w, http.StatusServiceUnavailable, result)
		return
	}
	s.log.WithFields(logrus.Fields{
		"kind": verdict.Kind.String(), "writer": command.Writer, "offset": verdict.Offset, "accepted": verdict.Accepted,
	}).Info("operator's command")
	if !verdict.Accepted {
		writeJSON(w, http.StatusConflict, result)
		return
	}
	result.InForce, result.NotInForce = s.awaitInForce(r.Context(), verdict.Offset)
	writeJSON(w, http.StatusOK, result)
}

// awaitInForce waits until the configuration offset is in force at all known entry
// instances or a timeout passes. It returns the instances at which it is in force
// and those at which it is not.
func (s *Server) awaitInForce(ctx context.Context, offset journal.Offset) (inForce, notInForce []string) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	start := time.Now()
	for {
		inForce, older, unreachable := s.askInForce(ctx, offset)
		done := len(older) == 0 && (len(unreachable) == 0 || time.Since(start) > unreachableTimeout)
		if done || !sleep(ctx, inForcePollInterval) {
			notInForce = append(older, unreachable...)
			slices.Sort(notInForce)
			return inForce, notInForce
		}
	}
}

func (s *Server) askInForce(ctx context.Context, offset journal.Offset) (inForce, older, unreachable []string) {
	answered, unreachable := s.members.HelloAll(ctx)
	instances := append(answered, &peerpb.Instance{Name: s.settings.Name, Report: s.instanceReport()})
	for _, instance := range instances {
		if instance.GetReport().GetConfigOffset() >= int64(offset) {
			inForce = append(inForce, instance.GetName())
		} else {
			older = append(older, instance.GetName())
		}
	}
	slices.Sort(inForce)
	return inForce, older, unreachable
}

// serveOverride sets a drain mark at this instance only. Operators use it while the
// log is unreachable.
func (s *Server) serveOverride(w http.ResponseWriter, r *http.Request) {
	var request operator.Override
	if !s.readJSON(w, r, &request) {
		return
	}
	config := s.config.State()
	if _, known := config.Config().DataCentre(request.DataCentre); !known {
		writeJSON(w, http.StatusBadRequest, operator.Result{Error: "data centre " + request.DataCentre + " does not exist"})
		return
	}
	s.fleet.mu.Lock()
	if s.fleet.overrides == nil {
		s.fleet.overrides = make(map[string]drainOverride)
	}
	s.fleet.overrides[request.DataCentre] = drainOverride{Drained: request.Drained, Offset: int64(config.Offset())}
	s.fleet.mu.Unlock()
	s.invalidateRouting()
	s.log.WithFields(logrus.Fields{"data_centre": request.DataCentre, "drained": request.Drained}).Warn("told directly by an operator")
	writeJSON(w, http.StatusOK, operator.Result{Accepted: true, Offset: config.Offset(), InForce: []string{s.settings.Name}})
}

// serveSkipLost lets this instance continue after log entries that expired before
// they were read.
func (s *Server) serveSkipLost(w http.ResponseWriter, _ *http.Request) {
	s.config.SkipLost()
	s.placement.SkipLost()
	s.log.Warn("goes on after lost log entries on an operator's word")
	writeJSON(w, http.StatusOK, operator.Result{Accepted: true, Offset: s.config.State().Offset(), InForce: []string{s.settings.Name}})
}

func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.settings.Limits.BodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(target)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, operator.Result{Error: "request body can't be read as JSON: " + err.Error()})
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
