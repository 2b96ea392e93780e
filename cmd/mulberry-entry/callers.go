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
	// busy are the connections whose call has been read and whose answer is not
	// written out.
	busy map[net.Conn]struct{}
}

func newCallersServer(server *http.Server, listener net.Listener, log logrus.FieldLogger) *callersServer {
	s := &callersServer{http: server, listener: listener, log: log, busy: map[net.Conn]struct{}{}}
	server.ConnState = s.noteState
	return s
}

// noteState is the server's hook for the states of its connections.
func (s *callersServer) noteState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateActive {
		s.busy[c] = struct{}{}
		return
	}
	delete(s.busy, c)
}

// serve serves callers while run, which does the rest of the entry's work, goes
// on, and closes all connections once run has returned. It ends run's context
// when ctx ends or callers can no longer be served, but not at a shutdown, which
// is still writing answers when the listener has closed.
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

// close closes all connections, also those whose calls are not answered.
func (s *callersServer) close() {
	s.mu.Lock()
	cut := len(s.busy)
	s.mu.Unlock()
	if cut > 0 {
		s.log.WithField("connections", cut).Warn("connections closed before their answers were written")
	}
	if err := s.http.Close(); err != nil {
		s.log.WithError(err).Debug("callers' listener closed")
	}
}

// shutdown stops accepting connections and returns once the answers of all
// calls in progress are written, or ctx has ended.
func (s *callersServer) shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
