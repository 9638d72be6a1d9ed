package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

func TestRun(t *testing.T) {
	directory := t.TempDir()
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
		file   string
	}{
		{name: "help", args: []string{"-h"}, stderr: "Exit codes"},
		{name: "list", args: []string{"list"}, stdout: "membership"},
		{name: "no command", code: exitUsage, stderr: "a command is missing"},
		{name: "unknown command", args: []string{"walk"}, code: exitUsage, stderr: `"walk"`},
		{name: "unknown measurement", args: []string{"run", "weather"}, code: exitUsage, stderr: `"weather"`},
		{name: "wrong flag", args: []string{"run", "-speed"}, code: exitUsage, stderr: "-speed"},
		{name: "wrong plot", args: []string{"run", "retries", "-plot", "a.bmp"}, code: exitUsage, stderr: "a.bmp"},
		{name: "json", args: []string{"run", "limits-cold-start", "-seed", "2", "-json", filepath.Join(directory, "a.json")}, stdout: "seed 2", file: "a.json"},
		{name: "svg", args: []string{"run", "-plot", filepath.Join(directory, "a.svg"), "limits-cold-start"}, stdout: "seed 1", file: "a.svg"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var stdout, stderr bytes.Buffer
			code := run(context.Background(), test.args, &stdout, &stderr)
			g.Expect(code).To(Equal(test.code))
			g.Expect(stdout.String()).To(ContainSubstring(test.stdout))
			g.Expect(stderr.String()).To(ContainSubstring(test.stderr))
			if test.file == "" {
				return
			}
			data, err := os.ReadFile(filepath.Join(directory, test.file))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(data).NotTo(BeEmpty())
		})
	}
}
