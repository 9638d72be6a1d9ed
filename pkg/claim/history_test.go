package claim

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
)

// keyModel is a key as its callers see it: a register that a run sets once.
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

// history returns what the callers of a key saw, and the runs as operations that
// end when the request is sent.
func history(k *keyTruth) []porcupine.Operation {
	var ops []porcupine.Operation
	for n, c := range k.calls {
		op := porcupine.Operation{ClientId: n, Input: c.outcome.Kind, Call: int64(c.began), Return: int64(c.toldAt)}
		if c.ranAt != 0 {
			op.Input, op.Return = Run, int64(c.ranAt)
		}
		if c.ranAt != 0 || c.told {
			ops = append(ops, op)
		}
	}
	return ops
}

// illegalHistories runs the machine on after violations and counts the keys
// whose history is not linearizable, out of all keys that were told anything.
func illegalHistories(f faults, runs, steps int) (illegal, all int) {
	for seed := range uint64(runs) {
		m := newMachine(f, rand.New(rand.NewPCG(2, seed)).IntN)
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
				illegal++
			}
		}
	}
	return illegal, all
}

func TestHistoryOfAKeyIsLinearizable(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		legal  bool
	}{
		{"all guards", faults{}, true},
		{"no read back", faults{disabled: guardReadBack}, false},
		{"not run for any attempt", faults{anyFirst: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			illegal, all := illegalHistories(test.faults, 25, 500)
			t.Logf("%d of %d histories are not linearizable", illegal, all)
			NewWithT(t).Expect(illegal == 0).To(Equal(test.legal))
		})
	}
}
