package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/platform"
)

// platformCommand serves on the users' platform.
func platformCommand(stdout, stderr io.Writer) *ffcli.Command {
	return parent("platform", "Serves on the users' platform.", stderr,
		platformServeCommand(stdout, stderr), platformCheckCommand(stdout, stderr))
}

func platformServeCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("platform serve", stderr)
	settings := flags.String("settings", os.Getenv(platform.SettingsVariable), "settings `file` of the platform")
	metrics := flags.Int("metrics-port", 0, "`port` that serves metrics; 0 serves none")
	level := flags.String("log-level", "info", "lowest `level` that is logged: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "chicorystall platform serve [flags]",
		ShortHelp:  "Runs one entry instance on the platform.",
		LongHelp:   "The settings file is named by " + platform.SettingsVariable + " where -settings is not given.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cli.Usagef("platform serve needs no arguments")
			}
			parsed, err := logrus.ParseLevel(*level)
			if err != nil {
				return cli.Usagef("%v", err)
			}
			err = platform.Run(ctx, platform.Options{
				SettingsPath: *settings, MetricsPort: *metrics, LogLevel: parsed, Output: stdout,
			})
			return settingsFailure(err)
		},
	}
}

func platformCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("platform check", stderr)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "chicorystall platform check FILE...",
		ShortHelp:  "Checks settings files of the platform and prints every finding with its key.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return cli.Usagef("platform check needs a file")
			}
			failed := false
			for _, file := range args {
				var wrong *platform.SettingsError
				_, err := platform.ReadSettings(file)
				switch {
				case errors.As(err, &wrong):
					fmt.Fprintln(stdout, wrong)
					failed = true
				case err != nil:
					return err
				}
			}
			if failed {
				return cli.ErrReported
			}
			fmt.Fprintf(stdout, "%d files, no findings\n", len(args))
			return nil
		},
	}
}

// settingsFailure makes settings that can't be used a wrong use of the command.
func settingsFailure(err error) error {
	var wrong *platform.SettingsError
	if errors.As(err, &wrong) {
		return cli.Usagef("%v", wrong)
	}
	return err
}
