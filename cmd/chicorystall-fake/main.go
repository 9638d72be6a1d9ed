// Command chicorystall-fake runs one stand-in of the systems around
// chicorystall: the platform, a model worker or a plain service. It prints the
// address that it listens at as its first line and ends on SIGTERM or SIGINT.
//
// Exit codes: 0 after a signal or -h, 1 on a failure, 2 on wrong usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks an error of the command line.
var errUsage = errors.New("wrong usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := command(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := root.Run(ctx); {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp), errors.Is(err, errUsage):
		fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
}

func command(stdout, stderr io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "chicorystall-fake",
		ShortUsage: "chicorystall-fake platform|worker|service [flags]",
		ShortHelp:  "Runs one stand-in on a loopback address.",
		LongHelp:   "The address is printed as the first line. Faults are set by POST /control; GET /control tells what happened.",
		FlagSet:    newFlagSet("chicorystall-fake", stderr),
		Subcommands: []*ffcli.Command{
			platformCommand(stdout, stderr),
			workerCommand(stdout, stderr),
			serviceCommand(stdout, stderr),
		},
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return errors.Wrapf(errUsage, "subcommand %q does not exist", args[0])
		}
		return errors.Wrap(errUsage, "a subcommand is missing: platform, worker or service")
	}
	return root
}

func newFlagSet(name string, output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(output)
	return flags
}

// noArgs refuses words after the flags.
func noArgs(exec func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return errors.Wrapf(errUsage, "argument %q is not expected", args[0])
		}
		return exec(ctx)
	}
}

func needName(name string) error {
	if name == "" {
		return errors.Wrap(errUsage, "the flag -name is missing")
	}
	return nil
}
