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

// View is what the process believes at one moment.
type View struct {
	Catalog *catalog.Catalog // nil before the first configuration is known
	// ConfirmedAt is when the last read began that showed this configuration to be the
	// newest, on the clock of package boottime.
	ConfirmedAt time.Duration
}

// Age returns how long ago the configuration was the newest for certain.
func (v View) Age() time.Duration { return boottime.Now() - v.ConfirmedAt }

// Gateway serves clients. All exported fields but the function fields, Log and
// Metrics must be set.
type Gateway struct {
	DataCentre string
	Dialect    Dialect
	View       func() View
	Pool       *exchange.Pool
	Places     *Places
	Progress   *Progress
	Log        *telemetry.Log
	Metrics    *telemetry.Metrics

	// MaxAge is the age of the configuration at which a key is not trusted any more.
	MaxAge time.Duration
	// StaleAfter is the age from which an unknown route or key may just be new.
	StaleAfter time.Duration
	// Retries limits what is sent beyond the first attempt, for each service.
	Retries Retries

	stopping atomic.Bool
	open     atomic.Int64
	served   atomic.Bool
}

// Retries holds the budget of each service.
type Retries struct {
	New func() *retry.Budget // makes the budget of a service; nil means a zero Budget

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func (r *Retries) of(service string) *retry.Budget {
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

// Stop makes each answer the last on its connection, so that clients go elsewhere.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Open returns how many requests are in hand.
func (g *Gateway) Open() int64 { return g.open.Load() }

// Served reports whether a client has sent a request that has a route.
func (g *Gateway) Served() bool { return g.served.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{
		gateway: g,
		writer:  w,
		control: http.NewResponseController(w),
		in:      r,
		arrived: time.Now(),
	}
	q.serve()
}

// draw returns a random number from 0 up to but without 1.
func draw() float64 { return rand.Float64() }
