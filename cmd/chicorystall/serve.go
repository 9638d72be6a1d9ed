package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/entry"
)

func serveCommand(stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("serve", stderr)
	config := flags.String("config", "", "settings `file` of this entry instance")
	level := flags.String("log-level", "info", "lowest `level` that is logged: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "chicorystall serve -config FILE [flags]",
		ShortHelp:  "Runs one entry instance.",
		LongHelp: "SIGTERM or SIGINT stops it gracefully: requests in progress are completed.\n" +
			"A second signal, or the deadline in the settings, cuts the remaining requests and logs this.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *config == "" || len(args) > 0 {
				return cli.Usagef("serve needs -config FILE and nothing else")
			}
			settings, err := entry.ReadSettings(*config)
			if err != nil {
				return err
			}
			logger, err := newLogger(stderr, *level)
			if err != nil {
				return err
			}
			server := entry.New(settings, logger)
			defer abortOnSecondSignal(ctx, server)()
			return server.Run(ctx)
		},
	}
}

// abortOnSecondSignal ends a graceful shutdown at once when another signal arrives
// after ctx is done.
func abortOnSecondSignal(ctx context.Context, server *entry.Server) (stop func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-done:
			return
		}
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
			server.CancelRequests()
		case <-done:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// newLogger returns a logger that writes text to a terminal and JSON otherwise.
func newLogger(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, cli.Usagef("%v", err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	if !isTerminal(out) {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
