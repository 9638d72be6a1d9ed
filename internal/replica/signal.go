package replica

import "sync"

// Signal notifies all waiting goroutines of a change. The zero value is ready to use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// Notified returns a channel that is closed by the next Notify. Call it before reading the
// state that may change, since a Notify in between would be missed otherwise.
func (s *Signal) Notified() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Notify closes the channels that Wait has returned.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
