package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/measure"
)

func listCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "chicorystall-measure list",
		ShortHelp:  "Lists the measurements.",
		FlagSet:    cli.Flags("list", stderr),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return cli.Usagef("list takes no arguments")
			}
			const padding = 2
			table := tabwriter.NewWriter(stdout, 0, 0, padding, ' ', 0)
			for _, m := range measure.List() {
				fmt.Fprintf(table, "%s\t%s\n", m.Name, m.Help)
			}
			return table.Flush()
		},
	}
}

// outputs are the files that a run writes beside its table.
type outputs struct {
	json, plot string
}

func runCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("run", stderr)
	seed := flags.Uint64("seed", 1, "`seed` of all that is random")
	var out outputs
	flags.StringVar(&out.json, "json", "", "write the table as JSON to the `file`")
	flags.StringVar(&out.plot, "plot", "", "draw the table to the `file`, which ends in .svg or .png")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "chicorystall-measure run [flags] NAME",
		ShortHelp:  "Runs a measurement and prints its table.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := flagsAfterName(flags.Parse, args)
			if err != nil {
				return err
			}
			if len(args) != 1 {
				return cli.Usagef("run takes the NAME of one measurement, see list")
			}
			m, known := measure.Find(args[0])
			if !known {
				return cli.Usagef("measurement %q does not exist, see list", args[0])
			}
			if extension := filepath.Ext(out.plot); out.plot != "" && extension != ".svg" && extension != ".png" {
				return cli.Usagef("plot file %q ends neither in .svg nor in .png", out.plot)
			}
			return runMeasure(ctx, stdout, stderr, m, *seed, out)
		},
	}
}

// flagsAfterName parses the flags that follow the name, and returns the rest.
func flagsAfterName(parse func([]string) error, args []string) ([]string, error) {
	if len(args) < 2 {
		return args, nil
	}
	if err := parse(args[1:]); err != nil {
		return nil, cli.Usagef("%v", err)
	}
	return args[:1], nil
}

const progressInterval = 500 * time.Millisecond

// runMeasure runs a measurement with a progress line and writes its results.
func runMeasure(ctx context.Context, stdout, stderr io.Writer, m measure.Measure, seed uint64, out outputs) error {
	done := make(chan measure.Table, 1)
	go func() { done <- m.Run(seed) }()
	table, err := await(ctx, stderr, m.Name, done)
	if err != nil {
		return err
	}
	if err := table.Print(stdout); err != nil {
		return err
	}
	if out.json != "" {
		if err := table.WriteJSON(out.json); err != nil {
			return err
		}
	}
	if out.plot != "" {
		if err := table.Plot(out.plot); err != nil {
			return err
		}
	}
	if len(table.Rows) == 0 {
		return fmt.Errorf("measurement %q failed: %s", m.Name, table.Note)
	}
	return nil
}

func await(ctx context.Context, stderr io.Writer, name string, done <-chan measure.Table) (measure.Table, error) {
	begun := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	defer fmt.Fprintln(stderr)
	for {
		fmt.Fprintf(stderr, "\r%s: %.1f s ", name, time.Since(begun).Seconds())
		select {
		case table := <-done:
			return table, nil
		case <-ctx.Done():
			return measure.Table{}, ctx.Err()
		case <-ticker.C:
		}
	}
}
