package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
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
			err := i.platform.RegisterAddress(ctx, i.settings.Name, i.settings.Address.String())
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
	address, err := netip.ParseAddr(string(r.Value))
	if err != nil {
		i.log.Warn("address of an instance can't be read", telemetry.Fields{"neighbour": r.Key, "error": err.Error()})
		return
	}
	i.exchanger.Add(address)
}
