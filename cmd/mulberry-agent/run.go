package main

import (
	"context"

	"mulberryscale.example/daemon"
	"mulberryscale.example/daemon/process"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/platform/httpplatform"
	"mulberryscale.example/service/agent"
)

// run serves until a signal arrives or a peer requests a drain.
func run(ctx context.Context, s *agentSettings) error {
	p, err := s.Open(*s.listen)
	if err != nil {
		return err
	}
	defer p.Close()
	a, err := newAgent(s, p)
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
	program := s.Program(p)
	program.Serve = a.Run
	program.Drain = a.Drain
	program.Ready = func() bool { return a.Report().Healthy }
	return daemon.Run(ctx, program)
}

func newAgent(s *agentSettings, p *process.Process) (*agent.Agent, error) {
	cfg := agent.Config{
		ID:                 *s.ID,
		Zone:               *s.Zone,
		Listener:           p.Listener,
		Dialer:             p.Dialer,
		Services:           *s.services,
		Models:             *s.models,
		Logger:             p.Log,
		Counters:           p.Counters,
		InteractiveReserve: *s.reserve,
		MaxQueue:           *s.maxQueue,
		ServiceConcurrency: *s.serviceConcurrency,
		MaxResultBytes:     int(*s.maxResults),
		TargetInterval:     *s.targetInterval,
		LoadTimeout:        *s.loadTimeout,
		SwapWindow:         *s.swapWindow,
	}
	setEndpoint(s, &cfg)
	return agent.New(cfg)
}

// setEndpoint sets the clients of the endpoint and of the platform's services in cfg.
func setEndpoint(s *agentSettings, cfg *agent.Config) {
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
		cfg.Fencer = agent.NewTableFencer(httpplatform.NewTable(*s.table), *s.ID)
	}
}
