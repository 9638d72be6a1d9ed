package clientconn

import (
	"net"
	"net/http"
	"sync"
)

// Set holds the connections from clients that are open. The zero value is empty.
type Set struct {
	mu      sync.Mutex
	open    map[*Conn]bool
	closing bool
	none    chan struct{} // closed when all connections have been closed after CloseWhenIdle
}

// Add adds a connection that was accepted.
func (s *Set) Add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*Conn]bool{}
	}
	s.open[c] = true
	if s.closing {
		c.closeWhenIdle()
	}
}

// Remove removes a connection that was never passed to its server.
func (s *Set) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.signal()
}

// CloseWhenIdle closes each connection as soon as it is idle, also those that are added
// later. The channel that it returns is closed when none is open.
func (s *Set) CloseWhenIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.none = true, make(chan struct{})
	for c := range s.open {
		c.closeWhenIdle()
	}
	none := s.none
	s.signal()
	return none
}

// signal closes the channel if no connection is left. The mutex must be held.
func (s *Set) signal() {
	if s.none != nil && len(s.open) == 0 {
		close(s.none)
		s.none = nil
	}
}

// OnState is a function for http.Server.ConnState.
func (s *Set) OnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	c.onState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		s.Remove(c)
	}
}
