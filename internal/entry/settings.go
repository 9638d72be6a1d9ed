package entry

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/chicorystall/chicorystall/internal/readlimit"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// Settings holds the settings of one entry instance. The fleet's configuration is
// not part of them, since it comes from the platform's log.
type Settings struct {
	Name             string
	DataCentre       string
	CallersAddress   string        // IP:port for callers, used by the balancer
	PeersAddress     string        // IP:port for other entry instances
	OperatorsAddress string        // IP:port for operators and metrics
	PlatformAddress  string        // IP:port of the platform's services
	Peers            []string      // IP:port of entry instances to contact first
	LogRetention     time.Duration // how long the platform's log keeps records
	KeyWindow        time.Duration // how long an idempotency key may be repeated
	Limits           Limits
	Heartbeat        Heartbeat
	Shutdown         Shutdown
	CallersTLS       TLSFiles
	PeersTLS         TLSFiles
}

// Limits holds the bounds on what one entry instance accepts and stores.
type Limits struct {
	MaxHeaderBytes     int
	MaxBodyBytes       int
	MaxPromptTokens    int
	MaxOutputTokens    int
	MaxRequests        int // active at one time
	MaxQueueEntries    int
	MaxQueueBytes      int
	StreamBytes        int // buffered for one stream whose caller is slow
	AllStreamsBytes    int // buffered for all streams
	MaxAnswerBytes     int // stored of the answer to a non-idempotent request
	HeaderTimeout      time.Duration
	BodyTimeout        time.Duration
	RequestTimeout     time.Duration
	BackendIdleTimeout time.Duration
}

// Heartbeat holds the intervals at which states are exchanged.
type Heartbeat struct {
	Peers    time.Duration
	Backends time.Duration
	Platform time.Duration
}

// Shutdown holds the durations of a graceful shutdown.
type Shutdown struct {
	BalancerDelay time.Duration // from failing the readiness check to refusing new connections
	Deadline      time.Duration // after which the remaining requests are cut and reported
}

// TLSFiles holds the names of the PEM files of a listener. TLS is off if the names
// are empty.
type TLSFiles struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// DefaultSettings returns the values of settings that a file does not set.
func DefaultSettings() Settings {
	return Settings{
		LogRetention: 7 * 24 * time.Hour,
		KeyWindow:    24 * time.Hour,
		Limits: Limits{
			MaxHeaderBytes:     32 << 10,
			MaxBodyBytes:       4 << 20,
			MaxPromptTokens:    128 << 10,
			MaxOutputTokens:    32 << 10,
			MaxRequests:        4096,
			MaxQueueEntries:    512,
			MaxQueueBytes:      64 << 20,
			StreamBytes:        64 << 10,
			AllStreamsBytes:    64 << 20,
			MaxAnswerBytes:     64 << 10,
			HeaderTimeout:      5 * time.Second,
			BodyTimeout:        15 * time.Second,
			RequestTimeout:     2 * time.Minute,
			BackendIdleTimeout: 10 * time.Second,
		},
		Heartbeat: Heartbeat{
			Peers:    time.Second,
			Backends: time.Second,
			Platform: 2 * time.Second,
		},
		Shutdown: Shutdown{BalancerDelay: 2 * time.Second, Deadline: 2 * time.Minute},
	}
}

// maxSettingsBytes limits the size of settings files and of certificate authority
// files.
const maxSettingsBytes = 1 << 20

// ReadSettings reads and checks a settings file. The error holds all findings.
func ReadSettings(file string) (Settings, error) {
	data, err := readlimit.File(file, maxSettingsBytes)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, findings := ParseSettings(file, data)
	return settings, findings.Err()
}

// ParseSettings parses and checks settings. Findings name the file by the given
// name.
func ParseSettings(name string, data []byte) (Settings, fleet.Findings) {
	settings := DefaultSettings()
	places, findings := fleet.Decode(name, data, &settings)
	check := settingsCheck{file: name, places: places, findings: findings}
	check.names(settings)
	check.addresses(settings)
	check.limits(settings)
	check.tls("CallersTLS", settings.CallersTLS, false)
	check.tls("PeersTLS", settings.PeersTLS, true)
	return settings, check.findings
}

// settingsCheck collects findings about parsed settings.
type settingsCheck struct {
	file     string
	places   fleet.Positions
	findings fleet.Findings
}

func (c *settingsCheck) addFinding(key, format string, args ...any) {
	finding := c.places.Finding(c.file, key, fmt.Sprintf(format, args...))
	c.findings = append(c.findings, finding)
}

func (c *settingsCheck) names(s Settings) {
	if s.Name == "" {
		c.addFinding("Name", "is missing")
	}
	if s.DataCentre == "" {
		c.addFinding("DataCentre", "is missing")
	}
}

func (c *settingsCheck) addresses(s Settings) {
	ownAddresses := map[string]string{}
	for _, item := range []struct{ key, address string }{
		{"CallersAddress", s.CallersAddress},
		{"PeersAddress", s.PeersAddress},
		{"OperatorsAddress", s.OperatorsAddress},
	} {
		c.address(item.key, item.address)
		if other, taken := ownAddresses[item.address]; taken && item.address != "" {
			c.addFinding(item.key, "%q is the address of %s too", item.address, other)
		}
		ownAddresses[item.address] = item.key
	}
	c.address("PlatformAddress", s.PlatformAddress)
	seen := map[string]bool{}
	for i, peer := range s.Peers {
		key := fmt.Sprintf("Peers.%d", i)
		c.address(key, peer)
		if seen[peer] {
			c.addFinding(key, "%q is listed twice", peer)
		}
		seen[peer] = true
	}
}

func (c *settingsCheck) address(key, address string) {
	if address == "" {
		c.addFinding(key, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.addFinding(key, "%q is not an IP number and a port, such as \"127.0.0.1:8080\"", address)
	}
}

func (c *settingsCheck) limits(s Settings) {
	for _, item := range []struct {
		key   string
		value int
	}{
		{"MaxHeaderBytes", s.Limits.MaxHeaderBytes},
		{"MaxBodyBytes", s.Limits.MaxBodyBytes},
		{"MaxPromptTokens", s.Limits.MaxPromptTokens},
		{"MaxOutputTokens", s.Limits.MaxOutputTokens},
		{"MaxRequests", s.Limits.MaxRequests},
		{"MaxQueueEntries", s.Limits.MaxQueueEntries},
		{"MaxQueueBytes", s.Limits.MaxQueueBytes},
		{"StreamBytes", s.Limits.StreamBytes},
		{"AllStreamsBytes", s.Limits.AllStreamsBytes},
		{"MaxAnswerBytes", s.Limits.MaxAnswerBytes},
	} {
		if item.value <= 0 {
			c.addFinding("Limits."+item.key, "must be above 0")
		}
	}
	if s.Limits.StreamBytes > s.Limits.AllStreamsBytes {
		c.addFinding("Limits.StreamBytes", "%d bytes for one stream are more than AllStreamsBytes, %d", s.Limits.StreamBytes, s.Limits.AllStreamsBytes)
	}
	c.durations(s)
}

func (c *settingsCheck) durations(s Settings) {
	if s.KeyWindow >= s.LogRetention {
		c.addFinding("KeyWindow", "%s is not below LogRetention, %s: a key has to be forgotten before its record", s.KeyWindow, s.LogRetention)
	}
	for _, item := range []struct {
		key   string
		value time.Duration
	}{
		{"Limits.HeaderTimeout", s.Limits.HeaderTimeout},
		{"Limits.BodyTimeout", s.Limits.BodyTimeout},
		{"Limits.RequestTimeout", s.Limits.RequestTimeout},
		{"Limits.BackendIdleTimeout", s.Limits.BackendIdleTimeout},
		{"Heartbeat.Peers", s.Heartbeat.Peers},
		{"Heartbeat.Backends", s.Heartbeat.Backends},
		{"Heartbeat.Platform", s.Heartbeat.Platform},
		{"Shutdown.Deadline", s.Shutdown.Deadline},
	} {
		if item.value <= 0 {
			c.addFinding(item.key, "must be above 0s")
		}
	}
}

func (c *settingsCheck) tls(key string, files TLSFiles, mutual bool) {
	if files == (TLSFiles{}) {
		return
	}
	if files.CertificateFile == "" {
		c.addFinding(key+".CertificateFile", "is missing")
	}
	if files.KeyFile == "" {
		c.addFinding(key+".KeyFile", "is missing")
	}
	if mutual && files.AuthorityFile == "" {
		c.addFinding(key+".AuthorityFile", "is missing: entry instances check each other's certificates")
	}
}

// IsSettings reports whether a TOML document has keys of an entry instance's
// settings, as opposed to those of a fleet's configuration.
func IsSettings(data []byte) bool {
	var keys map[string]any
	if err := toml.Unmarshal(data, &keys); err != nil {
		return false
	}
	for _, key := range []string{"CallersAddress", "PeersAddress", "OperatorsAddress", "PlatformAddress"} {
		if _, found := keys[key]; found {
			return true
		}
	}
	return false
}
