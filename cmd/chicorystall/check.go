package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/readlimit"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

func checkCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("check", stderr)
	asJSON := flags.Bool("json", false, "print the findings as JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "chicorystall check [flags] FILE...",
		ShortHelp:  "Checks settings files and prints every finding with its position.",
		LongHelp: "A file with a settings key of an entry instance, such as CallersAddress, is checked as the\n" +
			"settings of an entry instance; any other file as a fleet configuration.",
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return cli.Usagef("check needs a file")
			}
			findings, err := checkFiles(args)
			if err != nil {
				return err
			}
			return reportFindings(stdout, findings, len(args), *asJSON)
		},
	}
}

func checkFiles(files []string) (fleet.Findings, error) {
	var all fleet.Findings
	for _, file := range files {
		data, err := readlimit.File(file, maxFileBytes)
		if err != nil {
			return nil, err
		}
		if entry.IsSettings(data) {
			_, findings := entry.ParseSettings(file, data)
			all = append(all, findings...)
			continue
		}
		_, findings := fleet.Parse(file, data)
		all = append(all, findings...)
	}
	return all, nil
}

func reportFindings(stdout io.Writer, findings fleet.Findings, files int, asJSON bool) error {
	switch {
	case asJSON:
		if findings == nil {
			findings = fleet.Findings{}
		}
		printJSON(stdout, findings)
	case len(findings) == 0:
		fmt.Fprintf(stdout, "%d files, no findings\n", files)
	default:
		fmt.Fprintln(stdout, findings.Error())
	}
	if len(findings) > 0 {
		return cli.ErrReported
	}
	return nil
}
