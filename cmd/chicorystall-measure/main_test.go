package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/measure"
)

func TestRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{name: "help", args: []string{"-h"}, stderr: "Exit codes"},
		{name: "list", args: []string{"list"}, stdout: "membership"},
		{name: "no command", code: cli.ExitUsage, stderr: "a command is missing"},
		{name: "unknown command", args: []string{"walk"}, code: cli.ExitUsage, stderr: `"walk"`},
		{name: "unknown measurement", args: []string{"run", "weather"}, code: cli.ExitUsage, stderr: `"weather"`},
		{name: "wrong flag", args: []string{"run", "-speed"}, code: cli.ExitUsage, stderr: "-speed"},
		{name: "wrong plot", args: []string{"run", "retries", "-plot", "a.bmp"}, code: cli.ExitUsage, stderr: "a.bmp"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var stdout, stderr bytes.Buffer
			code := run(context.Background(), test.args, &stdout, &stderr)
			g.Expect(code).To(Equal(test.code))
			g.Expect(stdout.String()).To(ContainSubstring(test.stdout))
			g.Expect(stderr.String()).To(ContainSubstring(test.stderr))
		})
	}
}

func TestRunWritesOutputFiles(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	out := outputFiles{jsonPath: filepath.Join(directory, "a.json"), plotPath: filepath.Join(directory, "a.svg")}
	tiny := measure.Measurement{Name: "tiny", Run: func(seed uint64) measure.Table {
		return measure.Table{Name: "tiny", Seed: seed, Columns: []string{"size", "time"}, Rows: [][]string{{"1", "2 ms"}}}
	}}
	var stdout, stderr bytes.Buffer
	g.Expect(runMeasurement(context.Background(), &stdout, &stderr, tiny, 7, out)).To(Succeed())
	g.Expect(stdout.String()).To(ContainSubstring("seed 7"))
	for _, file := range []string{out.jsonPath, out.plotPath} {
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(data).NotTo(BeEmpty())
	}
}

func TestRunFailsWithoutRows(t *testing.T) {
	g := NewWithT(t)
	var stdout, stderr bytes.Buffer
	none := measure.Measurement{Name: "none", Run: func(uint64) measure.Table { return measure.Table{Note: "no port"} }}
	g.Expect(runMeasurement(context.Background(), &stdout, &stderr, none, 1, outputFiles{})).To(MatchError(ContainSubstring("no port")))
}
