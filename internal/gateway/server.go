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
	// defaultHeaderBytes and defaultHeaderTimeout hold before a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	// stopMargin is kept of the grace time for what comes after the last answer.
	stopMargin = 300 * time.Millisecond
	// lingerTime is how long connections are accepted after a stop began: the
	// balancer asks once a second and believes the second refusal.
	lingerTime = 2500 * time.Millisecond
	// readyTimeout bounds a question of the balancer.
	readyTimeout = time.Second
)

// Server listens for clients and for the balancer, and stops gracefully.
type Server struct {
	Gateway   *Gateway
	Requests  netip.AddrPort
	Readiness netip.AddrPort
	Ready     func() bool
	Limits    func() catalog.Limits // of the configuration in force
	GraceTime time.Duration         // from the stop to the end of the process
	Log       *telemetry.Log

	mu      sync.Mutex
	limits  catalog.Limits
	current *http.Server
	feed    *feed
	servers []*http.Server
}

// Run serves until the context ends, and then until all that is in hand has its
// answer or the grace time is over.
func (s *Server) Run(ctx context.Context) error {
	requests, err := exchange.Listen(s.Requests)
	if err != nil {
		return errors.Wrap(err, "listening for clients")
	}
	defer requests.Close()
	readiness, err := exchange.Listen(s.Readiness)
	if err != nil {
		return errors.Wrap(err, "listening for the balancer")
	}
	ready := &http.Server{Handler: s.readiness(ctx), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
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
		s.server(l.Addr(), group).give(conn)
	}
}

// server returns the listener of the server for the limits in force. A server
// for earlier limits keeps the connections that it has.
func (s *Server) server(addr net.Addr, group *errgroup.Group) *feed {
	limits := s.Limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && limits == s.limits {
		return s.feed
	}
	server := &http.Server{
		Handler:           s.Gateway,
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          nil,
	}
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	s.limits, s.current = limits, server
	s.feed = &feed{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	s.servers = append(s.servers, server)
	listener := s.feed
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	return s.feed
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

func (f *feed) give(conn net.Conn) {
	select {
	case f.conns <- conn:
	case <-f.closed:
		conn.Close()
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
