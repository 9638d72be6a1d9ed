// Command chicorystall-measure runs measurements. Each compares the system with a
// simple baseline in the same run.
//
// Exit codes: 0 if the measurement ran, 1 if it failed, 2 if the arguments are
// invalid.
package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/measure"
)

func main() {
	measure.RunChild()
	os.Exit(cli.Main(os.Stderr, rootCommand(os.Stdout, os.Stderr), os.Args[1:]))
}

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(ctx, stderr, rootCommand(stdout, stderr), args)
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "chicorystall-measure",
		ShortUsage:  "chicorystall-measure list|run [flags]",
		ShortHelp:   "Runs measurements, each compared with a simple baseline in the same run.",
		LongHelp:    "Exit codes: 0 the measurement ran, 1 it failed, 2 invalid arguments.",
		FlagSet:     cli.Flags("chicorystall-measure", stderr),
		Subcommands: []*ffcli.Command{listCommand(stdout, stderr), runCommand(stdout, stderr)},
		Exec:        cli.RequireSubcommand("chicorystall-measure"),
	}
}
