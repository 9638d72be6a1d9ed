package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/operator"
	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

const (
	inForceChanges       = 6
	inForceTimeout       = 10 * time.Second
	inForceProbeInterval = 2 * time.Millisecond // between two checks of an instance
	inForcePollInterval  = time.Second          // of the polling baseline
	inForceBound         = 8 * time.Second
	configStream         = "config"
)

// InForce measures the time from the acceptance of a configuration change until it
// is in force at all entry instances.
func InForce(seed uint64) Table { return inForceTable(seed, inForceChanges, 3, 6, 12, 24) }

// inForceTable measures deployments of three data centres; sizes are the numbers of
// entry instances in each.
func inForceTable(seed uint64, changes int, sizes ...int) Table {
	t := Table{
		Name:    "in-force",
		Seed:    seed,
		Columns: []string{"entry instances", "scheme", "p50", "max", "all within 8 s"},
		Note: fmt.Sprintf("%d changes of a preset at each size, from the moment that the log has the record; p50 and max are over all instances and changes. "+
			"The baseline is an instance that asks for new records every %s.", changes, inForcePollInterval),
	}
	for _, size := range sizes {
		rows, err := inForceAt(seed, changes, size)
		if err != nil {
			return failedTable(t.Name, seed, err)
		}
		t.Rows = append(t.Rows, rows...)
	}
	return t
}

func inForceAt(seed uint64, changes, size int) ([][]string, error) {
	d, err := startDeployment(deployment.Plan{
		DataCentres:          []string{"dc-1", "dc-2", "dc-3"},
		EntriesPerDataCentre: size,
		DesksPerDataCentre:   -1,
		Settings:             func(s *entry.Settings) { s.Heartbeat = entry.DefaultSettings().Heartbeat },
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	count := len(d.Entries())
	var product, baseline []time.Duration
	random := rand.New(rand.NewPCG(seed, uint64(size)))
	for n := range changes {
		spread, polled, err := timeChange(d, n, random)
		if err != nil {
			return nil, err
		}
		product = append(product, spread...)
		baseline = append(baseline, polled...)
	}
	return [][]string{
		inForceRow(count, fmt.Sprintf("asking every %s", inForcePollInterval), baseline),
		inForceRow(count, "chicorystall", product),
	}, nil
}

func inForceRow(count int, scheme string, times []time.Duration) []string {
	slices.Sort(times)
	within := "yes"
	if at(times, 1) > inForceBound {
		within = "no"
	}
	return []string{fmt.Sprint(count), scheme, milliseconds(at(times, 0.5)), milliseconds(at(times, 1)), within}
}

// timeChange makes one change and returns the time until it is in force at each
// entry instance and until each poller of the baseline reads it.
func timeChange(d *deployment.Deployment, n int, random *rand.Rand) (spread, polled []time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	before := d.Platform.Status().Streams[configStream].Next
	var mu sync.Mutex
	var seen, asked []time.Time
	var watchers sync.WaitGroup
	for _, e := range d.Entries() {
		watchers.Go(func() {
			at := awaitOffset(ctx, e, before)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, at)
		})
		phase := time.Duration(random.Int64N(int64(inForcePollInterval)))
		watchers.Go(func() {
			at := pollForOffset(ctx, d.Platform.Address(), phase, before)
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, at)
		})
	}
	result := make(chan error, 1)
	go func() { result <- changePreset(ctx, d, n) }()
	accepted := awaitRecord(ctx, d, before)
	watchers.Wait()
	if err := <-result; err != nil {
		return nil, nil, err
	}
	return since(accepted, seen), since(accepted, asked), nil
}

// changePreset changes the configuration by writing a preset that is not in use.
func changePreset(ctx context.Context, d *deployment.Deployment, n int) error {
	const presets = 10
	preset := d.Fleet.Presets[0]
	preset.Name, preset.Default = fmt.Sprintf("night-%d", n%presets), false
	command := operator.Command{ID: uuid.NewString(), Writer: "measure", PresetPut: &preset}
	result, err := d.Operator().Send(ctx, command)
	if err == nil && !result.Accepted {
		return errors.Newf("preset change was not accepted: %s %v", result.Error, result.Findings)
	}
	return err
}

// awaitRecord waits until the log has a record at the offset and returns the time.
func awaitRecord(ctx context.Context, d *deployment.Deployment, offset journal.Offset) time.Time {
	for d.Platform.Status().Streams[configStream].Next <= offset && ctx.Err() == nil {
		time.Sleep(inForceProbeInterval / 2)
	}
	return time.Now()
}

// awaitOffset waits until the offset is in force at the entry instance and returns
// the time.
func awaitOffset(ctx context.Context, e *deployment.Entry, offset journal.Offset) time.Time {
	request := &http.Request{URL: &url.URL{}}
	for e.Server.Status(request).ConfigOffset < offset && ctx.Err() == nil {
		time.Sleep(inForceProbeInterval)
	}
	return time.Now()
}

// pollForOffset polls the log for the record at the offset and returns the time at
// which it is read.
func pollForOffset(ctx context.Context, address string, phase time.Duration, offset journal.Offset) time.Time {
	client := platform.New(address)
	defer client.Close()
	log := client.Log()
	time.Sleep(phase)
	for ctx.Err() == nil {
		page, err := log.Read(ctx, configStream, offset, 1, 0)
		if err == nil && len(page.Entries) > 0 {
			break
		}
		time.Sleep(inForcePollInterval)
	}
	return time.Now()
}

func since(begun time.Time, times []time.Time) []time.Duration {
	var durations []time.Duration
	for _, t := range times {
		durations = append(durations, max(0, t.Sub(begun)))
	}
	return durations
}
