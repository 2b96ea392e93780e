package main

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/daemon"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/keys"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/httpplatform"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
)

// run serves until a signal or a peer asks the agent to stop.
func run(ctx context.Context, s *agentSettings) error {
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
	a, err := newAgent(s, peers, log, counters)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-a.DrainRequested():
			stop()
		case <-ctx.Done():
		}
	}()
	return daemon.Run(ctx, daemon.Program{
		Name:         *s.id,
		Log:          log,
		Counters:     counters,
		AdminAddr:    *s.admin,
		AdminToken:   *s.adminToken,
		DrainTimeout: *s.drainTimeout,
		Serve:        a.Run,
		Drain:        a.Drain,
		Ready:        func() bool { return a.Report().Healthy },
	})
}

// peers are the agent's ends of our own transport.
type peers struct {
	listener transport.Listener
	dialer   transport.Dialer
}

func openPeers(s *agentSettings) (*peers, error) {
	source, err := keys.LoadFiles(*s.ca, *s.cert, *s.key)
	if err != nil {
		return nil, trace.Wrap(err, "keys")
	}
	listener, err := quictransport.Listen(*s.listen, source)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", *s.listen)
	}
	return &peers{listener: listener, dialer: quictransport.NewDialer(source)}, nil
}

// close lets the last answers reach the entries and tells them at once that
// this incarnation has gone.
func (p *peers) close(log *logrus.Logger) {
	if err := errors.Join(p.listener.Close(), p.dialer.Close()); err != nil {
		log.WithError(err).Warn("connections not closed in order")
	}
}

func newAgent(s *agentSettings, p *peers, log *logrus.Logger, counters *observe.Counters) (*agent.Agent, error) {
	cfg := agent.Config{
		ID:                 *s.id,
		Zone:               *s.zone,
		Listener:           p.listener,
		Dialer:             p.dialer,
		Services:           *s.services,
		Models:             *s.models,
		Logger:             log,
		Counters:           counters,
		InteractiveReserve: *s.reserve,
		MaxQueue:           *s.maxQueue,
		ServiceConcurrency: *s.serviceConcurrency,
		MaxResultBytes:     int(*s.maxResults),
		TargetInterval:     *s.targetInterval,
		LoadTimeout:        *s.loadTimeout,
		SwapWindow:         *s.swapWindow,
	}
	if *s.reserve == 0 {
		cfg.InteractiveReserve = agent.NoReserve
	}
	connect(s, &cfg)
	return agent.New(cfg)
}

// connect names the endpoint and the platform's services.
func connect(s *agentSettings, cfg *agent.Config) {
	if *s.instances != "" {
		cfg.Instances = httpplatform.NewInstances(*s.instances)
	}
	if *s.service != "" {
		cfg.Service = httpendpoint.NewService(*s.service)
		return
	}
	cfg.Engine = httpendpoint.NewEngine(*s.engine)
	if *s.weights != "" {
		store := httpplatform.NewWeights(*s.weights)
		cfg.Targets, cfg.Weights = store, store
		cfg.Fencer = agent.NewTableFencer(httpplatform.NewTable(*s.table), *s.id)
	}
}
