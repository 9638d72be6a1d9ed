package instance

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/keeper"
	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	// heapShare is the part of the machine's memory that the heap may fill; the
	// rest is for stacks, socket buffers and the program itself.
	heapShare = 0.6
	// gcPercent lets a small heap grow further between two collections.
	gcPercent = 400
	// ageMargin is kept of the time after which a removed key must not be served.
	ageMargin = 600 * time.Millisecond
	// retryShare is the part of the fleet's allowance for repeated sends that is
	// used, since each instance knows only its own requests.
	retryShare = 0.7
	// meetingShare is the part of its share that an instance takes meanwhile. Those
	// that start together read the addresses one after the other, so that the parts
	// of all are a harmonic series.
	meetingShare = 0.25
	// meetingTime is how long an instance listens for its neighbours before it
	// looks after groups or takes its whole share of what all divide among them.
	meetingTime = time.Second
	// blindAfter is how long a keeper goes without an answer of the store until
	// another instance that has one takes its place.
	blindAfter = 2500 * time.Millisecond
	// stallDoubt keeps new work from a head that stands still until the next look.
	stallDoubt = 300 * time.Millisecond
	// layoutInterval is how often the places are made anew without a change.
	layoutInterval = 250 * time.Millisecond
	// metricsTimeout bounds a question for the metrics and its answer, and an idle
	// connection: Prometheus gives up after 10 s unless told otherwise.
	metricsTimeout = 10 * time.Second
	// metricsHeaderBytes bounds the head of such a question.
	metricsHeaderBytes = 16 << 10
)

// Config is what an instance is run with. All fields but MetricsPort must be set.
type Config struct {
	Settings    Settings
	Platform    Platform
	MetricsPort int // 0 serves no metrics
	Log         *telemetry.Log
	Metrics     *telemetry.Metrics
	// CheckSettings is called when the settings may have changed; what is new is
	// used at the next start.
	CheckSettings func() error
}

// instance is one running entry instance.
type instance struct {
	settings Settings
	started  time.Time
	log      *telemetry.Log
	metrics  *telemetry.Metrics
	platform Platform
	state    *State
	gateway  *gateway.Gateway
	keeper   *keeper.Keeper
	net      *neighbour.Exchanger
	stopping func() bool

	laying sync.Mutex // held while the places are made
	usable usable

	mu      sync.Mutex
	reached map[string]time.Time            // when a head that is silent to a keeper answered here
	refused map[neighbour.Refusal]time.Time // when a datagram was last logged for a reason
	met     time.Time                       // when the instances' addresses were read; zero before
	listed  bool                            // the workers' entries were read
	formed  bool                            // groups were open when they were first read
}

// Run serves on the platform until the context ends, and then until all that is
// in hand is answered.
func Run(ctx context.Context, c Config) error {
	settings := c.Settings
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	i := newInstance(ctx, c)
	// Everything but the server goes on until the last request has its answer.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var logging errgroup.Group
	logging.Go(func() error { return i.log.Run(background) })
	i.log.Info("start", telemetry.Fields{"address": settings.Address.String(), "store": settings.StoreAddress})
	serving, stopRest := context.WithCancel(background)
	defer stopRest()
	group, rest := errgroup.WithContext(serving)
	group.Go(func() error { return i.state.WatchOperator(rest) })
	group.Go(func() error { return i.state.WatchWorkers(rest) })
	group.Go(func() error { return i.meet(rest) })
	group.Go(func() error { return i.net.Run(rest) })
	group.Go(func() error { return i.keeper.Run(rest) })
	group.Go(func() error { return i.gateway.Places.Run(rest) })
	group.Go(func() error {
		return i.gateway.Progress.Run(rest, func(place string) { i.gateway.Places.Avoid(place, stallDoubt) })
	})
	group.Go(func() error { return i.refresh(rest) })
	group.Go(func() error { return i.askSilent(rest) })
	group.Go(func() error { return i.reload(rest, c.CheckSettings) })
	if c.MetricsPort > 0 {
		group.Go(func() error { return i.serveMetrics(rest, c.MetricsPort) })
	}
	server := &gateway.Server{
		Gateway: i.gateway, ClientAddress: settings.RequestAddress, ReadinessAddress: settings.ReadinessAddress,
		Ready: i.ready, Limits: i.limits, GraceTime: settings.GracePeriod,
		MemoryBytes: settings.MemoryBytes, Log: i.log,
	}
	group.Go(func() error {
		defer stopRest()
		return server.Run(ctx)
	})
	err := group.Wait()
	i.log.Info("stop", telemetry.Fields{"ms": time.Since(i.started).Milliseconds()})
	cancel()
	return errors.CombineErrors(err, logging.Wait())
}

func newInstance(ctx context.Context, c Config) *instance {
	settings := c.Settings
	i := &instance{
		settings: settings,
		started:  time.Now(),
		log:      c.Log,
		metrics:  c.Metrics,
		platform: c.Platform,
		reached:  map[string]time.Time{},
		refused:  map[neighbour.Refusal]time.Time{},
		stopping: func() bool { return ctx.Err() != nil },
	}
	i.state = NewState(i.platform, settings.HeartbeatInterval, i.log, i.acting, func() bool { return i.keeper.Repairing() }, i.workersRelayed,
		func() int { return i.net.ProcessCount() }, func() { i.layOut() })
	i.net = &neighbour.Exchanger{
		Instance: settings.Name, DataCentre: settings.DataCentre, DataCentres: settings.DataCentres,
		Listen: settings.NeighbourAddress, Started: i.started,
		Digest: i.digest, OnDigest: i.onDigest, OnRefuse: i.onRefuse,
		OnTimestampError: func(err error) {
			i.log.Warn("datagrams have no time of arrival", telemetry.Fields{"error": err.Error()})
		},
		OnReachabilityChange: func(instance, dataCentre string, heard bool) {
			i.log.Info("neighbour", telemetry.Fields{"neighbour": instance, "data_centre": dataCentre, "heard": heard})
		},
	}
	i.gateway = &gateway.Gateway{
		DataCentre: settings.DataCentre,
		Dialect:    i.platform.Dialect,
		View:       i.state.View,
		Pool:       &exchange.Pool{OnDial: i.onDial},
		Places:     gateway.NewPlaces(),
		Progress: &gateway.Progress{OnStall: func(place string, stalled bool, idle time.Duration) {
			i.log.Info("head", telemetry.Fields{"worker": place, "stalled": stalled, "idle_ms": idle.Milliseconds()})
		}},
		Log:        i.log,
		Metrics:    i.metrics,
		MaxAge:     settings.MaxRevocationDelay - ageMargin,
		StaleAfter: max(settings.MaxConfigDelay, watchWait+ageMargin),
		Retries:    gateway.Retries{New: i.retryBudget},
	}
	i.keeper = &keeper.Keeper{
		DataCentre: settings.DataCentre, LoadWindow: settings.LoadWindow, Log: i.log, Metrics: i.metrics,
		Acting: i.acting, List: i.state.List, Engine: i.engine,
		Closed:      func() bool { return i.state.Closed(settings.DataCentre) },
		DataCentres: i.dataCentres,
		Stalled:     func(id string) bool { return i.seen(id, i.gateway.Progress.Stalled(), stalledOf) },
		Moving:      func(id string) bool { return i.seen(id, i.gateway.Progress.Moving(time.Now()), movingOf) },
		Serving:     i.serving,
		Use: func(model string) float64 {
			service, _ := i.engine()
			return i.gateway.Places.Utilisation(service, model)
		},
		Report: i.platform.Report, Order: i.platform.Order, Ended: i.state.Ended,
	}
	i.metrics.Gauge("open_requests", "Requests in hand.", func() float64 { return float64(i.gateway.Open()) })
	i.metrics.Gauge("waiting_requests", "Requests that wait for a place.", func() float64 { return float64(i.gateway.Places.Waiting()) })
	i.metrics.Gauge("config_age_seconds", "Age of the proof that the configuration is the newest.", func() float64 {
		return i.state.View().Age().Seconds()
	})
	i.metrics.Gauge("log_lines_dropped", "Log lines left out.", func() float64 { return float64(i.log.Dropped()) })
	return i
}

// retryBudget makes an instance's budget of a service, of which it has a share.
// A process that starts again has forgotten what it spent in the window, and those
// that are added are not known to the others at once: Start is small enough for
// either to keep within the allowance.
func (i *instance) retryBudget() *retry.Budget {
	s := i.settings
	slack := retryShare * s.RetrySlack
	return &retry.Budget{
		Ratio:          retryShare * s.RetryRatio,
		Burst:          max(slack/2, 1),
		InitialRetries: slack / 5,
		MinPerSecond:   slack / 2 / s.RetryWindow.Seconds(),
		Share:          i.share,
	}
}

// share returns this instance's part of what all instances divide among them. It
// is 0 until those whose addresses are in the store are known, and small until those
// that started at the same time had time to be heard.
func (i *instance) share() float64 {
	i.mu.Lock()
	met := i.met
	i.mu.Unlock()
	share := 1 / float64(i.net.ProcessCount())
	switch {
	case met.IsZero():
		return 0
	case time.Since(met) <= meetingTime:
		return meetingShare * share
	}
	return share
}

func (i *instance) onDial(_ time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	i.metrics.Dials.WithLabelValues(outcome).Inc()
}

// acting reports whether this instance is its data centre's keeper.
func (i *instance) acting() bool {
	return !i.stopping() && time.Since(i.started) > meetingTime && i.net.IsKeeper(i.blind())
}

// blind reports whether this instance should know the workers' entries from the
// store, and has not reached it for a while.
func (i *instance) blind() bool {
	_, listed := i.state.List()
	return !i.relayed() && time.Since(listed) > blindAfter
}

// engine returns the service of the model workers and its engine.
func (i *instance) engine() (string, *catalog.Engine) {
	c := i.state.View().Catalog
	if c == nil {
		return "", nil
	}
	for _, s := range c.Services() {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return s.Name, s.Engine
		}
	}
	return "", nil
}

func (i *instance) dataCentres() int {
	seen := map[string]bool{i.settings.DataCentre: true}
	for _, s := range i.state.Listing().Roster().All() {
		seen[s.DataCentre] = true
	}
	return len(seen)
}

// serving reports whether clients have sent requests. An instance that starts
// beside open groups has not seen those that were sent before.
func (i *instance) serving() bool {
	i.mu.Lock()
	formed := i.formed
	i.mu.Unlock()
	if formed || i.gateway.Served() {
		return true
	}
	return slices.ContainsFunc(i.net.RecentDigests(), func(d neighbour.Digest) bool { return d.Served })
}

func (i *instance) ready() bool {
	view := i.state.View()
	return view.Catalog != nil && view.Age() < i.gateway.MaxAge
}

func (i *instance) limits() catalog.Limits {
	c := i.state.View().Catalog
	if c == nil {
		return catalog.Limits{}
	}
	return c.Limits()
}

// reload checks the settings after SIGHUP. What changed is used at the next start.
func (i *instance) reload(ctx context.Context, check func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		if err := check(); err != nil {
			i.log.Warn("reload", telemetry.Fields{"error": err.Error()})
			continue
		}
		i.log.Info("reload", telemetry.Fields{"instance": i.settings.Name})
	}
}

func (i *instance) serveMetrics(ctx context.Context, port int) error {
	if port > math.MaxUint16 {
		return errors.Newf("metrics port %d is not a port", port)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", i.metrics.Handler())
	server := &http.Server{
		Addr:           netip.AddrPortFrom(i.settings.Address, uint16(port)).String(),
		Handler:        mux,
		ReadTimeout:    metricsTimeout,
		WriteTimeout:   metricsTimeout,
		MaxHeaderBytes: metricsHeaderBytes,
	}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "metrics")
	}
	return nil
}
