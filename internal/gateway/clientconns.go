package gateway

import "sync"

// clientConns are the connections from clients that are open.
type clientConns struct {
	mu      sync.Mutex
	open    map[*clientConn]bool
	closing bool
	none    chan struct{} // closed when all connections have been closed after closeWhenIdle
}

func (s *clientConns) add(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*clientConn]bool{}
	}
	s.open[c] = true
	if s.closing {
		c.closeWhenIdle()
	}
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.signal()
}

// closeWhenIdle closes each connection as soon as it is idle, also those that are added
// later. The channel that it returns is closed when none is open.
func (s *clientConns) closeWhenIdle() <-chan struct{} {
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
func (s *clientConns) signal() {
	if s.none != nil && len(s.open) == 0 {
		close(s.none)
		s.none = nil
	}
}
