package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/clientconn"
	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

const (
	// shutdownMargin is the part of the grace time that is reserved for the steps
	// after the last answer, and refusalMargin the part before it that is reserved for
	// refusing the requests that are still in progress.
	shutdownMargin = 300 * time.Millisecond
	refusalMargin  = 200 * time.Millisecond
	// acceptAfterStop is how long connections are accepted after a stop began. The
	// load balancer probes once a second and removes an instance after the second
	// failed probe.
	acceptAfterStop = 2500 * time.Millisecond
	// limitsInterval is how often the limits in force are compared with those of the
	// connections.
	limitsInterval = 250 * time.Millisecond
	// readinessTimeout bounds the reading and the answering of a readiness probe.
	readinessTimeout = time.Second
	// maxReadinessHeaderBytes bounds the head of a readiness probe, which has some
	// hundred bytes.
	maxReadinessHeaderBytes = 4 << 10
)

// Server listens for client requests and for readiness probes of the load balancer,
// and shuts down gracefully.
type Server struct {
	Gateway          *Gateway
	ClientAddress    netip.AddrPort        // address that clients connect to
	ReadinessAddress netip.AddrPort        // address that the load balancer probes
	Ready            func() bool           // result of a readiness probe
	Limits           func() catalog.Limits // of the configuration in force
	GraceTime        time.Duration         // from the start of the shutdown to the end of the process
	MemoryBytes      int64                 // bytes that the process may take; 0 means defaultMemoryBytes
	Log              *telemetry.Log

	mu             sync.Mutex
	limiter        *memoryLimiter
	lastRefusedLog time.Time     // when a refused connection was last logged
	generations    []*generation // the last one gets new connections
}

// generation is a server with the limits that were in force for a time, and the
// connections that it got then.
type generation struct {
	limits   catalog.Limits
	server   *http.Server
	listener *connListener
	conns    clientconn.Set
}

// Run serves until the context ends, and then until all requests in progress are
// answered or the grace time is over.
func (s *Server) Run(ctx context.Context) error {
	requests, err := exchange.Listen(s.ClientAddress)
	if err != nil {
		return errors.Wrap(err, "listening for clients")
	}
	defer requests.Close()
	readiness, err := exchange.Listen(s.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listening for the load balancer")
	}
	ready := &http.Server{
		Handler: s.readinessHandler(ctx), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout, MaxHeaderBytes: maxReadinessHeaderBytes,
	}
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(ready.Serve(readiness)) })
	group.Go(func() error {
		s.followLimits(ctx, requests.Addr(), &group)
		return nil
	})
	accepted := make(chan struct{})
	group.Go(func() error {
		defer close(accepted)
		return s.accept(requests, &group)
	})
	<-ctx.Done()
	stopStart := time.Now()
	acceptUntil, end := stopStart.Add(min(acceptAfterStop, s.GraceTime/2)), stopStart.Add(s.GraceTime-shutdownMargin)
	s.Gateway.Stop(acceptUntil, end.Add(-refusalMargin))
	s.Log.Info("stopping", telemetry.Fields{"open": s.Gateway.Open()})
	time.Sleep(time.Until(acceptUntil))
	requests.Close()
	<-accepted
	shutdownCtx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	s.shutdown(shutdownCtx)
	ready.Close()
	s.Log.Info("stopped", telemetry.Fields{"open": s.Gateway.Open(), "ms": time.Since(stopStart).Milliseconds()})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) readinessHandler(ctx context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ctx.Err() != nil || !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// accept passes each connection to a server with the limits in force.
func (s *Server) accept(l net.Listener, group *errgroup.Group) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Warn("accept failed", telemetry.Fields{"error": err.Error()})
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.passConn(conn, l.Addr(), group)
	}
}

// passConn passes a connection to the server for the limits in force. If no memory
// is left for it, the connection is closed unread so that its client can connect to
// another instance.
func (s *Server) passConn(conn net.Conn, addr net.Addr, group *errgroup.Group) {
	g := s.generationInForce(addr, group)
	if !s.limiter.acquireConn(g.limits.HeaderBytes) {
		s.refuseConn(conn)
		return
	}
	client := &clientconn.Conn{Conn: conn, OnLoss: s.noteLoss}
	g.conns.Add(client)
	if !g.listener.deliver(client) {
		g.conns.Remove(client)
		s.limiter.releaseConn()
	}
}

// generationInForce returns the generation with the limits in force. If they have changed
// it starts a new one, since an http.Server can't change its limits. Earlier ones keep
// their connections, unless the new limits allow longer heads: these are refused on the
// earlier connections, so that they are closed when they are idle.
func (s *Server) generationInForce(addr net.Addr, group *errgroup.Group) *generation {
	limits := effectiveLimits(s.Limits())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = &memoryLimiter{next: s.Gateway, limits: s.Limits, refuse: s.refuseBody, processBytes: s.MemoryBytes}
	}
	if n := len(s.generations); n > 0 && s.generations[n-1].limits == limits {
		return s.generations[n-1]
	}
	g := &generation{limits: limits, listener: &connListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}}
	g.server = &http.Server{
		Handler:           s.limiter,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnContext:       clientconn.Context,
		ConnState: func(conn net.Conn, state http.ConnState) {
			g.conns.OnState(conn, state)
			s.limiter.onState(conn, state)
		},
	}
	for _, earlier := range s.generations {
		if earlier.limits.HeaderBytes < limits.HeaderBytes {
			earlier.conns.CloseWhenIdle()
		}
	}
	s.generations = append(s.generations, g)
	group.Go(func() error { return ignoreClosed(g.server.Serve(g.listener)) })
	return g
}

// followLimits starts a new generation when the limits change, also while no connections
// arrive, until the context ends.
func (s *Server) followLimits(ctx context.Context, addr net.Addr, group *errgroup.Group) {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		isServing := len(s.generations) > 0
		s.mu.Unlock()
		if isServing {
			s.generationInForce(addr, group)
		}
	}
}

// noteLoss logs and counts a request whose connection ended without a whole answer.
func (s *Server) noteLoss(l clientconn.Loss, fields telemetry.Fields) {
	s.Gateway.Metrics.LostAnswers.WithLabelValues(l.String()).Inc()
	s.Log.Info("no whole answer", fields)
}

// shutdown waits until all connections have ended, and closes at the end of the context
// what is left. http.Server.Shutdown isn't used, since it closes connections on which a
// part of a request was read, and drops requests that it reads later.
func (s *Server) shutdown(ctx context.Context) {
	s.mu.Lock()
	generations := s.generations
	s.mu.Unlock()
	var idle []<-chan struct{}
	for _, g := range generations {
		idle = append(idle, g.conns.CloseWhenIdle())
	}
	for _, done := range idle {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		s.Log.Warn("cut what was left", telemetry.Fields{"open": s.Gateway.Open(), "error": ctx.Err().Error()})
	}
	for _, g := range generations {
		if err := g.server.Close(); err != nil {
			s.Log.Warn("closing failed", telemetry.Fields{"error": err.Error()})
		}
	}
}

// connListener is a net.Listener that accepts the connections passed to deliver.
type connListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// deliver passes a connection to Accept. If the listener is closed, it closes the
// connection and returns false.
func (l *connListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		conn.Close()
		return false
	}
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *connListener) Addr() net.Addr { return l.addr }
