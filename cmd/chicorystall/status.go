package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/operator"
)

func statusCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("status", stderr)
	var target entryFlags
	target.register(flags)
	askAll := flags.Bool("instances", true, "also query all other entry instances")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "chicorystall status [flags]",
		ShortHelp:  "Shows the state of an entry instance, its data centre and the other entry instances.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cli.Usagef("status takes no arguments")
			}
			status, err := target.client().Status(ctx, *askAll)
			if err != nil {
				return err
			}
			if target.json {
				printJSON(stdout, status)
			} else {
				printStatus(stdout, status)
			}
			return nil
		},
	}
}

func printStatus(out io.Writer, s operator.Status) {
	ready := "ready"
	if s.NotReady != "" {
		ready = "not ready: " + s.NotReady
	}
	behind := ""
	if s.ConfigBehind {
		behind = ", newer configuration may exist"
	}
	fmt.Fprintf(out, "%s in %s: %s\n", s.Instance, s.DataCentre, ready)
	if s.ConfigLost {
		fmt.Fprintln(out, "log entries expired before they were read, see chicorystall fleet skip-lost -h")
	}
	fmt.Fprintf(out, "preset %q in force at offset %d (from %s%s)\n", s.Preset, s.ConfigOffset, s.ConfigSource, behind)
	fmt.Fprintf(out, "%d requests in progress, %d of them waiting\n\n", s.InHand, s.Waiting)

	rows := [][]string{{"DATA CENTRE", "DRAINED"}}
	for _, dc := range s.DataCentres {
		rows = append(rows, []string{dc.Name, yesOrEmpty(dc.Drained)})
	}
	printTable(out, rows)
	fmt.Fprintln(out)

	rows = [][]string{{"GROUP", "MODEL", "PHASE", "EPOCH", "BEARS", "IN FLIGHT", "MEMBERS", "NOT WHOLE"}}
	for _, g := range s.Groups {
		rows = append(rows, []string{
			g.Name, g.Model, g.Phase, fmt.Sprint(g.Epoch), strconv.Itoa(g.Bears), strconv.Itoa(g.InFlight),
			strings.Join(g.Members, " "), g.NotWhole,
		})
	}
	printTable(out, rows)

	if len(s.Instances) > 0 {
		fmt.Fprintln(out)
		rows = [][]string{{"ENTRY INSTANCE", "DATA CENTRE", "ADDRESS", "CONFIGURATION", "BEHIND"}}
		for _, i := range s.Instances {
			rows = append(rows, []string{i.Name, i.DataCentre, i.Address, strconv.FormatInt(i.ConfigOffset, 10), yesOrEmpty(i.Behind)})
		}
		printTable(out, rows)
	}
	if len(s.Unreachable) > 0 {
		fmt.Fprintf(out, "unreachable: %v\n", s.Unreachable)
	}
}

func yesOrEmpty(b bool) string {
	if b {
		return "yes"
	}
	return ""
}

func versionCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "chicorystall version",
		ShortHelp:  "Prints the version.",
		FlagSet:    cli.Flags("version", stderr),
		Exec: func(context.Context, []string) error {
			version := "development"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				version = info.Main.Version
			}
			fmt.Fprintln(stdout, "chicorystall", version)
			return nil
		},
	}
}
