package main

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/daemon"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/keys"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/httpplatform"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/transport/quictransport"
)

// run serves until a signal or a peer asks the agent to stop.
func run(ctx context.Context, s *agentSettings) error {
	log, err := observe.NewLogger(observe.LogOptions{Level: *s.logLevel, Format: *s.logFormat})
	if err != nil {
		return err
	}
	counters := observe.NewCounters()
	a, err := newAgent(s, log, counters)
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

func newAgent(s *agentSettings, log *logrus.Logger, counters *observe.Counters) (*agent.Agent, error) {
	source, err := keys.LoadFiles(*s.ca, *s.cert, *s.key)
	if err != nil {
		return nil, trace.Wrap(err, "keys")
	}
	listener, err := quictransport.Listen(*s.listen, source)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", *s.listen)
	}
	cfg := agent.Config{
		ID:                 *s.id,
		Zone:               *s.zone,
		Listener:           listener,
		Dialer:             quictransport.NewDialer(source),
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
	}
	if *s.reserve == 0 {
		cfg.InteractiveReserve = agent.NoReserve
	}
	connect(s, &cfg)
	a, err := agent.New(cfg)
	if err != nil {
		listener.Close()
		return nil, err
	}
	return a, nil
}

// connect names the endpoint and the platform's services.
func connect(s *agentSettings, cfg *agent.Config) {
	if *s.service != "" {
		cfg.Service = httpendpoint.NewService(*s.service)
		return
	}
	cfg.Engine = httpendpoint.NewEngine(*s.engine)
	if *s.weights != "" {
		cfg.Targets = httpplatform.NewWeights(*s.weights)
		cfg.Fencer = agent.NewTableFencer(httpplatform.NewTable(*s.table), *s.id)
	}
}
