package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind specifies whether requests on a route may be repeated.
type Kind int

// The kinds of routes.
const (
	Safe   Kind = iota // a request may run any number of times
	Unsafe             // a request runs at most once
	Stream             // a request is answered with a stream of numbered events
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // share of the requests relative to the other targets
}

// Route specifies how requests for a host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum time until the answer is complete; 0 means no limit
	Objective   time.Duration // latency objective for the answer, or for the first event of a stream
	MaxPause    time.Duration // latency objective for the time between two events of a stream
	Priority    int           // 0 is the highest priority
	Targets     []Target
	MaxAttempts int  // maximum number of backend servers that a request is sent to
	Anonymous   bool // requests do not need a key
	Resumable   bool // a stream may be resumed at another backend server
}

// Repeatable reports whether a request may be sent again even if it may already have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Model is a model that groups of workers serve.
type Model struct {
	Name           string
	Size           int           // number of workers in a group, which together hold one replica
	Share          float64       // fraction of the service's workers that the model needs, 0 to 1
	Pace           float64       // factor on the engine's processing times; below 1 is faster
	LoadTime       time.Duration // time to join a group if the weights must be loaded from the shared store
	StagedJoinTime time.Duration // time to join a group if the weights are stored on the host
}

// Engine describes the performance of model workers, which is used for estimates and
// for decisions on groups. Times are given for a group with pace 1.
type Engine struct {
	Slots                  int // number of requests that a group runs concurrently
	KVCacheTokens          int // capacity of a group's KV cache in tokens
	Models                 []Model
	StepTime               time.Duration // time for one token of each running request, without the additions below
	StepPerRequest         time.Duration // added to a step for each running request
	StepPerKContext        time.Duration // added to a step for each 1,000 tokens of context of a running request
	PromptRate             float64       // prompt tokens processed per second
	StepsPerPass           int           // number of steps in a scheduling pass while requests are running
	MaxPromptTokensPerStep int           // maximum number of prompt tokens processed in a step
	MeanPromptTokens       int           // mean length of a prompt in tokens
	MeanAnswerTokens       int           // mean length of an answer in tokens
	LoadRate               float64       // loads of weights that may begin per second, at all data centres together
	MaxConcurrentLoads     int           // number of loads that may run concurrently without slowing each other down
	OpenTime               time.Duration // time from the order to open a group until it serves
	ReportLag              time.Duration // age that the state in a report may have when the worker sends it
}

// Model returns the model with a name, if there is one.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int           // maximum number of connections that a backend server accepts from all callers together
	ColdStart  time.Duration // time after its start during which a backend server is cold
	ColdRate   float64       // requests per second that a cold backend server can take; 0 means no limit
	Engine     *Engine       // nil for a plain service
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides the route's priority
}

// Limits are the limits on the size of a client's requests, on the time to send a
// request header, and on the time that a connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is the content of a version of the configuration.
type Content struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// KeysRequired is set if requests need a key even if there are no accounts left, so that
	// no key is valid. Accounts imply it.
	KeysRequired bool
	Limits       Limits
}

// Catalog is an indexed, immutable version of the configuration.
type Catalog struct {
	content      Content
	byHost       map[string][]*Route // longest prefix first
	byName       map[string]*Service
	byKey        map[string]*Account
	keysRequired bool
}

// New returns the indexed form of a configuration.
func New(content Content) *Catalog {
	c := &Catalog{
		content: content,
		byHost:  map[string][]*Route{},
		byName:  map[string]*Service{},
		byKey:   map[string]*Account{},
	}
	for i := range content.Routes {
		r := &content.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range content.Services {
		c.byName[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Accounts {
		a := &content.Accounts[i]
		for _, key := range a.Keys {
			if key != "" { // would be the key of requests without one
				c.byKey[key] = a
			}
		}
	}
	c.keysRequired = content.KeysRequired || len(content.Accounts) > 0
	return c
}

// Version returns the version of the configuration.
func (c *Catalog) Version() int64 { return c.content.Version }

// Limits returns the limits on clients.
func (c *Catalog) Limits() Limits { return c.content.Limits }

// Services returns all services. The caller must not modify them.
func (c *Catalog) Services() []Service { return c.content.Services }

// Match returns the route for a request's host and path. The host may include a port,
// which is ignored. If several prefixes match, the longest one is used.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with a name, if there is one.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.byName[name]
	return s, ok
}

// Account returns the client account that a key belongs to, if there is one.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// NeedsKey reports whether requests on a route must carry a key. No route needs one if
// the configuration has neither client accounts nor KeysRequired.
func (c *Catalog) NeedsKey(r *Route) bool { return c.keysRequired && !r.Anonymous }

// Target selects a service for a request by the weights of the route's targets. draw is
// a random number in [0, 1).
func (r *Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		if remaining -= float64(max(t.Weight, 0)); remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
