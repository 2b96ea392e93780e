package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"
)

// callersServer serves the callers' HTTP API on one listener.
type callersServer struct {
	http     *http.Server
	listener net.Listener
	log      logrus.FieldLogger

	mu sync.Mutex
	// busy holds the connections with a call that was read and whose response
	// is not fully written.
	busy map[net.Conn]struct{}
}

func newCallersServer(server *http.Server, listener net.Listener, log logrus.FieldLogger) *callersServer {
	s := &callersServer{http: server, listener: listener, log: log, busy: map[net.Conn]struct{}{}}
	server.ConnState = s.trackState
	return s
}

// trackState is the server's ConnState hook; it keeps busy up to date.
func (s *callersServer) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateActive {
		s.busy[c] = struct{}{}
		return
	}
	delete(s.busy, c)
}

// serve serves callers until run, which does the rest of the entry's work, has
// returned, and then closes all connections. It cancels run's context when ctx is
// done or serving fails, but not on a shutdown, which still writes responses
// after the listener has closed. The error joins those of run and of serving.
func (s *callersServer) serve(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan error, 1)
	go func() {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			served <- nil
			return
		}
		cancel()
		served <- err
	}()
	err := run(ctx)
	s.close()
	return errors.Join(err, <-served)
}

// close closes all connections, including those with unanswered calls.
func (s *callersServer) close() {
	s.mu.Lock()
	interrupted := len(s.busy)
	s.mu.Unlock()
	if interrupted > 0 {
		s.log.WithField("connections", interrupted).Warn("connections closed before their answers were written")
	}
	if err := s.http.Close(); err != nil {
		s.log.WithError(err).Debug("callers' listener closed")
	}
}

// shutdown stops accepting connections and returns once the responses of all
// calls in progress are written, or with the error of ctx when it is done.
func (s *callersServer) shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
