// Command chicorystall-fake runs a fake of one of the systems around chicorystall: the
// platform, a model worker or a plain service. Its first line of output is the address
// at which it listens. It exits on SIGTERM or SIGINT.
//
// Exit codes: 0 after a signal or -h, 1 on failure, 2 if the arguments are invalid.
package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Stderr, rootCommand(os.Stdout, os.Stderr), os.Args[1:]))
}

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(ctx, stderr, rootCommand(stdout, stderr), args)
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "chicorystall-fake",
		ShortUsage: "chicorystall-fake platform|worker|service [flags]",
		ShortHelp:  "Runs one fake on a loopback address.",
		LongHelp:   "The address is printed as the first line. POST /control sets faults; GET /control returns what happened.",
		FlagSet:    cli.Flags("chicorystall-fake", stderr),
		Subcommands: []*ffcli.Command{
			platformCommand(stdout, stderr),
			workerCommand(stdout, stderr),
			serviceCommand(stdout, stderr),
		},
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return cli.Usagef("subcommand %q does not exist", args[0])
		}
		return cli.Usagef("a subcommand is missing: platform, worker or service")
	}
	return root
}

// withoutArgs returns an Exec function that rejects arguments after the flags.
func withoutArgs(exec func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return cli.Usagef("argument %q is not expected", args[0])
		}
		return exec(ctx)
	}
}

// requireName returns a usage error if the flag -name is missing.
func requireName(name string) error {
	if name == "" {
		return cli.Usagef("the flag -name is missing")
	}
	return nil
}
