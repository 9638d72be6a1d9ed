package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// explainCommand prints the log of a request from the logs of several processes.
func explainCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("explain", stderr)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "chicorystall explain ID FILE...",
		ShortHelp:  "Prints the log lines of a request from the logs of several processes.",
		LongHelp:   "Prints the log lines of the request and of its workers during the request, ordered by time,\nand the gaps between them.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return cli.Usagef("explain needs a request's ID and at least one log file")
			}
			return explainRequest(stdout, args[0], args[1:])
		},
	}
}

// explainRequest reads the files twice: first for the request's lines, which name its
// workers, then also for the lines about these workers.
func explainRequest(stdout io.Writer, request string, files []string) error {
	lines, err := collectLines(files, request, nil)
	if err != nil {
		return err
	}
	if places := telemetry.Places(lines); len(places) > 0 {
		if lines, err = collectLines(files, request, places); err != nil {
			return err
		}
	}
	return telemetry.Explain(stdout, request, lines)
}

func collectLines(files []string, request string, workers map[string]bool) ([]telemetry.Line, error) {
	var all []telemetry.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := telemetry.Collect(file, request, workers)
		file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
