package keeper

import (
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// usage counts what the workers of a data centre are used for.
type usage struct {
	workers int            // that are present
	spare   int            // that are in no group, or in one of their own
	open    map[string]int // groups that serve requests, by model
}

// countUsage counts the usage of the workers. The caller holds k.mu.
func (k *Keeper) countUsage() usage {
	u := usage{open: map[string]int{}}
	for _, w := range k.workers {
		if !w.isPresent() {
			continue
		}
		u.workers++
		switch m := w.server.Membership; {
		case m.State == roster.Alone || formation.IsSpare(m.Group):
			u.spare++
		case w.server.IsHead() && m.State == roster.Open:
			u.open[formation.ModelOf(m.Group)]++
		}
	}
	return u
}

// logUsage logs for each model, once every noteInterval, how many groups serve it, how
// busy they are and how many workers of the data centre are spare.
func (k *Keeper) logUsage(engine *catalog.Engine) {
	now := time.Now()
	if now.Sub(k.usageLoggedAt) < noteInterval {
		return
	}
	k.usageLoggedAt = now
	for _, model := range engine.Models {
		utilization := 0.0
		if k.Utilization != nil {
			utilization = k.Utilization(model.Name)
		}
		k.Log.Info("capacity", telemetry.Fields{
			"model": model.Name, "groups": k.usage.open[model.Name], "utilization": utilization,
			"workers": k.usage.workers, "spare": k.usage.spare,
		})
	}
}

// SpareWorkers returns how many of the data centre's workers are in no group that forms
// or serves. It is 0 at instances that are not the keeper.
func (k *Keeper) SpareWorkers() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.usage.spare
}
