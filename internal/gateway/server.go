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

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

const (
	// stopMargin is kept of the grace time for what comes after the last answer.
	stopMargin = 300 * time.Millisecond
	// lingerTime is how long connections are accepted after a stop began: the
	// balancer asks once a second and believes the second refusal.
	lingerTime = 2500 * time.Millisecond
	// readyTimeout bounds a question of the balancer.
	readyTimeout = time.Second
	// readyHeaderBytes bounds its head, which has some hundred bytes.
	readyHeaderBytes = 4 << 10
)

// Server listens for clients and for the balancer, and stops gracefully.
type Server struct {
	Gateway          *Gateway
	ClientAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
	Ready            func() bool
	Limits           func() catalog.Limits // of the configuration in force
	GraceTime        time.Duration         // from the stop to the end of the process
	MemoryBytes      int64                 // bytes that the process may take; 0 means a usual figure
	Log              *telemetry.Log

	mu        sync.Mutex
	intake    *intake
	refusedAt time.Time // when a refused connection was last logged
	limits    catalog.Limits
	current   *http.Server
	feed      *feed
	servers   []*http.Server
}

// Run serves until the context ends, and then until all that is in hand has its
// answer or the grace time is over.
func (s *Server) Run(ctx context.Context) error {
	requests, err := exchange.Listen(s.ClientAddress)
	if err != nil {
		return errors.Wrap(err, "listening for clients")
	}
	defer requests.Close()
	readiness, err := exchange.Listen(s.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listening for the balancer")
	}
	ready := &http.Server{
		Handler: s.readiness(ctx), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, MaxHeaderBytes: readyHeaderBytes,
	}
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(ready.Serve(readiness)) })
	group.Go(func() error { return s.accept(requests, &group) })
	<-ctx.Done()
	began := time.Now()
	s.Gateway.Stop()
	s.Log.Info("stopping", telemetry.Fields{"open": s.Gateway.Open()})
	time.Sleep(min(lingerTime, s.GraceTime/2))
	requests.Close()
	left, cancel := context.WithDeadline(context.Background(), began.Add(s.GraceTime-stopMargin))
	defer cancel()
	s.shutdown(left)
	ready.Close()
	s.Log.Info("stopped", telemetry.Fields{"open": s.Gateway.Open(), "ms": time.Since(began).Milliseconds()})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) readiness(ctx context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ctx.Err() != nil || !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// accept hands each connection to a server with the limits in force.
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
		s.hand(conn, l.Addr(), group)
	}
}

// hand gives a connection to the server for the limits in force. One that does
// not fit into memory is closed unread, so that its client may go elsewhere.
func (s *Server) hand(conn net.Conn, addr net.Addr, group *errgroup.Group) {
	server, limits := s.server(addr, group)
	if !s.intake.takeConn(limits.HeaderBytes) {
		s.refuseConn(conn)
		return
	}
	if !server.give(conn) {
		s.intake.giveConn()
	}
}

// server returns the listener of the server for the limits in force, and these.
// A server for earlier limits keeps the connections that it has.
func (s *Server) server(addr net.Addr, group *errgroup.Group) (*feed, catalog.Limits) {
	limits := bounded(s.Limits())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.intake == nil {
		s.intake = &intake{next: s.Gateway, limits: s.Limits, refuse: s.refuseBody, memory: s.MemoryBytes}
	}
	if s.current != nil && limits == s.limits {
		return s.feed, limits
	}
	server := &http.Server{
		Handler:           s.intake,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnState:         s.intake.onState,
	}
	s.limits, s.current = limits, server
	s.feed = &feed{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	s.servers = append(s.servers, server)
	listener := s.feed
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	return s.feed, limits
}

func (s *Server) shutdown(ctx context.Context) {
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			if err := server.Shutdown(ctx); err != nil {
				s.Log.Warn("cut what was left", telemetry.Fields{"open": s.Gateway.Open(), "error": err.Error()})
				return server.Close()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		s.Log.Warn("closing failed", telemetry.Fields{"error": err.Error()})
	}
}

// feed is a listener that is given its connections.
type feed struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// give hands a connection over, or closes it and returns false.
func (f *feed) give(conn net.Conn) bool {
	select {
	case f.conns <- conn:
		return true
	case <-f.closed:
		conn.Close()
		return false
	}
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

func (f *feed) Addr() net.Addr { return f.addr }
