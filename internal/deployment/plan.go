package deployment

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// Names that every deployment uses.
const (
	Model        = "atelier-70b"
	ModelVersion = "1"
	Service      = "orders"
	Preset       = "ordinary"
)

// Plan sets the size of a deployment. The comments give the values that zero fields
// take.
type Plan struct {
	DataCentres          []string // "dc-1"
	EntriesPerDataCentre int      // 1
	GroupsPerDataCentre  int      // 1
	GroupSize            int      // 1
	Spares               int      // 0; workers in no group, in each data centre
	DesksPerDataCentre   int      // 1; a negative value means none
	ClientAccounts       int      // 1
	MaxInFlight          int      // 8; for each backend server
	MaxTokens            int      // 1 << 20; for each model worker
	ColdInFlight         int      // 1
	IgnoresFence         bool     // engines execute orders with old fencing numbers

	Worker   worker.Config
	Desk     desk.Config
	Platform platform.Config
	// Settings changes the settings of each entry instance.
	Settings func(*entry.Settings)
}

func (p Plan) withDefaults() Plan {
	if len(p.DataCentres) == 0 {
		p.DataCentres = []string{"dc-1"}
	}
	for _, item := range []struct {
		field    *int
		fallback int
	}{
		{&p.EntriesPerDataCentre, 1},
		{&p.GroupsPerDataCentre, 1},
		{&p.GroupSize, 1},
		{&p.DesksPerDataCentre, 1},
		{&p.ClientAccounts, 1},
		{&p.MaxInFlight, 8},
		{&p.MaxTokens, 1 << 20},
		{&p.ColdInFlight, 1},
	} {
		if *item.field == 0 {
			*item.field = item.fallback
		}
	}
	if p.Worker.ColdInFlight == 0 {
		p.Worker.ColdInFlight = p.ColdInFlight
	}
	return p
}

// AccountName returns the name of the n-th client account, from 0.
func AccountName(n int) string { return fmt.Sprintf("account-%d", n+1) }

// AccountKey returns the bearer key of a client account.
func AccountKey(account string) string { return "key-of-" + account }

// fleetWithoutBackends returns the configuration without backend servers, groups and
// presets.
func (p Plan) fleetWithoutBackends() fleet.Config {
	var config fleet.Config
	for n := range p.ClientAccounts {
		name := AccountName(n)
		config = config.WithClientAccount(fleet.ClientAccount{Name: name, Key: AccountKey(name), Weight: 1})
	}
	config.Services = []fleet.Service{{
		Name:           Service,
		NonIdempotent:  []string{"POST /orders"},
		RequestTimeout: 20 * time.Second,
	}}
	for _, dc := range p.DataCentres {
		config = config.WithDataCentre(fleet.DataCentre{Name: dc})
	}
	return config
}

// entrySettings returns the settings of an entry instance. addresses are its callers',
// peers' and operators' address, in this order.
func entrySettings(name, dataCentre, platformAddress string, addresses []string, peers []string) entry.Settings {
	settings := entry.DefaultSettings()
	settings.Name = name
	settings.DataCentre = dataCentre
	settings.CallersAddress, settings.PeersAddress, settings.OperatorsAddress = addresses[0], addresses[1], addresses[2]
	settings.PlatformAddress = platformAddress
	settings.Peers = peers
	settings.Heartbeat = entry.Heartbeat{
		Peers:    200 * time.Millisecond,
		Backends: 200 * time.Millisecond,
		Platform: 300 * time.Millisecond,
	}
	settings.Shutdown.BalancerDelay = 300 * time.Millisecond
	return settings
}
