// Package cli runs the command lines of this module's programs and maps their results
// to exit codes.
//
//	func main() {
//		os.Exit(cli.Main(os.Stderr, root, os.Args[1:]))
//	}
package cli

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
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// UsageError reports invalid arguments. Its exit code is ExitUsage.
type UsageError struct{ message string }

// Error implements error.
func (e *UsageError) Error() string { return e.message }

// Usagef returns a *UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{fmt.Sprintf(format, args...)}
}

// ErrReported is returned by a command that has already printed its failure. Its exit
// code is ExitFailed, and nothing more is printed.
var ErrReported = errors.New("command failed; its failure was already printed")

// Main runs a command line and returns the exit code. SIGINT or SIGTERM cancels the
// command's context.
func Main(stderr io.Writer, root *ffcli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, stderr, root, args)
}

// Run runs a command line and returns the exit code.
func Run(ctx context.Context, stderr io.Writer, root *ffcli.Command, args []string) int {
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return reportError(stderr, root, ExitUsage, err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	var usage *UsageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		return reportError(stderr, root, ExitUsage, err)
	case errors.Is(err, ErrReported):
		return ExitFailed
	}
	return reportError(stderr, root, ExitFailed, err)
}

// reportError prints an error after the program's name and returns the exit code.
func reportError(stderr io.Writer, root *ffcli.Command, code int, err error) int {
	fmt.Fprintf(stderr, "%s: %v\n", root.Name, err)
	return code
}

// Flags returns a flag set that prints to stderr and returns an error, instead of
// ending the process, if parsing fails.
func Flags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

// RequireSubcommand returns the Exec function of a command that has only subcommands.
// It returns a usage error. The name is the full name of the command, for example
// "chicorystall preset".
func RequireSubcommand(name string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return Usagef("command %q does not exist, see %s -h", args[0], name)
		}
		return Usagef("a command is missing, see %s -h", name)
	}
}
