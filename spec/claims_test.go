package spec

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// TestClaims checks the specification with all guards, and without each of them.
func TestClaims(t *testing.T) {
	if _, err := exec.LookPath("spin"); err != nil {
		t.Skip("spin is not installed")
	}
	tests := []struct {
		file    string
		without string // switch that takes a guard away
		holds   bool
	}{
		{"claims.pml", "", true},
		{"claims.pml", "NO_READ_BACK", false},
		{"claims.pml", "NO_WINNER_RELEASE", false},
		{"claims.pml", "NO_COVERAGE", false},
		{"claims.pml", "NO_SINGLE_USE", false},
		{"claims.pml", "NO_GIVEN_UP", false},
		{"claims.pml", "NO_ONE_VERDICT", false},
		{"claims.pml", "NO_FRESH_READ", false},
		{"claims.pml", "ANY_FIRST", false},
	}
	for _, test := range tests {
		t.Run(test.file+" "+test.without, func(t *testing.T) {
			expectVerdict(t, test.file, test.without, test.holds)
		})
	}
}

// expectVerdict runs the checker and compares what it found.
func expectVerdict(t *testing.T, file, without string, holds bool) {
	t.Helper()
	g := NewWithT(t)
	source, err := filepath.Abs(file)
	g.Expect(err).NotTo(HaveOccurred())
	dir := t.TempDir()
	args := []string{"-a"}
	if without != "" {
		args = append(args, "-D"+without)
	}
	command(t, dir, "spin", append(args, source)...)
	command(t, dir, "cc", "-O2", "-w", "-DSAFETY", "-DMEMLIM=2048", "-DCOLLAPSE", "-o", "pan", "pan.c")
	out := command(t, dir, "./pan", "-m100000")
	g.Expect(out).NotTo(ContainSubstring("search depth too small"))
	g.Expect(out).NotTo(ContainSubstring("reached -DMEMLIM"))
	if holds {
		g.Expect(out).To(ContainSubstring("errors: 0"))
		return
	}
	g.Expect(out).To(ContainSubstring("assertion violated"))
}

func command(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	cmd.Env = os.Environ()
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
	return string(out)
}
