package spec

import (
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// groupsWithout lists the switches that take one guard of groups.pml away.
var groupsWithout = []string{
	"NO_UNIQUE", "NO_SOLE", "NO_APART", "NO_QUARANTINE", "NO_UNKNOWN",
	"NO_TAKEOVER", "NO_ONEORDER", "NO_OBSERVED", "NO_ONCE",
}

func TestGroups(t *testing.T) {
	t.Run("all guards", func(t *testing.T) { wantGroups(t, "", "errors: 0") })
	for _, without := range groupsWithout {
		t.Run(without, func(t *testing.T) { wantGroups(t, without, "assertion violated") })
	}
}

// wantGroups passes when the checker says what it should.
func wantGroups(t *testing.T, without, want string) {
	t.Helper()
	g := NewWithT(t)
	source, err := filepath.Abs("groups.pml")
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
	if without != "" {
		generate = append([]string{"-D" + without}, generate...)
	}
	run("spin", generate...)
	run("gcc", "-O1", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=2048", "-o", "pan", "pan.c")
	out := run("./pan", "-m100000")
	g.Expect(out).To(ContainSubstring(want))
	g.Expect(out).NotTo(Or(ContainSubstring("search depth too small"), ContainSubstring("reached -DMEMLIM")))
}
