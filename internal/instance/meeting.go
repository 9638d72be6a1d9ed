package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// discoverInstances registers this instance's address in the store and adds the
// registered addresses of the others. It retries until both have succeeded.
func (i *instance) discoverInstances(ctx context.Context) error {
	for _, seed := range i.settings.Seeds {
		i.exchanger.Add(seed)
	}
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
			i.instancesKnownAt = time.Now()
			i.mu.Unlock()
			i.log.Info("instances known", telemetry.Fields{"processes": i.exchanger.ProcessCount()})
			return nil
		}
		sleep(ctx, pause/2+rand.N(pause/2))
	}
	return nil
}

func (i *instance) addInstance(r Record) {
	if len(r.Value) == 0 {
		return
	}
	name, dataCentre := r.Key, ""
	if i := strings.LastIndexByte(r.Key, dataCentreSeparator); i >= 0 {
		name, dataCentre = r.Key[:i], r.Key[i+1:]
	}
	address, err := netip.ParseAddr(string(r.Value))
	if err != nil {
		i.log.Warn("address of an instance can't be read", telemetry.Fields{"neighbour": r.Key, "error": err.Error()})
		return
	}
	if dataCentre == "" {
		name = "" // written by an older release
	}
	i.exchanger.AddNamed(address, name, dataCentre)
}

// dataCentreSeparator separates an instance's name from its data centre in the key
// under which its address is registered.
const dataCentreSeparator = '@'

// registrationKey returns the key under which this instance's address is registered.
func (i *instance) registrationKey() string {
	return i.settings.Name + string(dataCentreSeparator) + i.settings.DataCentre
}

// awaitRelay waits until keepers announce all data centres, or for relayWait, if there
// are so many instances that the store would get too many calls if each read the
// workers' entries at its start.
func (i *instance) awaitRelay(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	for ctx.Err() == nil && !i.workersRelayed() && !i.isKeeper() {
		i.mu.Lock()
		known := !i.instancesKnownAt.IsZero()
		i.mu.Unlock()
		if known && !i.exchanger.UsesRelays() {
			return
		}
		sleep(ctx, relayPoll)
	}
}

const (
	// relayWait is longer than the first keepers take to form after a start.
	relayWait = 3 * time.Second
	relayPoll = 10 * time.Millisecond
)
