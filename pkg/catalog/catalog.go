package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	Safe   Kind = iota // may run any number of times
	Unsafe             // runs at most once for each request
	Stream             // answers with a series of numbered events
)

// Target is a service that takes part of a route's requests.
type Target struct {
	Service string
	Weight  int // share of the requests, relative to the other targets
}

// Route says how requests of a host below a path are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time until the final answer; 0 means none
	Objective   time.Duration // latency objective of the answer, or of a stream's first event
	MaxPause    time.Duration // latency objective between two events of a stream
	Priority    int           // 0 is the most urgent
	Targets     []Target
	MaxAttempts int  // backend servers that one request may be sent to
	Anonymous   bool // requests need no key
	Resumable   bool // a stream may go on at another backend server
}

// Repeatable reports whether a request may be sent again although it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Model is a model that groups of instances serve.
type Model struct {
	Name           string
	Size           int     // instances that together hold one replica
	Share          float64 // part of the service's workers that it needs, 0 to 1
	Pace           float64 // factor on all times of the engine
	LoadTime       time.Duration
	StagedJoinTime time.Duration // time to join when the weights are on the host
}

// Engine describes how model workers compute, for estimates. Times are those of
// a group with pace 1.
type Engine struct {
	Slots                  int // requests that run side by side at a group
	KVCacheTokens          int // tokens that a group holds
	Models                 []Model
	StepTime               time.Duration // one token for each running request
	StepPerRequest         time.Duration
	StepPerKContext        time.Duration // for each 1,000 tokens of context of a running request
	PromptRate             float64       // prompt tokens read in a second
	StepsPerPass           int           // steps of a pass that has running requests
	MaxPromptTokensPerStep int           // prompt tokens read at most in a step
	MeanPromptTokens       int           // tokens, mean
	MeanAnswerTokens       int           // tokens, mean
	LoadRate               float64       // loads of weights that may begin in a second
	MaxConcurrentLoads     int           // loads that run side by side without slowing down
	OpenTime               time.Duration // from the order to open until a group serves
	ReportLag              time.Duration // how much older than its answer a report may be
}

// Model returns a model by its name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int           // connections that a backend server accepts from all callers
	ColdStart  time.Duration // how long a backend server is cold after its start
	ColdRate   float64       // requests a second that a cold backend server bears; 0 means any
	Engine     *Engine       // nil for a plain service
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before the route's
}

// Limits bound what a client may send and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is what a version of the configuration holds.
type Content struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Catalog is one version of the configuration, indexed. It is never changed.
type Catalog struct {
	content  Content
	byHost   map[string][]*Route // longest prefix first
	byName   map[string]*Service
	byKey    map[string]*Account
	keyBound bool
}

// New indexes a configuration.
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
			c.byKey[key] = a
		}
	}
	c.keyBound = len(content.Accounts) > 0
	return c
}

// Version returns the version of the configuration.
func (c *Catalog) Version() int64 { return c.content.Version }

// Limits returns what clients may send.
func (c *Catalog) Limits() Limits { return c.content.Limits }

// Services returns all services. The caller must not change them.
func (c *Catalog) Services() []Service { return c.content.Services }

// Match returns the route of a request by its host, with or without a port, and
// its path. The longest prefix wins.
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

// Service returns a service by its name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.byName[name]
	return s, ok
}

// Account returns the client account that holds a key.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// NeedsKey reports whether requests on a route have to carry a key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.keyBound && !r.Anonymous }

// Target returns the service of a route for a number from 0 up to but without
// 1 that is drawn for the request.
func (r *Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		if at -= float64(max(t.Weight, 0)); at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
