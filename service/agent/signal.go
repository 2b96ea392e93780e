package agent

import "sync"

// signal tells any number of waiters that something changed.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

// Wait returns a channel that is closed at the next Fire. Take it before
// looking at what it tells of, so as to miss nothing.
func (s *signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Fire wakes all waiters.
func (s *signal) Fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
