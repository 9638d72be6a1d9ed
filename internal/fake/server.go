package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// rebindTimeout is how long Up retries to listen at the address, which another
// socket may use for a moment.
const rebindTimeout = 5 * time.Second

// Server serves a handler at one TCP address. It can be stopped, so that
// connections are refused, and started again at the same address.
type Server struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	http   *http.Server
	closed bool
}

// Listen serves the handler at the address until the context ends. Port 0
// picks a free port.
func Listen(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{address: listener.Addr().String(), handler: handler}
	s.startServing(listener)
	context.AfterFunc(ctx, s.Close)
	return s, nil
}

// Address returns the IP:port at which the server listens.
func (s *Server) Address() string { return s.address }

// Down closes the listener and every connection. Up undoes it.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// Up listens at the same address again. It does nothing if the server is already
// listening or has been closed.
func (s *Server) Up() error {
	deadline := time.Now().Add(rebindTimeout)
	for {
		done, err := s.tryListen()
		if done {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "resume listening at %s", s.address)
		}
		time.Sleep(time.Millisecond)
	}
}

// Close stops the server permanently.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.stop()
}

// tryListen makes one attempt to listen again. It returns true if the server listens
// or has been closed.
func (s *Server) tryListen() (done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.http != nil {
		return true, nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return false, err
	}
	s.startServing(listener)
	return true, nil
}

func (s *Server) startServing(listener net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.http = server
	go server.Serve(listener)
}

func (s *Server) stop() {
	if s.http != nil {
		s.http.Close()
		s.http = nil
	}
}
