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

// Server is one entry instance.
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
	book      *capacity.Book
	pool      *backend.Pool
	watcher   *backend.Watcher
	control   *control.Controller
	claimant  *claim.Claimant
	retries   *retry.Policy
	memory    *stream.Memory
	waiting   *waitingRoom
	views     viewCache
	sent      sentCounters
	open      openRequests
	fleet     fleetList
	check     group.Check
	drain     drainState
	work      context.Context // ends when nothing is left to do
	counters  *counters

	callersCertificate certificateFiles
	peersCertificate   certificateFiles
	addresses          listenAddresses
}

// New returns an entry instance that does not run yet.
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
	s.newLoad()
	s.newClaimant()
	return s
}

// newReplicas sets up what is followed from the log.
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

// newLoad sets up what limits and places work.
func (s *Server) newLoad() {
	self := limit.Member{Name: s.process.Name, Boot: s.process.BootID}
	s.book = capacity.NewBook(self, s.callLimits)
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
		OnObservation: s.observed,
	})
	s.control = &control.Controller{
		Self:      s.process,
		Placement: s.placement,
		Pool:      s.pool,
		Input:     s.controlInput,
		Alive:     s.aliveNames,
		Log:       s.log,
	}
	s.waiting = newWaitingRoom(s.settings.Limits, s.book)
}

// newClaimant sets up the claims of non-idempotent requests.
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

// Run serves until ctx ends, then stops gracefully: it takes no new work and
// returns when all that is in hand has ended, or the shutdown deadline passed.
func (s *Server) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	s.work = work
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
	s.tellEnded()
	s.peers.Close()
	s.pool.Close()
	s.platform.Close()
	if left := s.drain.left.Load(); err == nil && left > 0 {
		return &CutError{Requests: left}
	}
	return err
}

// startLoops starts everything that runs beside the listeners.
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
		s.publishOpen,
		s.waiting.run,
		func(ctx context.Context) error { return s.book.Run(ctx, s.settings.Heartbeat.Peers) },
		func(ctx context.Context) error { return untilDone(ctx, s.claimant.Run) },
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
}

// untilDone hides the error with which a loop reports the end of its context.
func untilDone(ctx context.Context, run func(context.Context) error) error {
	err := run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// drainState counts the work in hand and ends it on shutdown.
type drainState struct {
	mu       sync.Mutex
	draining bool
	inHand   int
	left     atomic.Int64 // requests that a shutdown cut
	idle     chan struct{}
	cut      context.Context
	cutAll   context.CancelCauseFunc
}
