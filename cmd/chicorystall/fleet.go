package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/operator"
	"github.com/chicorystall/chicorystall/internal/readlimit"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

func fleetCommand(stdout, stderr io.Writer) *ffcli.Command {
	put := changeSpec{
		name: "put", usage: "FILE", help: "Replaces the whole configuration.", argCount: 1,
		newCommand: func(args []string) (operator.Command, error) {
			data, err := readlimit.File(args[0], maxFileBytes)
			if err != nil {
				return operator.Command{}, err
			}
			config, findings := fleet.Parse(args[0], data)
			return operator.Command{FleetPut: &config}, findings.Err()
		},
	}
	return parent("fleet", "Imports a whole configuration.", stderr,
		changeCommand("fleet", put, stdout, stderr), skipLostCommand(stdout, stderr))
}

// skipLostCommand returns a command that makes one entry instance continue after log
// entries that expired before it read them.
func skipLostCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("skip-lost", stderr)
	var target entryFlags
	target.register(flags)
	return &ffcli.Command{
		Name:       "skip-lost",
		ShortUsage: "chicorystall fleet skip-lost [flags]",
		ShortHelp:  "Makes an entry instance continue after log entries that expired before it read them.",
		LongHelp:   "Use it only if no running entry instance has their state: the content of the entries is lost.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cli.Usagef("fleet skip-lost takes no arguments")
			}
			result, err := target.client().SkipLost(ctx)
			if err != nil {
				return err
			}
			if target.json {
				printJSON(stdout, result)
			} else {
				fmt.Fprintf(stdout, "%v continues\n", result.InForce)
			}
			return nil
		},
	}
}

func presetCommand(stdout, stderr io.Writer) *ffcli.Command {
	changes := []changeSpec{
		{
			name: "put", usage: "FILE", help: "Adds or replaces the preset in the file.", argCount: 1,
			newCommand: func(args []string) (operator.Command, error) {
				config, err := readFleetFile(args[0])
				if err != nil {
					return operator.Command{}, err
				}
				if len(config.Presets) != 1 {
					return operator.Command{}, fmt.Errorf("file %q holds %d presets, want 1", args[0], len(config.Presets))
				}
				return operator.Command{PresetPut: &config.Presets[0]}, nil
			},
		},
		{
			name: "use", usage: "NAME", help: "Puts a preset into force.", argCount: 1,
			newCommand: func(args []string) (operator.Command, error) {
				return operator.Command{PresetUse: args[0]}, nil
			},
		},
		{
			name: "remove", usage: "NAME", help: "Removes a preset that is not in force.", argCount: 1,
			newCommand: func(args []string) (operator.Command, error) {
				return operator.Command{PresetRemove: args[0]}, nil
			},
		},
	}
	children := []*ffcli.Command{presetListCommand(stdout, stderr), presetShowCommand(stdout, stderr)}
	for _, c := range changes {
		children = append(children, changeCommand("preset", c, stdout, stderr))
	}
	return parent("preset", "Lists, changes and uses presets.", stderr, children...)
}

func presetListCommand(stdout, stderr io.Writer) *ffcli.Command {
	return readCommand("preset", "list", "", "Lists the presets.", 0, stdout, stderr,
		func(config operator.Configuration, _ []string) (any, [][]string, error) {
			rows := [][]string{{"PRESET", "IN FORCE", "ROUTES"}}
			for _, preset := range config.Config.Presets {
				inForce := ""
				if preset.Name == config.Preset {
					inForce = "yes"
				}
				rows = append(rows, []string{preset.Name, inForce, strconv.Itoa(len(preset.Routes))})
			}
			return config.Config.Presets, rows, nil
		})
}

func presetShowCommand(stdout, stderr io.Writer) *ffcli.Command {
	return readCommand("preset", "show", "NAME", "Shows the routes of a preset.", 1, stdout, stderr,
		func(config operator.Configuration, args []string) (any, [][]string, error) {
			preset, known := config.Config.Preset(args[0])
			if !known {
				return nil, nil, fmt.Errorf("preset %q does not exist at offset %d", args[0], config.Offset)
			}
			rows := [][]string{{"CLIENT ACCOUNTS", "GROUPS", "PRIORITY"}}
			for _, r := range preset.Routes {
				rows = append(rows, []string{strings.Join(r.ClientAccounts, " "), strings.Join(r.Groups, " "), strconv.Itoa(r.Priority)})
			}
			return preset, rows, nil
		})
}

func groupCommand(stdout, stderr io.Writer) *ffcli.Command {
	put := changeSpec{
		name: "put", usage: "FILE", help: "Adds or replaces the group in the file.", argCount: 1,
		newCommand: func(args []string) (operator.Command, error) {
			config, err := readFleetFile(args[0])
			if err != nil {
				return operator.Command{}, err
			}
			if len(config.Groups) != 1 {
				return operator.Command{}, fmt.Errorf("file %q holds %d groups, want 1", args[0], len(config.Groups))
			}
			return operator.Command{GroupPut: &config.Groups[0]}, nil
		},
	}
	remove := changeSpec{
		name: "remove", usage: "NAME", help: "Removes a group that no preset uses.", argCount: 1,
		newCommand: func(args []string) (operator.Command, error) {
			return operator.Command{GroupRemove: args[0]}, nil
		},
	}
	list := readCommand("group", "list", "", "Lists the configured groups.", 0, stdout, stderr,
		func(config operator.Configuration, _ []string) (any, [][]string, error) {
			rows := [][]string{{"GROUP", "MODEL", "VERSION", "DATA CENTRE", "MEMBERS"}}
			for _, g := range config.Config.Groups {
				rows = append(rows, []string{g.Name, g.Model, g.ModelVersion, g.DataCentre, strings.Join(g.Members, " ")})
			}
			return config.Config.Groups, rows, nil
		})
	return parent("group", "Lists and changes groups.", stderr, list,
		changeCommand("group", put, stdout, stderr), changeCommand("group", remove, stdout, stderr))
}

// readCommand returns a command that prints a part of the configuration. The function
// pick returns that part as a value for JSON and as the rows of a table.
func readCommand(
	parentName, name, usage, help string, argCount int, stdout, stderr io.Writer,
	pick func(operator.Configuration, []string) (value any, rows [][]string, err error),
) *ffcli.Command {
	flags := cli.Flags(name, stderr)
	var target entryFlags
	target.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace(fmt.Sprintf("chicorystall %s %s [flags] %s", parentName, name, usage)),
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != argCount {
				return cli.Usagef("%s %s takes %d arguments", parentName, name, argCount)
			}
			config, err := target.client().Configuration(ctx)
			if err != nil {
				return err
			}
			value, rows, err := pick(config, args)
			if err != nil {
				return err
			}
			if target.json {
				printJSON(stdout, value)
			} else {
				printTable(stdout, rows)
			}
			return nil
		},
	}
}

func dataCentreCommand(stdout, stderr io.Writer) *ffcli.Command {
	return parent("datacentre", "Takes data centres out and brings them back.", stderr,
		drainCommand("drain", "Takes a data centre out: it gets no new requests.", true, stdout, stderr),
		drainCommand("undrain", "Brings a data centre back.", false, stdout, stderr))
}

// drainCommand returns a command that records a drain mark, or sends it to one entry
// instance directly.
func drainCommand(name, help string, drained bool, stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags(name, stderr)
	var target entryFlags
	target.registerChange(flags)
	direct := flags.Bool("direct", false, "send the change only to this entry instance, not to the log")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: fmt.Sprintf("chicorystall datacentre %s [flags] NAME", name),
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return cli.Usagef("datacentre %s takes NAME", name)
			}
			if *direct {
				return target.override(ctx, stdout, operator.Override{DataCentre: args[0], Drained: drained})
			}
			if drained {
				return target.send(ctx, stdout, operator.Command{DataCentreDrain: args[0]})
			}
			return target.send(ctx, stdout, operator.Command{DataCentreUndrain: args[0]})
		},
	}
}

// override sends an override directly to the entry instance, and prints where it is in
// force, or why it was rejected.
func (e *entryFlags) override(ctx context.Context, stdout io.Writer, override operator.Override) error {
	result, err := e.client().Override(ctx, override)
	if err != nil {
		return err
	}
	if e.json {
		printJSON(stdout, result)
	} else if result.Accepted {
		fmt.Fprintf(stdout, "in force at %v until it has a configuration after offset %d\n", result.InForce, result.Offset)
	} else {
		fmt.Fprintln(stdout, result.Error)
	}
	if !result.Accepted {
		return cli.ErrReported
	}
	return nil
}
