package deployment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/internal/operator"
	client "github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// portsPerEntry are the listeners of an entry instance.
const portsPerEntry = 3

// Entry is one entry instance of the deployment.
type Entry struct {
	Settings entry.Settings
	Server   *entry.Server

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Deployment is a running deployment.
type Deployment struct {
	Plan     Plan
	Platform *platform.Platform
	Workers  map[string]*worker.Worker
	Desks    map[string]*desk.Desk
	Fleet    fleet.Config

	ctx    context.Context
	cancel context.CancelFunc
	logger *logrus.Logger

	mu      sync.Mutex
	entries []*Entry
}

// Start starts the plan's deployment and imports its configuration. It ends
// with ctx, or Stop.
func Start(ctx context.Context, plan Plan, logger *logrus.Logger) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{
		Plan:     plan.withDefaults(),
		Platform: platform.New(plan.Platform),
		Workers:  make(map[string]*worker.Worker),
		Desks:    make(map[string]*desk.Desk),
		ctx:      ctx,
		cancel:   cancel,
		logger:   logger,
	}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.Platform.Start(d.ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	d.Fleet = d.Plan.fleetOf()
	for _, dc := range d.Plan.DataCentres {
		if err := d.startBackends(dc); err != nil {
			return err
		}
	}
	d.Fleet = d.Fleet.WithPreset(d.preset())
	if err := d.startEntries(); err != nil {
		return err
	}
	return d.importFleet()
}

// preset lets all client accounts use all groups.
func (d *Deployment) preset() fleet.Preset {
	route := fleet.Route{ClientAccounts: []string{"*"}}
	for _, g := range d.Fleet.Groups {
		route.Groups = append(route.Groups, g.Name)
	}
	return fleet.Preset{Name: Preset, Default: true, Routes: []fleet.Route{route}}
}

// startBackends starts the backend servers of a data centre.
func (d *Deployment) startBackends(dc string) error {
	for n := range d.Plan.GroupsPerDataCentre {
		group := fleet.Group{Name: fmt.Sprintf("%s-group-%d", dc, n+1), Model: Model, ModelVersion: ModelVersion, DataCentre: dc}
		for m := range d.Plan.GroupSize {
			name := fmt.Sprintf("%s-worker-%d-%d", dc, n+1, m+1)
			if err := d.startWorker(dc, name); err != nil {
				return err
			}
			group.Members = append(group.Members, name)
		}
		d.Fleet = d.Fleet.WithGroup(group)
	}
	for n := range d.Plan.Spares {
		if err := d.startWorker(dc, fmt.Sprintf("%s-spare-%d", dc, n+1)); err != nil {
			return err
		}
	}
	for n := range max(0, d.Plan.DesksPerDataCentre) {
		if err := d.startDesk(dc, fmt.Sprintf("%s-desk-%d", dc, n+1)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startWorker(dc, name string) error {
	config := d.Plan.Worker
	config.Name = name
	config.ChecksFence = !d.Plan.IgnoresFence
	config.Weights = d.Platform.Address()
	w := worker.New(config)
	if err := w.Start(d.ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	d.Workers[name] = w
	d.Fleet = d.Fleet.WithBackendServer(fleet.BackendServer{
		Name: name, DataCentre: dc, FabricDomain: dc + "-fabric", Address: w.Address(),
		ChecksFence: config.ChecksFence, MaxInFlight: d.Plan.MaxInFlight, MaxTokens: d.Plan.MaxTokens,
		ColdInFlight: d.Plan.ColdInFlight, Accelerators: 4,
	})
	place := client.Instance{Address: w.Address(), DataCentre: dc, FabricDomain: dc + "-fabric"}
	go fake.KeepRegistered(d.ctx, d.Platform.Address(), func() (client.Instance, bool) { return w.Instance(place) })
	return nil
}

func (d *Deployment) startDesk(dc, name string) error {
	config := d.Plan.Desk
	config.Name = name
	service := desk.New(config)
	if err := service.Start(d.ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	d.Desks[name] = service
	d.Fleet = d.Fleet.WithBackendServer(fleet.BackendServer{
		Name: name, DataCentre: dc, Address: service.Address(), Service: Service, MaxInFlight: d.Plan.MaxInFlight,
	})
	place := client.Instance{Address: service.Address(), DataCentre: dc}
	go fake.KeepRegistered(d.ctx, d.Platform.Address(), func() (client.Instance, bool) { return service.Instance(place) })
	return nil
}

func (d *Deployment) startEntries() error {
	count := len(d.Plan.DataCentres) * d.Plan.EntriesPerDataCentre
	ports, err := FreeAddresses(count * portsPerEntry)
	if err != nil {
		return err
	}
	var seeds []string
	for n := range count {
		seeds = append(seeds, ports[n*portsPerEntry+1])
	}
	for n := range count {
		dc := d.Plan.DataCentres[n/d.Plan.EntriesPerDataCentre]
		name := fmt.Sprintf("%s-entry-%d", dc, n%d.Plan.EntriesPerDataCentre+1)
		own := ports[n*portsPerEntry : (n+1)*portsPerEntry]
		d.StartEntry(entrySettings(name, dc, d.Platform.Address(), own, seeds))
	}
	return nil
}

// StartEntry starts an entry instance with the settings.
func (d *Deployment) StartEntry(settings entry.Settings) *Entry {
	if d.Plan.Settings != nil {
		d.Plan.Settings(&settings)
	}
	ctx, stop := context.WithCancel(d.ctx)
	e := &Entry{Settings: settings, Server: entry.New(settings, d.logger), stop: stop, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		e.err = e.Server.Run(ctx)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return e
}

// Entries returns the entry instances that were started and not stopped.
func (d *Deployment) Entries() []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Entry(nil), d.entries...)
}

// StopEntry stops an entry instance gracefully and waits for its end.
func (d *Deployment) StopEntry(e *Entry) error {
	e.stop()
	<-e.done
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.entries[:0:0]
	for _, other := range d.entries {
		if other != e {
			kept = append(kept, other)
		}
	}
	d.entries = kept
	return e.err
}

// StopEntryNow stops an entry instance at once, whatever it has in hand.
func (d *Deployment) StopEntryNow(e *Entry) error {
	e.Server.CancelRequests()
	err := d.StopEntry(e)
	var cut *entry.CutError
	if errors.As(err, &cut) {
		return nil
	}
	return err
}

// Stop ends the deployment.
func (d *Deployment) Stop() {
	for _, e := range d.Entries() {
		e.Server.CancelRequests()
		e.stop()
	}
	for _, e := range d.Entries() {
		<-e.done
	}
	d.cancel()
}

// Operator returns the operators' client of the first entry instance.
func (d *Deployment) Operator() operator.Client {
	return operator.Client{Address: d.Entries()[0].Settings.OperatorsAddress}
}

// importTimeout bounds the import of the configuration.
const importTimeout = 20 * time.Second

func (d *Deployment) importFleet() error {
	ctx, cancel := context.WithTimeout(d.ctx, importTimeout)
	defer cancel()
	command := operator.Command{ID: uuid.NewString(), Writer: "deployment", FleetPut: &d.Fleet}
	for {
		result, err := d.Operator().Send(ctx, command)
		switch {
		case err == nil && result.Accepted:
			return nil
		case err == nil && len(result.Findings) > 0:
			return result.Findings
		case ctx.Err() != nil:
			return errors.CombineErrors(err, ctx.Err())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// AwaitGroups waits until all groups of all data centres serve, as their entry
// instances tell.
func (d *Deployment) AwaitGroups(ctx context.Context) error {
	for _, e := range d.Entries() {
		if err := d.awaitEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) awaitEntry(ctx context.Context, e *Entry) error {
	operators := operator.Client{Address: e.Settings.OperatorsAddress}
	for {
		status, err := operators.Status(ctx, false)
		if err == nil && allWhole(status, d.Plan.GroupsPerDataCentre) {
			return nil
		}
		select {
		case <-e.done:
			return errors.Wrapf(e.err, "entry instance %q ended", e.Settings.Name)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry instance %q waits for its groups: %+v", e.Settings.Name, status.Groups)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func allWhole(status operator.Status, groups int) bool {
	if status.NotReady != "" || len(status.Groups) < groups {
		return false
	}
	for _, g := range status.Groups {
		if g.NotWhole != "" {
			return false
		}
	}
	return true
}
