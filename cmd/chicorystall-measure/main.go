// Command chicorystall-measure runs measurements, each beside a plain baseline
// in the same run.
//
// Exit codes: 0 when the measurement ran, 1 when it failed, 2 when the arguments
// are wrong.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/measure"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError reports wrong arguments.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

func main() {
	measure.RunChild()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return fail(stderr, exitUsage, err)
	}
	err := root.Run(ctx)
	var usage *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		return fail(stderr, exitUsage, err)
	}
	return fail(stderr, exitFailed, err)
}

func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintf(stderr, "chicorystall-measure: %v\n", err)
	return code
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "chicorystall-measure",
		ShortUsage:  "chicorystall-measure list|run [flags]",
		ShortHelp:   "Runs measurements, each beside a plain baseline in the same run.",
		LongHelp:    "Exit codes: 0 the measurement ran, 1 it failed, 2 wrong arguments.",
		FlagSet:     newFlags("chicorystall-measure", stderr),
		Subcommands: []*ffcli.Command{listCommand(stdout, stderr), runCommand(stdout, stderr)},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("command %q does not exist, see chicorystall-measure -h", args[0])
			}
			return usagef("a command is missing, see chicorystall-measure -h")
		},
	}
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}
