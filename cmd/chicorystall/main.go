// Command chicorystall serves large models and plain services, and is the
// operators' tool for a running deployment.
//
// Exit codes: 0 when the command did what it says, 1 when it failed or found
// faults, 2 when its arguments are wrong.
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

// errReported reports a failure that was printed already.
var errReported = errors.New("failure was printed")

func main() {
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
	case errors.Is(err, errReported):
		return exitFailed
	}
	return fail(stderr, exitFailed, err)
}

func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintf(stderr, "chicorystall: %v\n", err)
	return code
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("chicorystall", stderr)
	root := &ffcli.Command{
		Name:       "chicorystall",
		ShortUsage: "chicorystall COMMAND [flags]",
		ShortHelp:  "Serves large models and plain services.",
		LongHelp:   "Exit codes: 0 done, 1 failed or faults found, 2 wrong arguments.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			serveCommand(stderr),
			checkCommand(stdout, stderr),
			fleetCommand(stdout, stderr),
			presetCommand(stdout, stderr),
			groupCommand(stdout, stderr),
			dataCentreCommand(stdout, stderr),
			statusCommand(stdout, stderr),
			demoCommand(stdout, stderr),
			versionCommand(stdout, stderr),
		},
	}
	root.Exec = needCommand(root.Name)
	return root
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

// needCommand is the action of a command that only has subcommands.
func needCommand(name string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("command %q does not exist, see %s -h", args[0], name)
		}
		return usagef("a command is missing, see %s -h", name)
	}
}

// parent returns a command that only has subcommands.
func parent(name, help string, stderr io.Writer, children ...*ffcli.Command) *ffcli.Command {
	command := &ffcli.Command{
		Name:        name,
		ShortUsage:  "chicorystall " + name + " COMMAND [flags]",
		ShortHelp:   help,
		FlagSet:     newFlags(name, stderr),
		Subcommands: children,
	}
	command.Exec = needCommand("chicorystall " + name)
	return command
}
