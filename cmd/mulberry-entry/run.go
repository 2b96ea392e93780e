package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/daemon"
	"mulberryscale.example/daemon/process"
	"mulberryscale.example/platform/httpplatform"
	"mulberryscale.example/service/entry"
	"mulberryscale.example/tablesync"
)

// run serves until a signal arrives or an operator requests a drain.
func run(ctx context.Context, s *entrySettings) error {
	p, err := s.Open(*s.peerListen)
	if err != nil {
		return err
	}
	defer p.Close()
	e, err := newEntry(s, p)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", *s.listen)
	if err != nil {
		return trace.Wrap(err, "listen on %s", *s.listen)
	}
	server := newCallersServer(&http.Server{
		Handler: e.Handler(), ReadHeaderTimeout: *s.headerTimeout, IdleTimeout: *s.idleTimeout,
	}, callers, p.Log)
	program := s.Program(p)
	program.Routes = []daemon.Route{{Pattern: "GET " + api.PathStatus, Handler: statusHandler(e)}}
	program.DrainTimeout += *s.unreadyDelay
	program.Serve = func(ctx context.Context) error { return server.serve(ctx, e.Run) }
	program.Drain = func(ctx context.Context) error { return drain(ctx, e, server, *s.unreadyDelay) }
	program.Ready = e.Ready
	return daemon.Run(ctx, program)
}

func newEntry(s *entrySettings, p *process.Process) (*entry.Entry, error) {
	return entry.New(entry.Config{
		ID: *s.ID, Zone: *s.Zone, Listener: p.Listener, Dialer: p.Dialer,
		Holder: tablesync.NewHolder(), Instances: httpplatform.NewInstances(*s.instances),
		Table: httpplatform.NewTable(*s.table), Counters: p.Counters, Log: p.Log,
		Subset: *s.subset, Retention: *s.retention, MaxBody: *s.maxBody,
	})
}

// drain reports the entry unready for unreadyDelay, so that the load balancer
// notices, then waits for the calls in progress and shuts the server down.
func drain(ctx context.Context, e *entry.Entry, server *callersServer, unreadyDelay time.Duration) error {
	e.ShowUnready()
	select {
	case <-time.After(unreadyDelay):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := e.Drain(ctx); err != nil {
		return err
	}
	return server.shutdown(ctx)
}

func statusHandler(e *entry.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the operator's connection broke.
		_ = json.NewEncoder(w).Encode(e.Status())
	})
}
