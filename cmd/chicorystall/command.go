package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/user"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/operator"
	"github.com/chicorystall/chicorystall/internal/readlimit"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// entryFlags holds the flags of a command that calls an entry instance.
type entryFlags struct {
	address   string
	json      bool
	commandID string
}

func (e *entryFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&e.address, "entry", "127.0.0.1:9080", "operators' `address` (setting OperatorsAddress) of any entry instance")
	flags.BoolVar(&e.json, "json", false, "print JSON")
}

// registerChange adds the flags of a command that changes the configuration.
func (e *entryFlags) registerChange(flags *flag.FlagSet) {
	e.register(flags)
	flags.StringVar(&e.commandID, "id", "", "`ID` of an earlier attempt whose outcome is unknown")
}

func (e *entryFlags) client() operator.Client { return operator.Client{Address: e.address} }

// changeSpec describes a command that changes the configuration.
type changeSpec struct {
	name, usage, help string
	argCount          int
	newCommand        func(args []string) (operator.Command, error)
}

// changeCommand returns a command that records a change and prints the entry
// instances at which it is in force.
func changeCommand(parentName string, c changeSpec, stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags(c.name, stderr)
	var target entryFlags
	target.registerChange(flags)
	return &ffcli.Command{
		Name:       c.name,
		ShortUsage: fmt.Sprintf("chicorystall %s %s [flags] %s", parentName, c.name, c.usage),
		ShortHelp:  c.help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != c.argCount {
				return cli.Usagef("%s %s takes %s", parentName, c.name, c.usage)
			}
			command, err := c.newCommand(args)
			if err != nil {
				return err
			}
			return target.send(ctx, stdout, command)
		},
	}
}

// send sends the command to the entry instance and prints the result.
func (e *entryFlags) send(ctx context.Context, stdout io.Writer, command operator.Command) error {
	command.ID = e.commandID
	if command.ID == "" {
		command.ID = uuid.NewString()
	}
	command.Writer = userName()
	result, err := e.client().Send(ctx, command)
	if err != nil {
		return fmt.Errorf("%w\nthe outcome of the command is unknown; repeat it with -id %s to find out", err, command.ID)
	}
	if e.json {
		printJSON(stdout, result)
	} else {
		printResult(stdout, result)
	}
	if !result.Accepted {
		return cli.ErrReported
	}
	return nil
}

func printResult(out io.Writer, result operator.Result) {
	switch {
	case result.MayTakeEffect:
		fmt.Fprintf(out, "outcome unknown: %s\nrepeat the command with -id %s to find out\n", result.Error, result.ID)
	case result.Error != "":
		fmt.Fprintf(out, "not recorded: %s\n", result.Error)
	case !result.Accepted:
		fmt.Fprintf(out, "refused at offset %d:\n%s\n", result.Offset, result.Findings.Error())
	default:
		fmt.Fprintf(out, "accepted at offset %d\n", result.Offset)
		fmt.Fprintf(out, "in force at %d entry instances: %v\n", len(result.InForce), result.InForce)
		if len(result.NotInForce) > 0 {
			fmt.Fprintf(out, "not yet in force, or entry instance unreachable: %v\n", result.NotInForce)
		}
	}
}

// userName returns the name under which commands are recorded.
func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "operator"
}

// maxFileBytes is the maximum size of a settings or configuration file. It equals
// the maximum size of a command that an entry instance accepts.
const maxFileBytes = 16 << 20

// readFleetFile parses a fleet file without checking references, since the file may
// hold a single item whose references are defined elsewhere.
func readFleetFile(file string) (fleet.Config, error) {
	data, err := readlimit.File(file, maxFileBytes)
	if err != nil {
		return fleet.Config{}, err
	}
	var config fleet.Config
	_, findings := fleet.Decode(file, data, &config)
	return config, findings.Err()
}
