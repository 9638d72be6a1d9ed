package claim

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMain sets the seed of the rapid tests to 1 unless the command line sets another.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := machineConfig{retention: rapid.Bool().Draw(t, "retention")}
		m := newMachine(config, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range 300 {
			if err := m.Step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// runSeeded runs the machine once per seed until the oracle finds a violation. It returns
// the number of runs and the violation.
func runSeeded(config machineConfig, stream uint64, runs, steps int) (int, error) {
	for seed := range uint64(runs) {
		config.retention = seed%2 == 0
		m := newMachine(config, rand.New(rand.NewPCG(stream, seed)).IntN)
		for range steps {
			if err := m.Step(); err != nil {
				return int(seed) + 1, err
			}
		}
	}
	return runs, nil
}

func TestSeededMachineInvariants(t *testing.T) {
	_, err := runSeeded(machineConfig{}, 1, 60, 600)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

// TestDisabledGuardCausesViolation checks that the oracle finds a violation when one guard
// is disabled.
func TestDisabledGuardCausesViolation(t *testing.T) {
	tests := []struct {
		name   string
		config machineConfig
		stream uint64 // of the random source, chosen so that the violation is found soon
		want   string
	}{
		{"read back", machineConfig{disabledGuards: guardReadBack}, 1, "runs twice"},
		{"release by the holder", machineConfig{disabledGuards: guardHolderRelease, ignoreStuckKeys: true}, 1, "runs twice|not run"},
		{"coverage", machineConfig{disabledGuards: guardCoverage, ignoreStuckKeys: true}, 1, "runs twice|not run"},
		{"single use", machineConfig{disabledGuards: guardSingleUse}, 1, "runs twice"},
		{"given up for good", machineConfig{disabledGuards: guardGivenUp}, 1, "runs after its caller got outcome NotRun"},
		{"decide once", machineConfig{disabledGuards: guardDecideOnce}, 1, "held by an attempt that ended"},
		{"fresh read", machineConfig{disabledGuards: guardFreshRead}, 16, "reported as not run"},
		{"early claim", machineConfig{disabledGuards: guardEarlyClaim, ignoreStuckKeys: true}, 19, "runs twice|not run"},
		{"first attempt", machineConfig{treatAllAsFirst: true}, 1, "reported as not run"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs, err := runSeeded(test.config, test.stream, 2000, 600)
			t.Logf("after %d runs: %v", runs, err)
			NewWithT(t).Expect(err).To(MatchError(MatchRegexp(test.want)))
		})
	}
}
