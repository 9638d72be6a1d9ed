package claim

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestMachineKeepsEveryPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{retention: rapid.Bool().Draw(t, "retention")}
		m := newMachine(f, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range 300 {
			if err := m.Step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// runSeeded runs the machine from seeds until the oracle finds a violation, and
// returns it with the runs that were needed.
func runSeeded(f faults, stream uint64, runs, steps int) (int, error) {
	for seed := range uint64(runs) {
		f.retention = seed%2 == 0
		m := newMachine(f, rand.New(rand.NewPCG(stream, seed)).IntN)
		for range steps {
			if err := m.Step(); err != nil {
				return int(seed) + 1, err
			}
		}
	}
	return runs, nil
}

func TestSeededMachineKeepsEveryPromise(t *testing.T) {
	_, err := runSeeded(faults{}, 1, 60, 600)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

// TestEachGuardMatters shows that the oracle finds a violation with a guard off.
func TestEachGuardMatters(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		stream uint64 // of the random source: one that finds the violation soon
		want   string
	}{
		{"read back", faults{disabled: guardReadBack}, 1, "runs twice"},
		{"release by the winner", faults{disabled: guardWinnerRelease, runsOnly: true}, 1, "runs twice|not run"},
		{"coverage", faults{disabled: guardCoverage, runsOnly: true}, 1, "runs twice|not run"},
		{"single use", faults{disabled: guardSingleUse}, 1, "runs twice"},
		{"given up for good", faults{disabled: guardGivenUp}, 1, "runs after its attempt was told NotRun"},
		{"one verdict", faults{disabled: guardOneVerdict}, 1, "held by an attempt that ended"},
		{"fresh read", faults{disabled: guardFreshRead}, 16, "told not run"},
		{"clock of the log", faults{disabled: guardLogClock, runsOnly: true}, 19, "runs twice|not run"},
		{"first attempt", faults{anyFirst: true}, 1, "told not run"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs, err := runSeeded(test.faults, test.stream, 2000, 600)
			t.Logf("after %d runs: %v", runs, err)
			NewWithT(t).Expect(err).To(MatchError(MatchRegexp(test.want)))
		})
	}
}
