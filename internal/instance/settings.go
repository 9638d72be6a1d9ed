package instance

import (
	"net/netip"
	"time"
)

// Settings are the settings of one instance, as its platform gives them.
type Settings struct {
	Name       string // of the instance
	DataCentre string
	// DataCentres are those of the deployment.
	DataCentres []string
	Address     netip.Addr

	RequestAddress   netip.AddrPort // listens for clients
	ReadinessAddress netip.AddrPort // answers the balancer's question
	// NeighbourAddress is the address for datagrams between the instances. The port is
	// the same on all instances.
	NeighbourAddress netip.AddrPort
	Seeds            []netip.Addr // addresses of some instances; may be stale

	MemoryBytes int64

	StoreAddress string // of the platform's metadata store

	GracePeriod        time.Duration // between SIGTERM and SIGKILL
	MaxConfigDelay     time.Duration // within which a configuration is in force
	MaxRevocationDelay time.Duration // after which a removed key must not be served
	RetryRatio         float64       // sends beyond the first, as a share of the requests
	RetryWindow        time.Duration // over which the ratio holds
	RetrySlack         float64       // sends beyond the ratio in a window, over all instances
	LoadWindow         time.Duration // over which the rate of loads is counted
	// HeartbeatInterval is how often a backend server writes its entry; one that is silent
	// for three of them lapses.
	HeartbeatInterval time.Duration
}
