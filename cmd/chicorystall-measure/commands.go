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

// outputFiles holds the paths of the files that a run writes in addition to printing its
// table. A file whose path is empty is not written.
type outputFiles struct {
	jsonPath, plotPath string
}

func runCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("run", stderr)
	seed := flags.Uint64("seed", 1, "`seed` of the random source")
	var out outputFiles
	flags.StringVar(&out.jsonPath, "json", "", "write the table as JSON to the `file`")
	flags.StringVar(&out.plotPath, "plot", "", "plot the table to the `file`, which must end in .svg or .png")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "chicorystall-measure run [flags] NAME",
		ShortHelp:  "Runs a measurement and prints its table.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseFlagsAfterName(flags.Parse, args)
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
			if extension := filepath.Ext(out.plotPath); out.plotPath != "" && extension != ".svg" && extension != ".png" {
				return cli.Usagef("plot file %q ends neither in .svg nor in .png", out.plotPath)
			}
			return runMeasurement(ctx, stdout, stderr, m, *seed, out)
		},
	}
}

// parseFlagsAfterName parses the flags that follow the first argument, which is the
// measurement's name, and returns the name alone.
func parseFlagsAfterName(parse func([]string) error, args []string) ([]string, error) {
	if len(args) < 2 {
		return args, nil
	}
	if err := parse(args[1:]); err != nil {
		return nil, cli.Usagef("%v", err)
	}
	return args[:1], nil
}

const progressInterval = 500 * time.Millisecond

// runMeasurement runs a measurement, shows its progress on stderr and writes its results.
func runMeasurement(ctx context.Context, stdout, stderr io.Writer, m measure.Measurement, seed uint64, out outputFiles) error {
	done := make(chan measure.Table, 1)
	go func() { done <- m.Run(seed) }()
	table, err := awaitTable(ctx, stderr, m.Name, done)
	if err != nil {
		return err
	}
	if err := table.Print(stdout); err != nil {
		return err
	}
	if out.jsonPath != "" {
		if err := table.WriteJSON(out.jsonPath); err != nil {
			return err
		}
	}
	if out.plotPath != "" {
		if err := table.Plot(out.plotPath); err != nil {
			return err
		}
	}
	if len(table.Rows) == 0 {
		return fmt.Errorf("measurement %q failed: %s", m.Name, table.Note)
	}
	return nil
}

// awaitTable waits for a measurement's table and prints the elapsed time meanwhile. It
// returns an error if ctx is done first.
func awaitTable(ctx context.Context, stderr io.Writer, name string, done <-chan measure.Table) (measure.Table, error) {
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	defer fmt.Fprintln(stderr)
	for {
		fmt.Fprintf(stderr, "\r%s: %.1f s ", name, time.Since(start).Seconds())
		select {
		case table := <-done:
			return table, nil
		case <-ctx.Done():
			return measure.Table{}, ctx.Err()
		case <-ticker.C:
		}
	}
}
