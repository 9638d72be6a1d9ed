package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// discoverInstances registers this instance's address in the store and adds the
// registered addresses of the others. It does so again when the store was restored from a
// copy, which may lack addresses that were registered since.
func (i *instance) discoverInstances(ctx context.Context) error {
	for _, seed := range i.settings.Seeds {
		i.exchanger.Add(seed)
	}
	for ctx.Err() == nil {
		i.meet(ctx)
		select {
		case <-ctx.Done():
		case <-i.storeRestored:
		}
	}
	return nil
}

// meet registers this instance's address and adds the others. It retries until both have
// succeeded.
func (i *instance) meet(ctx context.Context) {
	registered := false
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		if !registered {
			err := i.platform.RegisterAddress(ctx, i.registrationKey(), i.settings.Address.String())
			registered = err == nil
		}
		records, err := i.platform.RegisteredAddresses(ctx)
		if err == nil && registered {
			for _, r := range records {
				i.addInstance(r)
			}
			i.mu.Lock()
			if i.instancesKnownAt.IsZero() {
				i.instancesKnownAt = time.Now()
			}
			i.mu.Unlock()
			i.log.Info("instances known", telemetry.Fields{"processes": i.exchanger.ProcessCount()})
			return
		}
		sleep(ctx, pause/2+rand.N(pause/2))
	}
}

// onStoreRestored renews what this instance had written to the store before it was
// restored from a copy.
func (i *instance) onStoreRestored() {
	i.metrics.StoreRestores.WithLabelValues().Inc()
	i.keeper.RenewGrant()
	select {
	case i.storeRestored <- struct{}{}:
	default:
	}
}

func (i *instance) addInstance(r Record) {
	if len(r.Value) == 0 {
		return
	}
	name, dataCentre, weight := parseRegistrationKey(r.Key)
	address, err := netip.ParseAddr(string(r.Value))
	if err != nil {
		i.log.Warn("address of an instance can't be read", telemetry.Fields{"neighbour": r.Key, "error": err.Error()})
		return
	}
	i.exchanger.AddNamed(address, name, dataCentre, weight)
}

// keySeparator separates the parts of the key under which an instance's address is
// registered: its weight, its data centre and its name.
const keySeparator = "@"

// registrationKey returns the key under which this instance's address is registered.
// Older releases register the name alone, and ignore the key.
func (i *instance) registrationKey() string {
	return strconv.Itoa(i.weight()) + keySeparator + i.settings.DataCentre + keySeparator + i.settings.Name
}

// parseRegistrationKey returns the parts of a registration key, all empty if an older
// release wrote it.
func parseRegistrationKey(key string) (name, dataCentre string, weight int) {
	parts := strings.SplitN(key, keySeparator, 3)
	if len(parts) < 3 {
		return "", "", 0
	}
	weight, err := strconv.Atoi(parts[0])
	if err != nil {
		return "", "", 0
	}
	return parts[2], parts[1], weight
}

// weight returns this instance's weight in the choice of its data centre's keeper.
func (i *instance) weight() int { return neighbour.Weight(i.settings.Cores, i.settings.LinkMegabits) }

// awaitRelay waits until keepers announce all data centres, but not for long, if there
// are so many instances that the store would get too many calls if each read the
// workers' entries at its start.
func (i *instance) awaitRelay(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxRelayWait)
	defer cancel()
	for start := time.Now(); ctx.Err() == nil && !i.workersRelayed() && !i.isKeeper(); {
		i.mu.Lock()
		known := !i.instancesKnownAt.IsZero()
		i.mu.Unlock()
		if known && !i.exchanger.UsesRelays() || time.Since(start) > relayWait && !i.exchanger.HearsRelay() {
			return
		}
		sleep(ctx, relayPoll)
	}
}

const (
	// relayWait is longer than the first keepers take to appear after a start, and
	// maxRelayWait longer than it then takes them to ask all workers.
	relayWait    = 3 * time.Second
	maxRelayWait = 10 * time.Second
	relayPoll    = 20 * time.Millisecond
)
