package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

const (
	rollingEntries       = 3 // per data centre, of which there are three
	rollingCallers       = 24
	rollingOrders        = 0.3 // share of the requests
	rollingReadyTimeout  = 10 * time.Second
	rollingBalancerDelay = 700 * time.Millisecond // from not ready until requests are refused; longer than balancerInterval
)

// Rolling measures the service while all entry instances are replaced one by one,
// with a graceful stop and with a kill.
func Rolling(seed uint64) Table { return rollingTable(seed, 4*time.Second) }

func rollingTable(seed uint64, span time.Duration) Table {
	t := Table{
		Name:    "rolling",
		Seed:    seed,
		Columns: phaseColumns,
		Note: fmt.Sprintf("%d entry instances in 3 data centres, replaced one after the other under %d callers, of whose requests %.0f%% are orders; one try each. "+
			"Each new one is ready before its predecessor stops. The baseline ends the predecessors at once; the balancers check every %s.",
			3*rollingEntries, rollingCallers, 100*rollingOrders, balancerInterval),
	}
	baseline, product, err := runConcurrently(
		func() ([]phaseResult, error) {
			return replaceUnderLoad(seed, span, (*deployment.Deployment).StopEntryNow)
		},
		func() ([]phaseResult, error) { return replaceUnderLoad(seed, span, (*deployment.Deployment).StopEntry) })
	if err != nil {
		return failedTable(t.Name, seed, err)
	}
	t.addPhases("ended at once", baseline)
	t.addPhases("chicorystall, graceful", product)
	return t
}

func replaceUnderLoad(seed uint64, span time.Duration, stop func(*deployment.Deployment, *deployment.Entry) error) ([]phaseResult, error) {
	d, err := startDeployment(deployment.Plan{
		DataCentres: awayCentres, EntriesPerDataCentre: rollingEntries, GroupsPerDataCentre: 2, MaxInFlight: 16,
		Worker:   worker.Config{TokenTime: 5 * time.Millisecond},
		Desk:     desk.Config{},
		Settings: func(s *entry.Settings) { s.Shutdown.BalancerDelay = rollingBalancerDelay },
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &balancer{check: func() []string { return readyEntries(d) }}
	go b.run(ctx)
	options := awayLoad(seed, b.list)
	options.Callers, options.OrderShare, options.Service = rollingCallers, rollingOrders, deployment.Service
	var replaceErr error
	results := runPhases(options, []phase{
		{"before", span, nil},
		{"replacing", 0, func() { replaceErr = replaceAll(d, stop) }},
		{"after", span, nil},
	})
	return results, replaceErr
}

// replaceAll replaces the entry instances in turn. It starts a successor, waits until
// the successor is ready and then stops the old instance.
func replaceAll(d *deployment.Deployment, stop func(*deployment.Deployment, *deployment.Entry) error) error {
	for _, old := range d.Entries() {
		const listeners = 3
		own, err := deployment.FreeAddresses(listeners)
		if err != nil {
			return err
		}
		settings := old.Settings
		settings.Name += "-next"
		settings.CallersAddress, settings.PeersAddress, settings.OperatorsAddress = own[0], own[1], own[2]
		successor := d.StartEntry(settings)
		for begun := time.Now(); !successor.Server.Ready(); time.Sleep(balancerInterval / 10) {
			if time.Since(begun) > rollingReadyTimeout {
				return fmt.Errorf("entry instance %q is not ready after %s", settings.Name, rollingReadyTimeout)
			}
		}
		time.Sleep(balancerInterval)
		if err := stop(d, old); err != nil {
			return err
		}
	}
	return nil
}
