package backend

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Observation is what is known of a model worker.
type Observation struct {
	group.Report
	Warm    bool
	Leaving bool
	Silent  bool // it did not answer when it was last asked
	// DownUntil is until when word of others that it is well does not count, since
	// its address refused a connection or another process answered there.
	DownUntil  time.Time
	KVTokens   int
	ReportedAt time.Time // when the numbers were told; At is until when they are known to stand
	Observer   string    // entry instance that asked
}

// observed returns what an engine's own report says.
func observed(server, observer string, state engine.State, placement journal.Offset, at time.Time) Observation {
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

// encode returns the observation as it travels to the other entry instances.
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
		Silent:         o.Silent,
	})
	if err != nil {
		return nil
	}
	return data
}

// decodeObservation reads what another entry instance published. The time is
// that of its arrival here.
func decodeObservation(server, observer string, data []byte, at time.Time) (Observation, error) {
	var report peerpb.ServerReport
	if err := proto.Unmarshal(data, &report); err != nil {
		return Observation{}, err
	}
	o := observed(server, observer, engine.State{
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
	o.Silent = report.GetSilent()
	return o, nil
}
