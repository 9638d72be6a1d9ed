package spec

import (
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	safe     = "errors: 0"          // the whole state space was searched without a violation
	violated = "assertion violated" // spin found a failing assertion
)

// specifications lists the checks: a file, the switch that disables one guard or "" for
// none, and the expected output of the checker.
var specifications = []struct{ file, disabledGuard, output string }{
	{"claims.pml", "", safe},
	{"claims.pml", "NO_READ_BACK", violated},
	{"claims.pml", "NO_WINNER_RELEASE", violated},
	{"claims.pml", "NO_GAP_CHECK", violated},
	{"claims.pml", "NO_SINGLE_USE", violated},
	{"claims.pml", "NO_CANCELLATION", violated},
	{"claims.pml", "NO_SINGLE_DECISION", violated},
	{"claims.pml", "NO_FRESH_READ", violated},
	{"claims.pml", "NO_FIRST_CHECK", violated},
	{"configuration.pml", "", safe},
	{"configuration.pml", "NO_DEDUPLICATION", violated},
	{"configuration.pml", "NO_VERSION_CHECK", violated},
	{"configuration.pml", "NO_SNAPSHOT_CHECK", violated},
	{"configuration.pml", "NO_NEWEST_CHECK", violated},
	{"configuration.pml", "NO_PEER_CHECK", violated},
	{"configuration.pml", "NO_FORMAT_CHECK", violated},
	{"epochs.pml", "", safe},
	{"epochs.pml", "NO_GRANT", violated},
	{"epochs.pml", "NO_CONFIRM", violated},
	{"epochs.pml", "NO_OWN", violated},
	{"epochs.pml", "NO_ORDERED", violated},
	{"groups.pml", "", safe},
	{"groups.pml", "NO_SINGLE_GROUP", violated},
	{"groups.pml", "NO_SINGLE_CLAIM", violated},
	{"groups.pml", "NO_CLAIM_CHECK", violated},
	{"groups.pml", "NO_QUARANTINE_CHECK", violated},
	{"groups.pml", "NO_UNKNOWN_OUTCOME", violated},
	{"groups.pml", "NO_MEMBER_CHECK", violated},
	{"groups.pml", "NO_SINGLE_ORDER", violated},
	{"groups.pml", "NO_OBSERVATION_CHECK", violated},
	{"groups.pml", "NO_SINGLE_SEND", violated},
	{"orders.pml", "", safe},
	{"orders.pml", "NO_COUNT_CHECK", violated},
	{"orders.pml", "NO_CONSISTENT_REPORT", violated},
	{"orders.pml", "NO_GROUP_CHECK", violated},
	{"orders.pml", "NO_READY_CHECK", violated},
	{"orders.pml", "CHECK_AT_ARRIVAL", violated},
}

func TestSpecifications(t *testing.T) {
	for _, tool := range []string{"spin", "gcc"} {
		if err := installIfMissing(t, tool); err != nil {
			t.Fatalf("%s is not installed, and the specifications cannot be checked without it", tool)
		}
	}
	for _, s := range specifications {
		t.Run(s.file+" "+s.disabledGuard, func(t *testing.T) {
			t.Parallel()
			expectChecker(t, s.file, s.disabledGuard, s.output)
		})
	}
}

// expectChecker builds the checker of a specification in a temporary directory, runs it
// and compares its output.
func expectChecker(t *testing.T, file, disabledGuard, output string) {
	t.Helper()
	g := NewWithT(t)
	source, err := filepath.Abs(file)
	g.Expect(err).NotTo(HaveOccurred())
	dir := t.TempDir()
	run := func(name string, args ...string) string {
		command := exec.CommandContext(t.Context(), name, args...)
		command.Dir = dir
		out, err := command.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), "%s: %s", name, out)
		return string(out)
	}
	generate := []string{"-a", source}
	if disabledGuard != "" {
		generate = append([]string{"-D" + disabledGuard}, generate...)
	}
	run("spin", generate...)
	run("gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=2048", "-o", "pan", "pan.c")
	out := run("./pan", "-m100000")
	g.Expect(out).To(ContainSubstring(output))
	g.Expect(out).NotTo(Or(ContainSubstring("search depth too small"), ContainSubstring("reached -DMEMLIM")))
}

// installIfMissing installs a tool from the system's package manager if it is missing.
func installIfMissing(t *testing.T, tool string) error {
	t.Helper()
	_, err := exec.LookPath(tool)
	if err == nil {
		return nil
	}
	for _, args := range [][]string{{"update", "-qq"}, {"install", "-y", "-qq", tool}} {
		if out, err := exec.Command("apt-get", args...).CombinedOutput(); err != nil {
			t.Logf("apt-get %v: %v\n%s", args, err, out)
		}
	}
	_, err = exec.LookPath(tool)
	return err
}
