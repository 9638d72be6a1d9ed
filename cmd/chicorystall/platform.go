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

// platformCommand returns the commands for serving on the users' platform.
func platformCommand(stdout, stderr io.Writer) *ffcli.Command {
	return parent("platform", "Serves on the users' platform.", stderr,
		platformServeCommand(stdout, stderr), platformCheckCommand(stdout, stderr))
}

func platformServeCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("platform serve", stderr)
	settingsPath := flags.String("settings", os.Getenv(platform.SettingsVariable), "settings `file` of the platform")
	metricsPort := flags.Int("metrics-port", 0, "`port` for metrics; 0 serves none")
	level := flags.String("log-level", "info", "lowest `level` that is logged: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "chicorystall platform serve [flags]",
		ShortHelp:  "Runs one entry instance on the platform.",
		LongHelp:   "Without -settings, the environment variable " + platform.SettingsVariable + " names the settings file.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cli.Usagef("platform serve takes no arguments")
			}
			parsed, err := logrus.ParseLevel(*level)
			if err != nil {
				return cli.Usagef("%v", err)
			}
			err = platform.Run(ctx, platform.Options{
				SettingsPath: *settingsPath, MetricsPort: *metricsPort, LogLevel: parsed, Output: stdout,
			})
			return asUsageError(err)
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
			hasFindings := false
			for _, file := range args {
				var settingsErr *platform.SettingsError
				_, err := platform.ReadSettings(file)
				switch {
				case errors.As(err, &settingsErr):
					fmt.Fprintln(stdout, settingsErr)
					hasFindings = true
				case err != nil:
					return err
				}
			}
			if hasFindings {
				return cli.ErrReported
			}
			fmt.Fprintf(stdout, "%d files, no findings\n", len(args))
			return nil
		},
	}
}

// asUsageError turns an error about invalid settings into a usage error, and returns
// other errors unchanged.
func asUsageError(err error) error {
	var settingsErr *platform.SettingsError
	if errors.As(err, &settingsErr) {
		return cli.Usagef("%v", settingsErr)
	}
	return err
}
