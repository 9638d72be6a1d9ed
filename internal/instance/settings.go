package instance

import (
	"net/netip"
	"time"
)

// Settings are the settings of one instance, decoded from the platform's file.
type Settings struct {
	Name       string // the instance's name
	DataCentre string
	// DataCentres are all data centres of the deployment.
	DataCentres []string
	Address     netip.Addr

	RequestAddress   netip.AddrPort // listens for requests of clients
	ReadinessAddress netip.AddrPort // answers the load balancer's readiness checks
	// NeighbourAddress is the address that receives datagrams of other instances. All
	// instances use the same port.
	NeighbourAddress netip.AddrPort
	Seeds            []netip.Addr // addresses of some instances, perhaps outdated

	MemoryBytes  int64
	Cores        float64 // share of a processor core, or number of cores
	LinkMegabits float64 // megabits per second of the machine's link

	StoreAddress string // address of the platform's metadata store

	GracePeriod        time.Duration // time between SIGTERM and SIGKILL
	MaxConfigDelay     time.Duration // time within which a new configuration must be in force
	MaxDrainDelay      time.Duration // time within which requests to a leaving backend server must stop
	MaxRevocationDelay time.Duration // time after which requests with a removed key must be rejected
	RetryRatio         float64       // retries that the deployment may send per request
	RetryWindow        time.Duration // period over which RetryRatio is computed
	RetrySlack         float64       // retries beyond RetryRatio in one window, over all instances
	LoadWindow         time.Duration // period over which the rate of model loads is counted
	// HeartbeatInterval is how often a backend server writes its entry. An entry that
	// is not written for three of these periods lapses and is removed.
	HeartbeatInterval time.Duration
}

// relayAge returns the age up to which what a keeper has read replaces an own read. It
// is a share of the bounds that a keeper's silence must not break: the rest is for an own
// read after that.
func (s Settings) relayAge() time.Duration {
	const share = 0.6
	return max(minRelayAge, time.Duration(share*float64(min(s.MaxDrainDelay, s.MaxConfigDelay))))
}
