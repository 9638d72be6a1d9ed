package replica

import "sync"

// Signal wakes all who wait for a change. The zero value is ready.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// Notified returns a channel that is closed at the next Notify. Take it before
// looking at the state that may change.
func (s *Signal) Notified() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Notify wakes all who wait.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
