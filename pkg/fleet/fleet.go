package fleet

import "time"

// DataCentre is one data centre of a deployment.
type DataCentre struct {
	Name    string
	Drained bool // it gets no new requests
}

// ClientAccount is one customer, which is identified by the bearer key of its requests.
type ClientAccount struct {
	Name   string
	Key    string // bearer key; never logged
	Weight int    // weight in fair queueing; 0 means 1
}

// Service is a plain service, which serves requests without a model engine.
type Service struct {
	Name           string
	NonIdempotent  []string // "METHOD /path" patterns of calls that must not be retried
	RequestTimeout time.Duration
}

// BackendServer is one model worker or one worker of a plain service.
type BackendServer struct {
	Name         string
	DataCentre   string
	FabricDomain string // empty for plain services
	Address      string // IP:port
	Service      string // the plain service it runs; empty for a model worker
	ChecksFence  bool   // the engine refuses orders with an old fencing number
	MaxInFlight  int    // most concurrent requests when warm
	MaxTokens    int    // most KV cache tokens in use when warm
	ColdInFlight int    // most concurrent requests during cold start; 0 means 1
	Accelerators int
}

// Group is a set of backend servers in one fabric domain that serve one replica of a
// model together.
type Group struct {
	Name         string
	Model        string
	ModelVersion string
	DataCentre   string
	Members      []string // names of backend servers; the first one, the head, takes requests
}

// Route allows client accounts to use groups.
type Route struct {
	ClientAccounts []string // "*" means all
	Groups         []string
	Priority       int // 0 is interactive, 1 is batch
}

// Preset is a named set of routes. Exactly one preset is in force.
type Preset struct {
	Name    string
	Default bool    // in force after an import of a fleet without the preset in force
	Routes  []Route `toml:"Route"`
}
