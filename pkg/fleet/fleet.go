package fleet

import "time"

// DataCentre names one data centre of a deployment.
type DataCentre struct {
	Name    string
	Drained bool // no new work goes there
}

// ClientAccount is one customer whose requests carry its bearer key.
type ClientAccount struct {
	Name   string
	Key    string // bearer key; never logged
	Weight int    // share in fair queueing; 0 counts as 1
}

// Service is a plain service beside the model engines.
type Service struct {
	Name           string
	NonIdempotent  []string // "METHOD /path" patterns whose calls may not be repeated
	RequestTimeout time.Duration
}

// BackendServer is one model worker or one worker of a plain service.
type BackendServer struct {
	Name         string
	DataCentre   string
	FabricDomain string // empty for plain services
	Address      string // IP:port
	Service      string // the plain service it runs; empty for a model worker
	ChecksFence  bool   // the engine refuses an order with an old fencing number
	MaxInFlight  int    // requests it bears when warm
	MaxTokens    int    // KV cache tokens it bears when warm
	ColdInFlight int    // requests it bears in cold start; 0 counts as 1
	Accelerators int
}

// Group is a set of backend servers in one fabric domain that hold one replica
// of a model together.
type Group struct {
	Name         string
	Model        string
	ModelVersion string
	DataCentre   string
	Members      []string // names of backend servers; the first one takes requests
}

// Route allows client accounts or services to use groups.
type Route struct {
	ClientAccounts []string // "*" stands for all
	Groups         []string
	Priority       int // 0 is interactive, 1 is batch
}

// Preset is a named set of routes. Exactly one preset is in force.
type Preset struct {
	Name    string
	Default bool    // in force when a fleet file is imported and no preset is in force yet
	Routes  []Route `toml:"Route"`
}
