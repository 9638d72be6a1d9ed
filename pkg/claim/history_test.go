package claim

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
)

// keyModel models a key as its callers see it: a register that is set at most once, by
// the run.
var keyModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran := state.(bool)
		switch input.(Kind) {
		case Run:
			return !ran, true
		case Replay:
			return ran, ran
		case NotRun:
			return !ran, ran
		default:
			return true, ran
		}
	},
}

// history returns the calls of a key as operations. A call that ran its request is an
// operation of kind Run that ends when the request is sent.
func history(k *keyTruth) []porcupine.Operation {
	var ops []porcupine.Operation
	for n, c := range k.calls {
		op := porcupine.Operation{ClientId: n, Input: c.outcome.Kind, Call: int64(c.beganStep), Return: int64(c.answeredStep)}
		if c.ranStep != 0 {
			op.Input, op.Return = Run, int64(c.ranStep)
		}
		if c.ranStep != 0 || c.answered {
			ops = append(ops, op)
		}
	}
	return ops
}

// countNonLinearizable runs the machine without stopping at violations. It counts the
// keys whose history is not linearizable, and all keys that have a history.
func countNonLinearizable(config machineConfig, runs, steps int) (nonLinearizable, all int) {
	for seed := range uint64(runs) {
		m := newMachine(config, rand.New(rand.NewPCG(2, seed)).IntN)
		seen := map[*keyTruth]bool{}
		for range steps {
			_ = m.Step()
			for _, k := range m.keys {
				seen[k] = true
			}
		}
		for k := range seen {
			ops := history(k)
			if len(ops) == 0 {
				continue
			}
			all++
			if !porcupine.CheckOperations(keyModel, ops) {
				nonLinearizable++
			}
		}
	}
	return nonLinearizable, all
}

func TestKeyHistoryIsLinearizable(t *testing.T) {
	tests := []struct {
		name         string
		config       machineConfig
		linearizable bool
	}{
		{"all guards", machineConfig{}, true},
		{"no read back", machineConfig{disabledGuards: guardReadBack}, false},
		{"not run for any attempt", machineConfig{treatAllAsFirst: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			nonLinearizable, all := countNonLinearizable(test.config, 25, 500)
			t.Logf("%d of %d histories are not linearizable", nonLinearizable, all)
			NewWithT(t).Expect(nonLinearizable == 0).To(Equal(test.linearizable))
		})
	}
}
