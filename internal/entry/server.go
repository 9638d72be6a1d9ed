package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/backend"
	"github.com/chicorystall/chicorystall/internal/capacity"
	"github.com/chicorystall/chicorystall/internal/control"
	"github.com/chicorystall/chicorystall/internal/membership"
	"github.com/chicorystall/chicorystall/internal/peer"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/internal/replica"
	"github.com/chicorystall/chicorystall/pkg/claim"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/placement"
	"github.com/chicorystall/chicorystall/pkg/retry"
	"github.com/chicorystall/chicorystall/pkg/stream"
)

// Server is an entry instance.
type Server struct {
	settings Settings
	log      *logrus.Logger
	process  placement.Process
	self     *peerpb.Instance

	platform  *platform.Client
	config    *replica.Config
	placement *replica.Placement
	peers     *peer.Client
	members   *membership.Service
	book      *capacity.Limiter
	pool      *backend.Pool
	watcher   *backend.Watcher
	control   *control.Controller
	claimant  *claim.Claimant
	retries   *retry.Policy
	memory    *stream.Memory
	queues    *requestQueues
	routing   routingCache
	sent      sentCounters
	open      openRequests
	fleet     fleetState
	check     group.Check
	drain     drainState
	workCtx   context.Context // ends after a graceful shutdown
	counters  *counters

	callersCertificate certificateFiles
	peersCertificate   certificateFiles
	addresses          listenAddresses
}

// New returns an entry instance. Run starts it.
func New(settings Settings, logger *logrus.Logger) *Server {
	s := &Server{
		settings: settings,
		log:      logger,
		process:  placement.Process{Name: settings.Name, BootID: uuid.NewString()},
		platform: platform.New(settings.PlatformAddress),
		counters: newCounters(),
		memory: &stream.Memory{
			TotalBytes:  settings.Limits.AllStreamsBytes,
			StreamBytes: settings.Limits.StreamBytes,
		},
		retries:            &retry.Policy{Budgets: &retry.Budgets{}},
		callersCertificate: certificateFiles{TLSFiles: settings.CallersTLS},
		peersCertificate:   certificateFiles{TLSFiles: settings.PeersTLS},
	}
	s.self = &peerpb.Instance{
		Name:       settings.Name,
		DataCentre: settings.DataCentre,
		Address:    settings.PeersAddress,
		Boot:       uint64(time.Now().UnixNano()),
		BootId:     s.process.BootID,
	}
	s.peers = &peer.Client{Sender: settings.Name, TLS: s.peersCertificate.clientTLS()}
	s.pool = &backend.Pool{
		IdleTimeout:    settings.Limits.BackendIdleTimeout,
		MaxAnswerBytes: settings.Limits.MaxBodyBytes,
	}
	s.members = membership.New(membership.Options{
		Self:     s.self,
		Seeds:    settings.Peers,
		Client:   s.peers,
		Interval: settings.Heartbeat.Peers,
		Report:   s.instanceReport,
	})
	s.newReplicas()
	s.newLoadControl()
	s.newClaimant()
	return s
}

// newReplicas creates the replicas of the configuration and the placement, which
// follow the log.
func (s *Server) newReplicas() {
	options := replica.Options{
		Log:             s.platform.Log(),
		Writer:          s.settings.Name,
		PeerState:       s.peerState,
		Retention:       s.settings.LogRetention,
		WritesSnapshots: s.writesSnapshots,
	}
	s.config = replica.NewConfig(options)
	s.config.OnVerdict = s.logConfigVerdict
	s.placement = replica.NewPlacement(s.settings.DataCentre, options)
	s.placement.OnVerdict = s.logPlacementVerdict
}

// newLoadControl creates what limits, observes and queues the work of the backend
// servers.
func (s *Server) newLoadControl() {
	self := limit.Member{Name: s.process.Name, Boot: s.process.BootID}
	s.book = capacity.NewLimiter(self, s.callLimits)
	s.watcher = backend.NewWatcher(backend.Options{
		Self:      s.settings.Name,
		Interval:  s.settings.Heartbeat.Backends,
		Pool:      s.pool,
		Servers:   s.ownModelWorkers,
		Rank:      s.observerRank,
		Placement: func() placementOffset { return s.placement.State().Offset() },
		OrderUncertain: func(server string) bool {
			_, quarantined := s.placement.State().Quarantine(server)
			return quarantined
		},
		Publish:       s.members.SetItem,
		Members:       s.members.Alive,
		OnObservation: s.recordObservation,
	})
	s.control = &control.Controller{
		Self:      s.process,
		Placement: s.placement,
		Pool:      s.pool,
		Input:     s.controlInput,
		Alive:     s.aliveNames,
		Log:       s.log,
	}
	s.queues = newRequestQueues(s.settings.Limits, s.book)
}

// newClaimant creates the claimant, which makes sure that non-idempotent requests
// run at most once.
func (s *Server) newClaimant() {
	s.claimant = &claim.Claimant{
		ID:             claim.ClaimantID(s.settings.Name + "/" + s.process.BootID),
		Log:            s.platform.Log(),
		AskClaimant:    s.askClaimant,
		MaxAnswerBytes: maxStoredAnswersBytes,
		Retention:      s.settings.LogRetention,
		Window:         s.settings.KeyWindow,
	}
}

// Run serves until ctx ends, then shuts down gracefully: it accepts no new requests
// and returns when all active requests have ended or the shutdown deadline has
// passed.
func (s *Server) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	s.workCtx = work
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	group, work := errgroup.WithContext(work)
	s.startLoops(work, group)
	s.startServers(work, group, listeners)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.shutDown(work, listeners)
			stopWork()
		case <-work.Done():
		}
		return nil
	})
	err = group.Wait()
	s.reportEnded()
	s.peers.Close()
	s.pool.Close()
	s.platform.Close()
	if cut := s.drain.cutRequests.Load(); err == nil && cut > 0 {
		return &CutError{Requests: cut}
	}
	return err
}

// startLoops starts all background tasks except the listeners.
func (s *Server) startLoops(ctx context.Context, group *errgroup.Group) {
	loops := []func(context.Context) error{
		s.config.Run,
		s.placement.Run,
		s.members.Run,
		s.watcher.Run,
		s.control.Run,
		s.followTable,
		s.followConfig,
		s.followPlatform,
		s.publishOpenRequests,
		s.queues.run,
		func(ctx context.Context) error { return s.book.Run(ctx, s.settings.Heartbeat.Peers) },
		func(ctx context.Context) error { return ignoreContextEnd(ctx, s.claimant.Run) },
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
}

// ignoreContextEnd runs a task and drops the error that it returns when ctx ends.
func ignoreContextEnd(ctx context.Context, run func(context.Context) error) error {
	err := run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// drainState counts the active requests and cancels them when a shutdown has to end.
type drainState struct {
	mu          sync.Mutex
	draining    bool
	active      int
	cutRequests atomic.Int64    // requests cut at the shutdown deadline
	idle        chan struct{}   // closed when no request is active; nil unless awaited
	cutCtx      context.Context // ends when a shutdown cuts the active requests
	cancelAll   context.CancelCauseFunc
}
