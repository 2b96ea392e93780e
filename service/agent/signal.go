package agent

import "sync"

// signal notifies any number of waiters of a change.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

// Wait returns a channel that is closed by the next Fire. To miss no change, call Wait
// before reading the state that the signal is about.
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
