package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystall/chicorystall/internal/boottime"
	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

// View is the configuration that the process knows at one moment.
type View struct {
	Catalog *catalog.Catalog // nil before the first configuration is known
	// ConfirmedAt is the start time, on the clock of package boottime, of the last read
	// that confirmed this configuration to be the newest.
	ConfirmedAt time.Duration
}

// Age returns the time since the configuration was last confirmed to be the newest.
func (v View) Age() time.Duration { return boottime.Now() - v.ConfirmedAt }

// Gateway serves client requests. All exported fields must be set, except Log, without
// which nothing is logged, Retries, Suspects and MemoryBytes.
type Gateway struct {
	DataCentre string
	Dialect    Dialect
	View       func() View
	Pool       *exchange.Pool
	Places     *Places
	Progress   *Progress
	Log        *telemetry.Log
	Metrics    *telemetry.Metrics

	// MaxAge is the age of the configuration above which no API key is accepted,
	// since it may have been revoked.
	MaxAge time.Duration
	// StaleAfter is the age of the configuration above which requests with an unknown
	// route or key get a 503 instead of a 404 or 401, since the route or key may have
	// been added recently.
	StaleAfter time.Duration
	// Retries limits the attempts after the first one, for each service.
	Retries Retries
	// Suspects finds the parts of prompts that crash backend servers.
	Suspects Suspects
	// MemoryBytes is what the process may take; 0 means defaultMemoryBytes.
	MemoryBytes int64

	answers answerMemory
	stop    stop
	open    atomic.Int64 // number of requests in progress
	served  atomic.Bool  // a client has sent a request that matched a route
}

// Retries holds the retry budget of each service. The zero value is ready to use.
type Retries struct {
	New func() *retry.Budget // makes the budget of a service; nil means a zero Budget

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func (r *Retries) forService(service string) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		if r.New != nil {
			b = r.New()
		}
		if r.budgets == nil {
			r.budgets = map[string]*retry.Budget{}
		}
		r.budgets[service] = b
	}
	return b
}

// Open returns the number of requests in progress.
func (g *Gateway) Open() int64 { return g.open.Load() }

// Served reports whether a client has sent a request that matched a route.
func (g *Gateway) Served() bool { return g.served.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	q := &request{
		gateway:  g,
		writer:   w,
		control:  http.NewResponseController(w),
		incoming: r,
		arrived:  time.Now(),
	}
	q.serve()
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }
