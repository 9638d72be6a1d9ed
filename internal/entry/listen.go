package entry

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/clientconn"
	"github.com/chicorystall/chicorystall/internal/peer"
)

// headerReadFactor is the ratio of the bytes that net/http reads of a header to the
// limit. Most headers that exceed the limit thus get a refusal in the same form as
// all others.
const headerReadFactor = 2

// bodyDrainTimeout is how long net/http may read the rest of an unread body. It does
// so before it sends the answer.
const bodyDrainTimeout = 500 * time.Millisecond

// listenAddresses holds the addresses on which the listeners accept connections.
type listenAddresses struct {
	Callers   string
	Peers     string
	Operators string
}

// listeners holds the open listeners of an entry instance.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener

	callersServer *http.Server
	callersConns  clientconn.Set
}

// listen opens all listeners. If one fails, it closes the others.
func (s *Server) listen() (*listeners, error) {
	l := &listeners{}
	for _, item := range []struct {
		into    *net.Listener
		address string
		tls     *tls.Config
	}{
		{&l.callers, s.settings.CallersAddress, s.callersCertificate.serverTLS(false)},
		{&l.peers, s.settings.PeersAddress, s.peersCertificate.serverTLS(true)},
		{&l.operators, s.settings.OperatorsAddress, nil},
	} {
		listener, err := net.Listen("tcp", item.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on %s", item.address)
		}
		if item.into == &l.callers {
			listener = callersListener{listener, &l.callersConns}
		}
		if item.tls != nil {
			listener = tls.NewListener(listener, item.tls)
		}
		*item.into = listener
	}
	s.addresses = listenAddresses{
		Callers:   l.callers.Addr().String(),
		Peers:     l.peers.Addr().String(),
		Operators: l.operators.Addr().String(),
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// callersListener notes the connections that it accepts.
type callersListener struct {
	net.Listener
	conns *clientconn.Set
}

func (l callersListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientconn.Conn{Conn: conn}
	l.conns.Add(c)
	return c, nil
}

// stopCallers accepts no new connections of callers and closes existing ones after
// their current request, so that callers connect to another entry instance. The channel
// that it returns is closed when all are closed.
func (l *listeners) stopCallers() <-chan struct{} {
	_ = l.callers.Close()
	return l.callersConns.CloseWhenIdle()
}

// closeCallers closes all connections of callers.
func (l *listeners) closeCallers() { _ = l.callersServer.Close() }

// startServers starts the servers for callers, other entry instances and operators.
func (s *Server) startServers(ctx context.Context, group *errgroup.Group, l *listeners) {
	l.callersServer = s.httpServer(s.callersHandler())
	l.callersServer.ConnState, l.callersServer.ConnContext = l.callersConns.OnState, clientconn.Context
	operators := s.httpServer(s.operatorsHandler())
	peers := peer.Server{Handler: peer.Handler{
		Hello:    s.members.HandleHello,
		Exchange: s.members.HandleExchange,
		Forward:  s.handleForward,
		Limits: func(ctx context.Context, _ string, message []byte) ([]byte, error) {
			return s.book.Handle(ctx, message)
		},
		FetchState: s.fetchState,
		AskClaim:   s.handleAskClaim,
	}}
	group.Go(func() error { return serveHTTP(ctx, l.callersServer, l.callers) })
	group.Go(func() error { return serveHTTP(ctx, operators, l.operators) })
	group.Go(func() error { return peers.Serve(ctx, l.peers) })
}

func (s *Server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           limitBodyDrain(handler),
		ReadHeaderTimeout: s.settings.Limits.HeaderTimeout,
		MaxHeaderBytes:    headerReadFactor * s.settings.Limits.MaxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// limitBodyDrain limits the time that net/http spends on a body that the handler did
// not read, since that delays the answer.
func limitBodyDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// An error can be ignored: it means that the connection is closed.
			defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyDrainTimeout)) }()
		}
		next.ServeHTTP(w, r)
	})
}

// serveHTTP serves requests until ctx ends or the server is closed.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", listener.Addr())
}
