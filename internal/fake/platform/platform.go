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

// Config sizes the stand-in. The zero value has no limits and no lag.
type Config struct {
	MaxAge           time.Duration // entries older than this expire; 0 keeps them
	MaxEntries       int           // kept in each stream; 0 keeps all
	AppendsPerSecond float64       // over all streams; 0 is unlimited
	ListLag          time.Duration // how old the instance list is
	GoneAfter        time.Duration // an instance that has not registered for so long is listed gone, even if it is only paused; 0 never
	WeightBytes      int           // pretend size of a model's weights; 0 counts as 64 KiB
	WeightRate       float64       // bytes a second over all readers; 0 is unlimited
}

const (
	defaultWeightBytes = 64 << 10
	weightPieceBytes   = 4 << 10
)

// Platform is the stand-in. Its handler may be served by any HTTP server; Start
// serves it so that an outage can refuse connections.
type Platform struct {
	config  Config
	mux     *http.ServeMux
	appends *rate.Limiter
	weights *rate.Limiter
	server  *fake.Server

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a stream grows or a fault changes
	faults    Faults
	streams   map[string]*stream
	instances map[string]*registration
	listed    fake.Lagged[[]wire.Instance]
	swept     time.Time
	injected  int // calls of Inject
	loads     int
}

// New returns a stand-in that is not served yet.
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
	p.mux.HandleFunc("POST /log/{stream}", p.faulty(p.handleAppend))
	p.mux.HandleFunc("GET /log/{stream}", p.faulty(p.handleRead))
	p.mux.HandleFunc("GET /instances", p.faulty(p.handleList))
	p.mux.HandleFunc("PUT /instances/{name}", p.faulty(p.handleRegister))
	p.mux.HandleFunc("GET /weights/{model}/{version}", p.faulty(p.handleWeights))
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

// Address returns the IP:port that Start listens at.
func (p *Platform) Address() string { return p.server.Address() }

// ServeHTTP serves the platform's protocol and its control page.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func limiter(perSecond float64, minBurst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	const burstsPerSecond = 10
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/burstsPerSecond)))
}
