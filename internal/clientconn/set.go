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
	waiting []chan struct{} // of calls of CloseWhenIdle, closed when no connection is open
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
	s.closing = true
	none := make(chan struct{})
	s.waiting = append(s.waiting, none)
	for c := range s.open {
		c.closeWhenIdle()
	}
	s.signal()
	return none
}

// signal closes the channels if no connection is left. The mutex must be held.
func (s *Set) signal() {
	if len(s.open) > 0 {
		return
	}
	for _, none := range s.waiting {
		close(none)
	}
	s.waiting = nil
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
