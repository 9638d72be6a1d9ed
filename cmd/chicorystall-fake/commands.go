package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	client "github.com/chicorystall/chicorystall/internal/platform"
)

const anyPort = "127.0.0.1:0"

func platformCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("platform", stderr)
	var config platform.Config
	listen := flags.String("listen", anyPort, "`address` to listen at")
	flags.DurationVar(&config.MaxAge, "max-age", 0, "age at which a log entry expires; 0 means never")
	flags.IntVar(&config.MaxEntries, "max-entries", 0, "maximum entries kept in each stream; 0 is unlimited")
	flags.Float64Var(&config.AppendsPerSecond, "appends", 0, "maximum appends per second over all streams; 0 is unlimited")
	flags.DurationVar(&config.ListLag, "list-lag", 0, "lag of the instance list")
	flags.DurationVar(&config.GoneAfter, "gone-after", 0, "time without a registration after which an instance is listed as gone; 0 means never")
	flags.IntVar(&config.WeightBytes, "weight-bytes", 0, "simulated size in bytes of a model's weights; 0 is 64 KiB")
	flags.Float64Var(&config.WeightRate, "weight-rate", 0, "maximum bytes per second over all readers of weights; 0 is unlimited")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "chicorystall-fake platform [flags]",
		ShortHelp:  "Runs the platform: log, instance list and weight store.",
		FlagSet:    flags,
		Exec: withoutArgs(func(ctx context.Context) error {
			p := platform.New(config)
			if err := p.Start(ctx, *listen); err != nil {
				return err
			}
			return serve(ctx, stdout, p.Address())
		}),
	}
}

// registration describes how a fake is registered with the platform.
type registration struct {
	platformAddress string
	dataCentre      string
	fabricDomain    string
}

func (r *registration) addFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.platformAddress, "platform", "", "`address` of the platform to register with; if empty, nothing is registered")
	flags.StringVar(&r.dataCentre, "datacentre", "", "data centre")
	flags.StringVar(&r.fabricDomain, "fabric-domain", "", "fabric domain")
}

// keepRegistered keeps the fake registered with the platform until ctx is done. The
// function complete adds the fake's own fields, and returns false while the fake has no
// process.
func (r *registration) keepRegistered(ctx context.Context, address string, complete func(client.Instance) (client.Instance, bool)) {
	if r.platformAddress == "" {
		return
	}
	instance := client.Instance{Address: address, DataCentre: r.dataCentre, FabricDomain: r.fabricDomain}
	go fake.KeepRegistered(ctx, r.platformAddress, func() (client.Instance, bool) { return complete(instance) })
}

func workerCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("worker", stderr)
	var config worker.Config
	var registration registration
	listen := flags.String("listen", anyPort, "`address` to listen at")
	registration.addFlags(flags)
	addWorkerFlags(flags, &config)
	return &ffcli.Command{
		Name:       "worker",
		ShortUsage: "chicorystall-fake worker -name NAME [flags]",
		ShortHelp:  "Runs a model worker.",
		FlagSet:    flags,
		Exec: withoutArgs(func(ctx context.Context) error {
			if err := requireName(config.Name); err != nil {
				return err
			}
			config.Weights = registration.platformAddress
			w := worker.New(config)
			if err := w.Start(ctx, *listen); err != nil {
				return err
			}
			registration.keepRegistered(ctx, w.Address(), w.Instance)
			return serve(ctx, stdout, w.Address())
		}),
	}
}

func addWorkerFlags(flags *flag.FlagSet, config *worker.Config) {
	flags.StringVar(&config.Name, "name", "", "name of the backend server")
	flags.StringVar(&config.Model, "model", "", "model that each process starts with; if empty, it waits for an order")
	flags.StringVar(&config.ModelVersion, "model-version", "", "version of that model")
	flags.StringVar(&config.Group, "group", "", "group that each process starts in")
	flags.Int64Var(&config.Epoch, "epoch", 0, "epoch of that group")
	flags.BoolVar(&config.Warm, "warm", false, "start warm instead of cold")
	flags.DurationVar(&config.TokenTime, "token-time", 0, "time of one decoding step; 0 is 2ms")
	flags.DurationVar(&config.PrefillTime, "prefill-time", 0, "prefill time of one prompt token; 0 is 20µs")
	flags.IntVar(&config.MaxBatch, "max-batch", 0, "maximum requests that run together; 0 is 32")
	flags.IntVar(&config.MaxKVTokens, "max-kv-tokens", 0, "held tokens above which the process runs out of memory; 0 is unlimited")
	flags.IntVar(&config.CacheTokens, "cache-tokens", 0, "size in tokens of the prefix cache; 0 is 4096")
	flags.IntVar(&config.ColdInFlight, "cold-in-flight", 0, "requests in flight above which a cold process crashes; 0 is 1")
	flags.IntVar(&config.WarmAfter, "warm-after", 0, "completions until the process is warm; 0 is 4")
	flags.DurationVar(&config.LoadTime, "load-time", 0, "time to load a model; 0 is 50ms")
	flags.DurationVar(&config.RestartDelay, "restart-delay", 0, "time from a crash to the new process; 0 is 200ms")
	flags.DurationVar(&config.ResumeWindow, "resume-window", 0, "time for which an answer without a reader is kept for resumption; 0 is 5s")
	flags.DurationVar(&config.ReportLag, "report-lag", 0, "lag of the reported state")
	flags.DurationVar(&config.CacheEventLag, "cache-event-lag", 0, "lag of the cache events")
	flags.IntVar(&config.CacheEventLoss, "cache-event-loss", 0, "drop every n-th cache event; 0 drops none")
	flags.BoolVar(&config.ChecksFence, "checks-fence", false, "reject orders with an old fencing number")
}

func serviceCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := cli.Flags("service", stderr)
	var config desk.Config
	var registration registration
	listen := flags.String("listen", anyPort, "`address` to listen at")
	registration.addFlags(flags)
	flags.StringVar(&config.Name, "name", "", "name of the backend server")
	flags.DurationVar(&config.Latency, "latency", 0, "time of each call")
	flags.DurationVar(&config.RestartDelay, "restart-delay", 0, "time from a crash to the new process; 0 is 200ms")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "chicorystall-fake service -name NAME [flags]",
		ShortHelp:  "Runs a worker of a plain service, such as an order desk.",
		FlagSet:    flags,
		Exec: withoutArgs(func(ctx context.Context) error {
			if err := requireName(config.Name); err != nil {
				return err
			}
			d := desk.New(config)
			if err := d.Start(ctx, *listen); err != nil {
				return err
			}
			registration.keepRegistered(ctx, d.Address(), d.Instance)
			return serve(ctx, stdout, d.Address())
		}),
	}
}

// serve prints the address and waits until ctx is done.
func serve(ctx context.Context, stdout io.Writer, address string) error {
	if _, err := fmt.Fprintln(stdout, address); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
