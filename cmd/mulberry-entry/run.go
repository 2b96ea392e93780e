package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/api"
	"mulberryscale.example/daemon"
	"mulberryscale.example/keys"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/httpplatform"
	"mulberryscale.example/service/entry"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
)

// run serves until a signal or an operator asks the entry to stop.
func run(ctx context.Context, s *entrySettings) error {
	log, err := observe.NewLogger(observe.LogOptions{Level: *s.logLevel, Format: *s.logFormat})
	if err != nil {
		return err
	}
	counters := observe.NewCounters()
	peers, err := openPeers(s)
	if err != nil {
		return err
	}
	defer peers.close(log)
	e, err := newEntry(s, peers, log, counters)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", *s.listen)
	if err != nil {
		return trace.Wrap(err, "listen on %s", *s.listen)
	}
	server := &http.Server{
		Handler: e.Handler(), ReadHeaderTimeout: *s.headerTimeout, IdleTimeout: *s.idleTimeout,
	}
	return daemon.Run(ctx, daemon.Program{
		Name:         *s.id,
		Log:          log,
		Counters:     counters,
		AdminAddr:    *s.admin,
		AdminToken:   *s.adminToken,
		Routes:       []daemon.Route{{Pattern: "GET " + api.PathStatus, Handler: statusHandler(e)}},
		DrainTimeout: *s.unreadyDelay + *s.drainTimeout,
		Serve:        func(ctx context.Context) error { return serve(ctx, e, server, callers) },
		Drain:        func(ctx context.Context) error { return drain(ctx, e, server, *s.unreadyDelay) },
		Ready:        e.Ready,
	})
}

// peers are the entry's ends of our own transport.
type peers struct {
	listener transport.Listener
	dialer   transport.Dialer
}

func openPeers(s *entrySettings) (*peers, error) {
	source, err := keys.LoadFiles(*s.ca, *s.cert, *s.key)
	if err != nil {
		return nil, trace.Wrap(err, "keys")
	}
	listener, err := quictransport.Listen(*s.peerListen, source)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", *s.peerListen)
	}
	return &peers{listener: listener, dialer: quictransport.NewDialer(source)}, nil
}

// close tells the other processes at once that this incarnation has gone.
func (p *peers) close(log *logrus.Logger) {
	if err := errors.Join(p.listener.Close(), p.dialer.Close()); err != nil {
		log.WithError(err).Warn("connections not closed in order")
	}
}

func newEntry(s *entrySettings, p *peers, log *logrus.Logger, counters *observe.Counters) (*entry.Entry, error) {
	return entry.New(entry.Config{
		ID: *s.id, Zone: *s.zone, Listener: p.listener, Dialer: p.dialer,
		Holder: tablesync.NewHolder(), Instances: httpplatform.NewInstances(*s.instances),
		Table: httpplatform.NewTable(*s.table), Counters: counters, Log: log,
		Subset: *s.subset, Linger: *s.linger, MaxBody: *s.maxBody,
	})
}

// serve serves callers and our other processes until ctx ends.
func serve(ctx context.Context, e *entry.Entry, server *http.Server, callers net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan error, 1)
	go func() {
		err := server.Serve(callers)
		cancel()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		served <- err
	}()
	err := e.Run(ctx)
	server.Close()
	return errors.Join(err, <-served)
}

// drain shows the entry unready until the balancer has noticed, then lets the
// calls in progress end, then the connections.
func drain(ctx context.Context, e *entry.Entry, server *http.Server, unreadyDelay time.Duration) error {
	e.ShowUnready()
	select {
	case <-time.After(unreadyDelay):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := e.Drain(ctx); err != nil {
		return err
	}
	return server.Shutdown(ctx)
}

func statusHandler(e *entry.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write is the operator's broken connection.
		_ = json.NewEncoder(w).Encode(e.Status())
	})
}
