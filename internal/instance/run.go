package instance

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
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
	"github.com/chicorystall/chicorystall/pkg/poison"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	// heapShare is the fraction of the machine's memory that the heap may use. The
	// rest is for stacks, socket buffers and the program itself.
	heapShare = 0.6
	// gcPercent exceeds Go's default of 100 to collect a small heap less often.
	gcPercent = 400
	// revocationMargin is how long before Settings.MaxRevocationDelay an instance that can't
	// confirm its configuration stops accepting keys.
	revocationMargin = 600 * time.Millisecond
	// retryShare is the fraction of the deployment's retry allowance that the instances
	// use. It is below 1 since each instance knows only its own requests.
	retryShare = 0.7
	// discoveryShare is the fraction of its share that an instance takes during
	// discoveryTime. Instances that start together read the addresses one after the
	// other, and each finds one more than the one before. Their shares form a harmonic
	// series, whose sum exceeds 1.
	discoveryShare = 0.25
	// discoveryTime is how long an instance waits for digests of its peers, after its
	// start before it may become keeper, and after reading their addresses before it
	// takes its whole share of what all instances divide.
	discoveryTime = time.Second
	// storeUnreachableAfter is how long a keeper goes without an answer from the store
	// before a peer that can reach the store replaces it.
	storeUnreachableAfter = 2500 * time.Millisecond
	// stallHold is how long a stalled head gets no new requests, which lasts until
	// gateway.Progress checks it again.
	stallHold = 300 * time.Millisecond
	// placesInterval is how often the places are rebuilt without a change.
	placesInterval = 250 * time.Millisecond
	// relayPlacesInterval replaces placesInterval where there are relays, whose digests
	// cause most changes.
	relayPlacesInterval = 500 * time.Millisecond
	// metricsTimeout limits the reading of a metrics request, the writing of its
	// response, and idle connections. It is the default scrape timeout of Prometheus.
	metricsTimeout = 10 * time.Second
	// metricsHeaderBytes limits the header of a metrics request.
	metricsHeaderBytes = 16 << 10
)

// Config configures Run. All fields but MetricsPort must be set.
type Config struct {
	Settings    Settings
	Platform    Platform
	MetricsPort int // 0 disables the metrics server
	Log         *telemetry.Log
	Metrics     *telemetry.Metrics
	// CheckSettings validates the settings file again on SIGHUP. Changes take effect
	// at the next start.
	CheckSettings func() error
}

// instance is a running entry instance.
type instance struct {
	settings  Settings
	started   time.Time
	log       *telemetry.Log
	metrics   *telemetry.Metrics
	platform  Platform
	state     *State
	gateway   *gateway.Gateway
	keeper    *keeper.Keeper
	exchanger *neighbour.Exchanger
	stopping  func() bool

	rebuilding sync.Mutex // held while the places are rebuilt
	usability  usabilityLog

	storeRestored chan struct{} // receives when the store was restored from a copy
	silentHeads   chan struct{} // receives when a keeper has told of heads that don't answer it

	mu                sync.Mutex
	relay             string                          // name of the relay of this data centre that was heard last
	reachedAt         map[string]time.Time            // last answer of each head that doesn't answer its keeper
	refusalLoggedAt   map[neighbour.Refusal]time.Time // last log line about a refused datagram, by reason
	instancesKnownAt  time.Time                       // when the instances' addresses were read; zero before that
	entriesRead       bool                            // the workers' entries have been read
	groupsOpenAtStart bool                            // groups were open when the entries were first read
}

// Run serves on the platform until the context ends, and then until the requests in
// progress are answered or the grace time is over.
func Run(ctx context.Context, c Config) error {
	settings := c.Settings
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	i := newInstance(ctx, c)
	// All tasks but the server run until the last request is answered, so their
	// context outlives ctx.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var logging errgroup.Group
	logging.Go(func() error { return i.log.Run(background) })
	i.log.Info("start", telemetry.Fields{"address": settings.Address.String(), "store": settings.StoreAddress})
	serveCtx, stopServing := context.WithCancel(background)
	defer stopServing()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return i.state.WatchOperator(groupCtx) })
	group.Go(func() error { return i.discoverInstances(groupCtx) })
	group.Go(func() error {
		i.awaitRelay(groupCtx)
		return i.state.WatchWorkers(groupCtx)
	})
	group.Go(func() error { return i.exchanger.Run(groupCtx) })
	group.Go(func() error { return i.keeper.Run(groupCtx) })
	group.Go(func() error { return i.gateway.Places.Run(groupCtx) })
	group.Go(func() error {
		return i.gateway.Progress.Run(groupCtx, func(place string) { i.gateway.Places.Avoid(place, stallHold) })
	})
	group.Go(func() error { return i.refreshPlaces(groupCtx) })
	group.Go(func() error { return i.probeUnreachableHeads(groupCtx) })
	group.Go(func() error { return i.reload(groupCtx, c.CheckSettings) })
	if c.MetricsPort > 0 {
		group.Go(func() error { return i.serveMetrics(groupCtx, c.MetricsPort) })
	}
	server := &gateway.Server{
		Gateway: i.gateway, ClientAddress: settings.RequestAddress, ReadinessAddress: settings.ReadinessAddress,
		Ready: i.ready, Limits: i.limits, GraceTime: settings.GracePeriod,
		MemoryBytes: settings.MemoryBytes, Log: i.log,
	}
	group.Go(func() error {
		defer stopServing()
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
		settings:        settings,
		started:         time.Now(),
		log:             c.Log,
		metrics:         c.Metrics,
		platform:        c.Platform,
		reachedAt:       map[string]time.Time{},
		refusalLoggedAt: map[neighbour.Refusal]time.Time{},
		silentHeads:     make(chan struct{}, 1),
		storeRestored:   make(chan struct{}, 1),
		stopping:        func() bool { return ctx.Err() != nil },
	}
	i.state = NewState(i.platform, settings, i.log, i.isKeeper, func() bool { return i.keeper.Repairing() }, i.workersRelayed,
		func() int { return i.exchanger.ProcessCount() }, func() { i.rebuildPlaces() })
	i.state.onRestore = i.onStoreRestored
	i.exchanger = &neighbour.Exchanger{
		Instance: settings.Name, DataCentre: settings.DataCentre, DataCentres: settings.DataCentres,
		Listen: settings.NeighbourAddress, Started: i.started, Weight: i.weight(),
		Digest: i.digest, OnDigest: i.onDigest, OnRefuse: i.onRefuse,
		OnTimestampError: func(err error) {
			i.log.Warn("datagrams have no time of arrival", telemetry.Fields{"error": err.Error()})
		},
		OnReachabilityChange: func(instance, dataCentre string, reachable bool) {
			i.log.Info("neighbour", telemetry.Fields{"neighbour": instance, "data_centre": dataCentre, "heard": reachable})
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
		Log:         i.log,
		Metrics:     i.metrics,
		MaxAge:      settings.MaxRevocationDelay - revocationMargin,
		StaleAfter:  max(settings.MaxConfigDelay, maxReadWait+revocationMargin),
		Retries:     gateway.Retries{New: i.retryBudget},
		MemoryBytes: settings.MemoryBytes,
		Suspects:    gateway.Suspects{Log: i.log, Board: poison.Board{Instance: settings.Name, Instances: func() int { return i.exchanger.ProcessCount() }}},
	}
	i.keeper = &keeper.Keeper{
		DataCentre: settings.DataCentre, LoadWindow: settings.LoadWindow, Log: i.log, Metrics: i.metrics,
		RestInterval: i.keeperRestInterval,
		Acting:       i.isKeeper, List: i.state.Roster, Engine: i.engine,
		TakenOut:       func() bool { return i.state.TakenOut(settings.DataCentre) },
		DataCentres:    i.dataCentres,
		HeadStalled:    i.isStalled,
		HeadResponding: i.isActive,
		Serving:        i.hasClientRequests,
		Utilization: func(model string) float64 {
			service, _ := i.engine()
			return i.gateway.Places.Utilization(service, model)
		},
		Grant: func(ctx context.Context) (int64, error) {
			return i.platform.Grant(ctx, settings.DataCentre, settings.Name)
		},
		NewestGrant: func(ctx context.Context) (int64, error) { return i.platform.NewestGrant(ctx, settings.DataCentre) },
		Connect:     i.platform.Connect,
		Report:      i.platform.Report, Order: i.platform.Order, OnWorkerEnded: i.state.MarkReplaced,
	}
	i.metrics.Gauge("open_requests", "Requests in hand.", func() float64 { return float64(i.gateway.Open()) })
	i.metrics.Gauge("answer_memory_bytes", "Memory of answers that were read whole and are passed on.", func() float64 { return float64(i.gateway.AnswerBytes()) })
	i.metrics.Gauge("waiting_requests", "Requests that wait for a place.", func() float64 { return float64(i.gateway.Places.Waiting()) })
	i.metrics.Gauge("config_age_seconds", "Age of the proof that the configuration is the newest.", func() float64 {
		return i.state.View().Age().Seconds()
	})
	i.metrics.Gauge("store_era", "Era of the store in which the operator's records were last read.", func() float64 {
		end, _ := i.state.OperatorProgress()
		return float64(end.Era())
	})
	i.metrics.Gauge("counted_processes", "Processes among which this one divides the retry allowance and the rate of cold places.", func() float64 {
		return float64(i.exchanger.ProcessCount())
	})
	i.metrics.Gauge("spare_workers", "Model workers of the data centre in no group, told by its keeper.", func() float64 {
		return float64(i.keeper.SpareWorkers())
	})
	i.metrics.Gauge("limited_servers", "Backend servers whose limits on requests per second hold.", func() float64 { return float64(i.gateway.Places.Limited()) })
	i.metrics.Gauge("log_lines_dropped", "Log lines left out.", func() float64 { return float64(i.log.Dropped()) })
	return i
}

// retryBudget returns this instance's share of the retry budget of a service. A
// process that restarts doesn't know what it spent in the current window, and
// instances that are added become known to the others with a delay.
// InitialRetries and StartRatio are small enough for the deployment to stay within its
// allowance in both cases.
func (i *instance) retryBudget() *retry.Budget {
	s := i.settings
	slack := retryShare * s.RetrySlack
	return &retry.Budget{
		Ratio:          retryShare * s.RetryRatio,
		StartRatio:     (1 - retryShare) * s.RetryRatio,
		Burst:          max(slack/2, 1),
		InitialRetries: slack / 5,
		MinPerSecond:   slack / 2 / s.RetryWindow.Seconds(),
		Window:         s.RetryWindow,
		Share:          i.share,
	}
}

// share returns this instance's fraction of what all instances divide among
// themselves. It is 0 until the addresses in the store have been read, and reduced
// for another discoveryTime, in which instances that started at the same time become
// known.
func (i *instance) share() float64 {
	i.mu.Lock()
	knownAt := i.instancesKnownAt
	i.mu.Unlock()
	share := 1 / float64(i.exchanger.ProcessCount())
	switch {
	case knownAt.IsZero():
		return 0
	case time.Since(knownAt) <= discoveryTime:
		return discoveryShare * share
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

// isKeeper reports whether this instance is the keeper of its data centre.
func (i *instance) isKeeper() bool {
	return !i.stopping() && time.Since(i.started) > discoveryTime && i.exchanger.IsKeeper(i.storeUnreachable())
}

// keeperRestInterval returns how often an instance that is not the keeper checks whether
// it has become that. Where there are many, the next keeper is chosen slowly anyway.
func (i *instance) keeperRestInterval() time.Duration {
	const withRelays, otherwise = 200 * time.Millisecond, 50 * time.Millisecond
	if i.exchanger.UsesRelays() {
		return withRelays
	}
	return otherwise
}

// storeUnreachable reports whether this instance has to read the workers' entries
// from the store itself and has had no answer for storeUnreachableAfter.
func (i *instance) storeUnreachable() bool {
	_, listReadAt := i.state.Roster()
	return !i.allAnnounced() && time.Since(listReadAt) > storeUnreachableAfter
}

// engine returns the name of the service that runs the model workers, and its engine.
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

// dataCentres returns the number of data centres with workers, and counts its own in
// any case.
func (i *instance) dataCentres() int {
	seen := map[string]bool{i.settings.DataCentre: true}
	for _, s := range i.state.List().Roster().All() {
		seen[s.DataCentre] = true
	}
	return len(seen)
}

// hasClientRequests reports whether clients have sent requests. If groups were open
// when the instance started, it assumes so, since it did not receive earlier requests.
func (i *instance) hasClientRequests() bool {
	i.mu.Lock()
	groupsOpen := i.groupsOpenAtStart
	i.mu.Unlock()
	if groupsOpen || i.gateway.Served() {
		return true
	}
	return i.exchanger.AnyRecent(func(d *neighbour.Digest) bool { return d.Served })
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

// reload checks the settings file on each SIGHUP. Changes take effect at the next
// start.
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
		return errors.Newf("metrics port %d is out of range", port)
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
		return errors.Wrap(err, "metrics server failed")
	}
	return nil
}
