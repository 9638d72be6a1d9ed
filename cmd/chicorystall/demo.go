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
	demoStartTimeout = 10 * time.Second // maximum time until the groups serve
	demoStepInterval = 2 * time.Second  // between two steps
)

func demoCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("demo", stderr)
	seed := flags.Uint64("seed", 1, "`seed` of the load")
	verbose := flags.Bool("v", false, "log the decisions of the entry instances")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "chicorystall demo [flags]",
		ShortHelp:  "Runs three data centres in this process under load, takes parts out and checks every outcome.",
		LongHelp:   "Exits with 1 if an outcome is wrong. Takes less than 20 s.",
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
			return runDemo(ctx, stdout, logger, *seed)
		},
	}
}

// runDemo runs a deployment under load, takes parts of it out and checks every
// outcome.
func runDemo(ctx context.Context, out io.Writer, logger *logrus.Logger, seed uint64) error {
	d, err := deployment.Start(ctx, demoPlan(), logger)
	if err != nil {
		return err
	}
	defer d.Stop()
	fmt.Fprintf(out, "%d entry instances in front of %d model workers and %d order desks in %d data centres\n",
		len(d.Entries()), len(d.Workers), len(d.Desks), len(d.Plan.DataCentres))
	if err := awaitDemoStart(ctx, d); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	stepsDone := make(chan error, 1)
	go func() {
		defer stopLoad()
		stepsDone <- runDemoSteps(loadCtx, out, d)
	}()
	report := load.Run(loadCtx, demoLoadOptions(out, d, seed))
	fmt.Fprintln(out)
	if err := <-stepsDone; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return checkDemoOutcomes(out, d, report)
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

func awaitDemoStart(ctx context.Context, d *deployment.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	return d.AwaitGroups(ctx)
}

func demoLoadOptions(out io.Writer, d *deployment.Deployment, seed uint64) load.Options {
	var accounts []string
	for n := range d.Plan.ClientAccounts {
		accounts = append(accounts, deployment.AccountKey(deployment.AccountName(n)))
	}
	start := time.Now()
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
		Accounts:   accounts,
		Model:      deployment.Model,
		Service:    deployment.Service,
		Callers:    40,
		OrderShare: 0.3,
		Tokens:     24,
		Pause:      20 * time.Millisecond,
		Deadline:   10 * time.Second,
		Attempts:   5,
		Prompts:    30,
		Seed:       seed,
		Progress: func(r *load.Report) {
			fmt.Fprintf(out, "\r%5.1f s  drafts %d  orders %d  refused %d  unknown %d ",
				time.Since(start).Seconds(), r.Drafts(load.Complete), r.Orders(load.Complete),
				r.Drafts(load.NotRun)+r.Orders(load.NotRun), r.Drafts(load.Unknown)+r.Orders(load.Unknown))
		},
	}
}

// runDemoSteps takes parts of the deployment out and brings them back.
func runDemoSteps(ctx context.Context, out io.Writer, d *deployment.Deployment) error {
	steps := []struct {
		description string
		run         func() error
	}{
		{"one entry instance is stopped gracefully", func() error { return d.StopEntry(d.Entries()[1]) }},
		{"data centre si-central-b is taken out", func() error {
			return sendDemoCommand(ctx, d, operator.Command{DataCentreDrain: "si-central-b"})
		}},
		{"data centre si-central-b is brought back", func() error {
			return sendDemoCommand(ctx, d, operator.Command{DataCentreUndrain: "si-central-b"})
		}},
	}
	for _, step := range steps {
		if err := sleep(ctx, demoStepInterval); err != nil {
			return err
		}
		fmt.Fprintf(out, "\n%s\n", step.description)
		if err := step.run(); err != nil {
			return err
		}
	}
	return sleep(ctx, demoStepInterval)
}

func sendDemoCommand(ctx context.Context, d *deployment.Deployment, command operator.Command) error {
	command.ID, command.Writer = fmt.Sprintf("demo-%p", &command), "demo"
	result, err := d.Operator().Send(ctx, command)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return fmt.Errorf("operator's command was not accepted: %s%s", result.Error, result.Findings.Error())
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func checkDemoOutcomes(out io.Writer, d *deployment.Deployment, report *load.Report) error {
	runs := make(map[string]int)
	for _, desk := range d.Desks {
		for key, count := range desk.Counts().Runs {
			runs[key] += count
		}
	}
	report.Print(out, maps.Clone(runs))
	violations := report.Violations(runs)
	for _, violation := range violations {
		fmt.Fprintln(out, "WRONG:", violation)
	}
	if len(violations) > 0 {
		return cli.ErrReported
	}
	fmt.Fprintln(out, "every outcome is correct")
	return nil
}
