package measure

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/internal/load"
	"github.com/chicorystall/chicorystall/internal/operator"
)

const (
	awayGroups      = 3 // groups of one model worker per data centre
	awayEntries     = 3 // in each data centre
	awayMaxInFlight = 8
	awayCallers     = 30
	awayRestart     = 3 * time.Second // restart time of a model worker
	awayCentre      = "dc-2"
)

var awayCentres = []string{"dc-1", awayCentre, "dc-3"}

var awayWorker = worker.Config{TokenTime: 5 * time.Millisecond, RestartDelay: awayRestart, ColdInFlight: 2, LoadTime: 200 * time.Millisecond}

// DataCentrePath measures the service while a data centre leaves and returns,
// through real entry instances and through a balancer in front of the model workers.
func DataCentrePath(seed uint64) Table { return dataCentreTable(seed, 4*time.Second) }

func dataCentreTable(seed uint64, span time.Duration) Table {
	t := Table{
		Name:    "data-centre-path",
		Seed:    seed,
		Columns: phaseColumns,
		Note: fmt.Sprintf("3 data centres of %d entry instances and %d model workers that bear %d requests, 2 while cold; %d callers, one try each. "+
			"Planned: %s is drained, its model workers restart, it is undrained. Unplanned: its entry instances and model workers end at once and start again %s later. "+
			"The balancers check their targets every %s. The baseline is a balancer that sends to the model workers in turn.",
			awayEntries, awayGroups, awayMaxInFlight, awayCallers, awayCentre, awayRestart, balancerInterval),
	}
	baseline, product, err := runConcurrently(
		func() ([]phaseResult, error) { return awayBaseline(seed, span) },
		func() ([]phaseResult, error) { return awayProduct(seed, span) })
	if err != nil {
		return failedTable(t.Name, seed, err)
	}
	t.addPhases("round robin to model workers", baseline)
	t.addPhases("chicorystall", product)
	return t
}

// awayActions holds the actions that the phases apply to a path.
type awayActions struct {
	drain, undrain, restart, fail, restore func()
}

func (a awayActions) phases(span time.Duration) []phase {
	return []phase{
		{"before", span, nil},
		{"planned: drained", span + awayRestart, func() { a.drain(); time.AfterFunc(span/2, a.restart) }},
		{"planned: undrained", span, a.undrain},
		{"unplanned: lost", awayRestart, a.fail},
		{"unplanned: returning", span, a.restore},
		{"after", span, nil},
	}
}

func awayLoad(seed uint64, targets func() []string) load.Options {
	return load.Options{
		Targets:  targets,
		Accounts: []string{deployment.AccountKey(deployment.AccountName(0))},
		Model:    deployment.Model,
		Callers:  awayCallers,
		Tokens:   24,
		Pause:    20 * time.Millisecond,
		Deadline: 5 * time.Second,
		Attempts: 1,
		Prompts:  30,
		Seed:     seed,
	}
}

func awayProduct(seed uint64, span time.Duration) ([]phaseResult, error) {
	d, err := startDeployment(deployment.Plan{
		DataCentres: awayCentres, EntriesPerDataCentre: awayEntries, GroupsPerDataCentre: awayGroups,
		DesksPerDataCentre: -1, MaxInFlight: awayMaxInFlight, ColdInFlight: awayWorker.ColdInFlight, Worker: awayWorker,
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &balancer{check: func() []string { return readyEntries(d) }}
	go b.run(ctx)
	var killed []*deployment.Entry
	crash := func() { crashWorkers(d.Workers) }
	parts := awayActions{
		drain:   func() { sendCommand(d, operator.Command{DataCentreDrain: awayCentre}) },
		undrain: func() { sendCommand(d, operator.Command{DataCentreUndrain: awayCentre}) },
		restart: crash,
		fail: func() {
			crash()
			killed = killEntries(d)
		},
		restore: func() {
			for _, e := range killed {
				d.StartEntry(e.Settings)
			}
		},
	}
	return runPhases(awayLoad(seed, b.list), parts.phases(span)), nil
}

// sendCommand sends a command without waiting for the answer, which comes only when
// the command is in force.
func sendCommand(d *deployment.Deployment, command operator.Command) {
	command.ID, command.Writer = uuid.NewString(), "measure"
	client := d.Operator()
	go func() { _, _ = client.Send(context.Background(), command) }()
}

// inAwayCentre reports whether a worker is in the data centre that leaves, which its
// name begins with.
func inAwayCentre(name string) bool { return name[:len(awayCentre)] == awayCentre }

func crashWorkers(workers map[string]*worker.Worker) {
	for name, w := range workers {
		if inAwayCentre(name) {
			w.Inject(worker.Faults{Crash: true})
		}
	}
}

// killEntries stops all entry instances of the data centre that leaves, without a
// graceful shutdown.
func killEntries(d *deployment.Deployment) []*deployment.Entry {
	var cut []*deployment.Entry
	var ends sync.WaitGroup
	for _, e := range d.Entries() {
		if e.Settings.DataCentre == awayCentre {
			cut = append(cut, e)
			ends.Go(func() { _ = d.StopEntryNow(e) })
		}
	}
	ends.Wait()
	return cut
}

// awayBaseline runs the phases with only a balancer in front of model workers that
// start warm.
func awayBaseline(seed uint64, span time.Duration) ([]phaseResult, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers := make(map[string]*worker.Worker)
	for _, dc := range awayCentres {
		for n := range awayGroups {
			config := awayWorker
			config.Name = fmt.Sprintf("%s-worker-%d", dc, n+1)
			config.Model, config.ModelVersion, config.Group, config.Warm = deployment.Model, deployment.ModelVersion, config.Name, true
			w := worker.New(config)
			if err := w.Start(ctx, "127.0.0.1:0"); err != nil {
				return nil, err
			}
			workers[config.Name] = w
		}
	}
	var drained atomic.Bool
	b := &balancer{check: func() []string { return answeringWorkers(workers, drained.Load()) }}
	go b.run(ctx)
	for len(b.list()) == 0 {
		time.Sleep(balancerInterval / 10)
	}
	crash := func() { crashWorkers(workers) }
	parts := awayActions{
		drain:   func() { drained.Store(true) },
		undrain: func() { drained.Store(false) },
		restart: crash,
		fail:    crash,
		restore: func() {},
	}
	return runPhases(awayLoad(seed, b.list), parts.phases(span)), nil
}

// answeringWorkers returns the addresses of the model workers that pass a health
// check.
func answeringWorkers(workers map[string]*worker.Worker, drained bool) []string {
	client := http.Client{Timeout: balancerInterval / 2, Transport: &http.Transport{DisableKeepAlives: true}}
	var targets []string
	for name, w := range workers {
		if drained && inAwayCentre(name) {
			continue
		}
		response, err := client.Get("http://" + w.Address() + engine.StatePath)
		if err != nil {
			continue
		}
		response.Body.Close()
		targets = append(targets, w.Address())
	}
	return targets
}
