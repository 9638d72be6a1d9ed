// Command chicorystall serves large models and plain services. It is also the
// operators' command-line tool for a running deployment.
//
// Exit codes: 0 if the command succeeded, 1 if it failed or found faults, 2 if its
// arguments are invalid.
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
	flags := cli.Flags("chicorystall", stderr)
	root := &ffcli.Command{
		Name:       "chicorystall",
		ShortUsage: "chicorystall COMMAND [flags]",
		ShortHelp:  "Serves large models and plain services.",
		LongHelp:   "Exit codes: 0 success, 1 failure or faults found, 2 invalid arguments.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			serveCommand(stderr),
			checkCommand(stdout, stderr),
			fleetCommand(stdout, stderr),
			presetCommand(stdout, stderr),
			groupCommand(stdout, stderr),
			dataCentreCommand(stdout, stderr),
			statusCommand(stdout, stderr),
			platformCommand(stdout, stderr),
			explainCommand(stdout, stderr),
			demoCommand(stdout, stderr),
			versionCommand(stdout, stderr),
		},
	}
	root.Exec = cli.RequireSubcommand(root.Name)
	return root
}

// parent returns a command that has only subcommands.
func parent(name, help string, stderr io.Writer, children ...*ffcli.Command) *ffcli.Command {
	command := &ffcli.Command{
		Name:        name,
		ShortUsage:  "chicorystall " + name + " COMMAND [flags]",
		ShortHelp:   help,
		FlagSet:     cli.Flags(name, stderr),
		Subcommands: children,
	}
	command.Exec = cli.RequireSubcommand("chicorystall " + name)
	return command
}
