package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/internal/load"
	"github.com/chicorystall/chicorystall/internal/operator"
)

const (
	demoStart = 10 * time.Second // longest wait for the groups to serve
	demoPhase = 2 * time.Second  // between two events
)

func demoCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("demo", stderr)
	seed := flags.Uint64("seed", 1, "`seed` of the load")
	verbose := flags.Bool("v", false, "log what the entry instances decide")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "chicorystall demo [flags]",
		ShortHelp:  "Runs three data centres in this process, with faults, and checks every outcome.",
		LongHelp:   "Exits with 1 when an outcome breaks a promise. Takes less than 20 s.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cli.Usagef("demo takes no arguments")
			}
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			if *verbose {
				logger.SetOutput(stderr)
			}
			return demo(ctx, stdout, logger, *seed)
		},
	}
}

// demo runs a deployment, takes parts of it away under load and checks every
// outcome.
func demo(ctx context.Context, out io.Writer, logger *logrus.Logger, seed uint64) error {
	d, err := deployment.Start(ctx, demoPlan(), logger)
	if err != nil {
		return err
	}
	defer d.Stop()
	fmt.Fprintf(out, "%d entry instances before %d model workers and %d order desks in %d data centres\n",
		len(d.Entries()), len(d.Workers), len(d.Desks), len(d.Plan.DataCentres))
	if err := awaitDemo(ctx, d); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	events := make(chan error, 1)
	go func() {
		defer stopLoad()
		events <- demoEvents(loadCtx, out, d)
	}()
	report := load.Run(loadCtx, demoLoad(out, d, seed))
	fmt.Fprintln(out)
	if err := <-events; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return demoResult(out, d, report)
}

func demoPlan() deployment.Plan {
	return deployment.Plan{
		DataCentres:          []string{"si-central-a", "si-central-b", "si-central-c"},
		EntriesPerDataCentre: 3,
		GroupsPerDataCentre:  3,
		GroupSize:            2,
		Spares:               1,
		ClientAccounts:       10,
		MaxInFlight:          16,
		ColdInFlight:         2,
		Worker:               worker.Config{TokenTime: 4 * time.Millisecond, LoadTime: 200 * time.Millisecond},
	}
}

func awaitDemo(ctx context.Context, d *deployment.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, demoStart)
	defer cancel()
	return d.Await(ctx)
}

func demoLoad(out io.Writer, d *deployment.Deployment, seed uint64) load.Options {
	var accounts []string
	for n := range d.Plan.ClientAccounts {
		accounts = append(accounts, deployment.AccountKey(deployment.AccountName(n)))
	}
	begun := time.Now()
	return load.Options{
		Targets: func() []string {
			var targets []string
			for _, e := range d.Entries() {
				if e.Server.Ready() {
					targets = append(targets, e.Settings.CallersAddress)
				}
			}
			return targets
		},
		Accounts: accounts,
		Model:    deployment.Model,
		Service:  deployment.Service,
		Callers:  40,
		Orders:   0.3,
		Tokens:   24,
		Pause:    20 * time.Millisecond,
		Deadline: 10 * time.Second,
		Attempts: 5,
		Prompts:  30,
		Seed:     seed,
		Progress: func(r *load.Report) {
			fmt.Fprintf(out, "\r%5.1f s  drafts %d  orders %d  refused %d  unknown %d ",
				time.Since(begun).Seconds(), r.Drafts(load.Complete), r.Orders(load.Complete),
				r.Drafts(load.NotRun)+r.Orders(load.NotRun), r.Drafts(load.Unknown)+r.Orders(load.Unknown))
		},
	}
}

// demoEvents takes parts of the deployment away and brings them back.
func demoEvents(ctx context.Context, out io.Writer, d *deployment.Deployment) error {
	steps := []struct {
		what string
		do   func() error
	}{
		{"one entry instance is stopped gracefully", func() error { return d.StopEntry(d.Entries()[1]) }},
		{"data centre si-central-b is taken out", func() error {
			return demoCommandTo(ctx, d, operator.Command{DataCentreDrain: "si-central-b"})
		}},
		{"data centre si-central-b is brought back", func() error {
			return demoCommandTo(ctx, d, operator.Command{DataCentreUndrain: "si-central-b"})
		}},
	}
	for _, step := range steps {
		if err := pause(ctx, demoPhase); err != nil {
			return err
		}
		fmt.Fprintf(out, "\n%s\n", step.what)
		if err := step.do(); err != nil {
			return err
		}
	}
	return pause(ctx, demoPhase)
}

func demoCommandTo(ctx context.Context, d *deployment.Deployment, command operator.Command) error {
	command.ID, command.Writer = fmt.Sprintf("demo-%p", &command), "demo"
	result, err := d.Operator().Send(ctx, command)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return fmt.Errorf("command was not accepted: %s%s", result.Error, result.Findings.Error())
	}
	return nil
}

func pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func demoResult(out io.Writer, d *deployment.Deployment, report *load.Report) error {
	runs := make(map[string]int)
	for _, service := range d.Desks {
		for key, count := range service.Counts().Runs {
			runs[key] += count
		}
	}
	report.Print(out, maps.Clone(runs))
	broken := report.Broken(runs)
	for _, promise := range broken {
		fmt.Fprintln(out, "BROKEN:", promise)
	}
	if len(broken) > 0 {
		return cli.ErrReported
	}
	fmt.Fprintln(out, "every outcome kept its promise")
	return nil
}
