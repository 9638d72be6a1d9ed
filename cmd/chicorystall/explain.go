package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// explainCommand tells a request's story from the logs of several processes.
func explainCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("explain", stderr)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "chicorystall explain ID FILE...",
		ShortHelp:  "Tells what became of a request, from the logs of several processes.",
		LongHelp:   "Prints the request's log lines in the order of time, with what became known of its workers\nmeanwhile and with the gaps.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return cli.Usagef("explain needs a request's ID and at least one log file")
			}
			return explain(stdout, args[0], args[1:])
		},
	}
}

// explain reads the files twice: the request's lines name its workers.
func explain(stdout io.Writer, request string, files []string) error {
	lines, err := collectAll(files, request, nil)
	if err != nil {
		return err
	}
	if places := telemetry.Places(lines); len(places) > 0 {
		if lines, err = collectAll(files, request, places); err != nil {
			return err
		}
	}
	return telemetry.Explain(stdout, request, lines)
}

func collectAll(files []string, request string, about map[string]bool) ([]telemetry.Line, error) {
	var all []telemetry.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := telemetry.Collect(file, request, about)
		file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
