package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// meet makes this instance and the others known to each other.
func (i *instance) meet(ctx context.Context) error {
	for _, seed := range i.settings.Seeds {
		i.net.Add(seed)
	}
	written := false
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		if !written {
			err := i.platform.RegisterAddress(ctx, i.settings.Name, i.settings.Address.String())
			written = err == nil
		}
		records, err := i.platform.RegisteredAddresses(ctx)
		if err == nil && written {
			for _, r := range records {
				i.addInstance(r)
			}
			i.mu.Lock()
			i.met = time.Now()
			i.mu.Unlock()
			i.log.Info("instances known", telemetry.Fields{"processes": i.net.ProcessCount()})
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
	i.net.Add(address)
}
