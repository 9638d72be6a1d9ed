package backend

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Observation is the newest report of a model worker, and what this instance knows about
// the worker otherwise.
type Observation struct {
	group.Report
	Warm        bool
	Leaving     bool
	Unreachable bool // the last poll got no answer
	// DownUntil is when the worker stops counting as down after its address refused a
	// connection or another process answered there. Until then, an observation that
	// another instance published earlier does not count as current.
	DownUntil  time.Time
	KVTokens   int
	ReportedAt time.Time // when the report was received; At is when it was last known to be current
	Observer   string    // the entry instance that polled the worker
}

// newObservation returns the observation for an engine's report about itself.
func newObservation(server, observer string, state engine.State, placement journal.Offset, at time.Time) Observation {
	return Observation{
		Report: group.Report{
			Server:       server,
			BootID:       state.BootID,
			Group:        state.Group,
			Epoch:        journal.Offset(state.Epoch),
			Model:        state.Model,
			ModelVersion: state.ModelVersion,
			Loading:      state.Phase == engine.Loading || state.Phase == engine.Unloaded,
			Cold:         state.Phase == engine.Cold,
			InFlight:     state.InFlight,
			At:           at,
			Observed:     placement,
		},
		ReportedAt: at,
		Warm:       state.Phase == engine.Warm,
		Leaving:    state.Leaving,
		KVTokens:   state.KVTokens,
		Observer:   observer,
	}
}

// encode returns the observation as published to the other entry instances.
func (o Observation) encode() []byte {
	phase := engine.Loading
	switch {
	case o.Warm:
		phase = engine.Warm
	case o.Cold:
		phase = engine.Cold
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&peerpb.ServerReport{
		BootId:         o.BootID,
		Group:          o.Group,
		Epoch:          int64(o.Epoch),
		Model:          o.Model,
		ModelVersion:   o.ModelVersion,
		Phase:          int32(phase),
		Leaving:        o.Leaving,
		InFlight:       int32(o.InFlight),
		KvTokens:       int32(o.KVTokens),
		ObservedOffset: int64(o.Observed),
		Silent:         o.Unreachable,
	})
	if err != nil {
		return nil
	}
	return data
}

// decodeObservation decodes an observation that another entry instance published. The
// time at is when this instance received it.
func decodeObservation(server, observer string, data []byte, at time.Time) (Observation, error) {
	var report peerpb.ServerReport
	if err := proto.Unmarshal(data, &report); err != nil {
		return Observation{}, err
	}
	o := newObservation(server, observer, engine.State{
		BootID:       report.GetBootId(),
		Group:        report.GetGroup(),
		Epoch:        report.GetEpoch(),
		Model:        report.GetModel(),
		ModelVersion: report.GetModelVersion(),
		Phase:        engine.Phase(report.GetPhase()),
		Leaving:      report.GetLeaving(),
		InFlight:     int(report.GetInFlight()),
		KVTokens:     int(report.GetKvTokens()),
	}, journal.Offset(report.GetObservedOffset()), at)
	o.Unreachable = report.GetSilent()
	return o, nil
}
