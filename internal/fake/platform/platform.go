package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chicorystall/chicorystall/internal/fake"
	wire "github.com/chicorystall/chicorystall/internal/platform"
)

// Config configures the stand-in. The zero value sets no limits and no lag.
type Config struct {
	MaxAge           time.Duration // entries older than this expire; 0 keeps entries of any age
	MaxEntries       int           // maximum retained in each stream; 0 is unlimited
	AppendsPerSecond float64       // limit over all streams; 0 is unlimited
	ListLag          time.Duration // age of the instance list when it is read
	GoneAfter        time.Duration // an instance that has not registered for this time is listed as gone, even if it is only paused; 0 disables this
	WeightBytes      int           // simulated size of a model's weights; 0 means 64 KiB
	WeightRate       float64       // bytes per second over all readers; 0 is unlimited
}

const (
	defaultWeightBytes = 64 << 10
	weightPieceBytes   = 4 << 10
)

// Platform is the stand-in. It can be served by any HTTP server, but only when served
// by Start can an outage refuse connections.
type Platform struct {
	config  Config
	mux     *http.ServeMux
	appends *rate.Limiter
	weights *rate.Limiter
	server  *fake.Server

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced when a stream grows or the faults change
	faults       Faults
	streams      map[string]*stream
	instances    map[string]*registration
	listVersions fake.Lagged[[]wire.Instance]
	lastSweep    time.Time
	injectCalls  int // number of calls of Inject
	weightReads  int
}

// New returns a stand-in that is not yet served.
func New(config Config) *Platform {
	if config.WeightBytes == 0 {
		config.WeightBytes = defaultWeightBytes
	}
	p := &Platform{
		config:    config,
		mux:       http.NewServeMux(),
		appends:   limiter(config.AppendsPerSecond, 1),
		weights:   limiter(config.WeightRate, weightPieceBytes),
		changed:   make(chan struct{}),
		streams:   make(map[string]*stream),
		instances: make(map[string]*registration),
	}
	p.mux.HandleFunc("POST /log/{stream}", p.withFaults(p.handleAppend))
	p.mux.HandleFunc("GET /log/{stream}", p.withFaults(p.handleRead))
	p.mux.HandleFunc("GET /instances", p.withFaults(p.handleList))
	p.mux.HandleFunc("PUT /instances/{name}", p.withFaults(p.handleRegister))
	p.mux.HandleFunc("GET /weights/{model}/{version}", p.withFaults(p.handleWeights))
	p.mux.HandleFunc("POST /control", p.handleControl)
	p.mux.HandleFunc("GET /control", p.handleStatus)
	return p
}

// Start serves the stand-in at the address until the context ends.
func (p *Platform) Start(ctx context.Context, address string) error {
	server, err := fake.Listen(ctx, address, p)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
	return nil
}

// Address returns the IP:port at which the stand-in listens after Start.
func (p *Platform) Address() string { return p.server.Address() }

// ServeHTTP serves the platform's protocol and the control endpoint.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// limiter returns a limiter for the rate, which is unlimited if it is 0.
func limiter(perSecond float64, minBurst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	const burstsPerSecond = 10
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/burstsPerSecond)))
}
