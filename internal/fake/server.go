package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// rebindTimeout bounds how long Up tries to get the address back.
const rebindTimeout = 5 * time.Second

// Server serves a handler at one TCP address. It can be taken down, so that
// connections are refused, and up again at the same address.
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
	s.serve(listener)
	context.AfterFunc(ctx, s.Close)
	return s, nil
}

// Address returns the IP:port that the server listens at.
func (s *Server) Address() string { return s.address }

// Down closes the listener and cuts every connection.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down()
}

// Up listens at the same address again. It does nothing when the server is up.
func (s *Server) Up() error {
	deadline := time.Now().Add(rebindTimeout)
	for {
		done, err := s.tryUp()
		if done {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "listen at %s again", s.address)
		}
		time.Sleep(time.Millisecond)
	}
}

// Close takes the server down for good.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.down()
}

func (s *Server) tryUp() (done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.http != nil {
		return true, nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return false, err
	}
	s.serve(listener)
	return true, nil
}

func (s *Server) serve(listener net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.http = server
	go server.Serve(listener)
}

func (s *Server) down() {
	if s.http != nil {
		s.http.Close()
		s.http = nil
	}
}
