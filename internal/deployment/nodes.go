package deployment

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/service/entry"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
)

// process is the part common to entries and agents. A process can be stopped
// gracefully or killed, and then started again.
type process struct {
	listener transport.Listener
	dialer   transport.Dialer
	cancel   context.CancelFunc
	done     chan error
}

// run starts serve in a goroutine.
func (p *process) run(base context.Context, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(base)
	p.cancel = cancel
	done := make(chan error, 1) // one per run, so that a restart does not take the earlier result
	p.done = done
	go func() { done <- serve(ctx) }()
}

// stop cancels the run, closes its listener and dialer and returns the run's error.
// It does nothing if the process is not running.
func (p *process) stop() error {
	if p.cancel == nil {
		return nil
	}
	p.cancel()
	p.cancel = nil
	p.listener.Close()
	p.dialer.Close()
	return <-p.done
}

// running reports whether the process was started and not stopped since.
func (p *process) running() bool { return p.cancel != nil }

// Agent is an agent with its endpoint.
type Agent struct {
	process
	d           *Deployment
	engineSpec  *EngineSpec
	serviceSpec *ServiceSpec
	ID          string
	// StandIn is the stand-in of the agent's engine; nil for plain services.
	StandIn  *engine.Engine
	engine   endpoint.Engine
	service  endpoint.Service
	Counters *observe.Counters
	agent    *agent.Agent
}

func (a *Agent) zone() string {
	if a.engineSpec != nil {
		return a.engineSpec.Zone
	}
	return a.serviceSpec.Zone
}

// makeEndpoint starts the stand-in of the agent's endpoint. It keeps running when the
// agent stops.
func (a *Agent) makeEndpoint() (err error) {
	if a.serviceSpec != nil {
		a.service, err = a.d.opts.Fabric.Service(a.serviceSpec.StandIn)
		return trace.Wrap(err)
	}
	a.StandIn = engine.New(a.engineSpec.Options)
	a.engine, err = a.d.opts.Fabric.Engine(a.StandIn)
	return trace.Wrap(err)
}

// Start starts the agent, or restarts it with a new incarnation, and registers it in
// the instance list.
func (a *Agent) Start() (err error) {
	fabric := a.d.opts.Fabric
	if a.listener, err = fabric.Listen(a.ID); err != nil {
		return trace.Wrap(err, "agent %v", a.ID)
	}
	if a.dialer, err = fabric.Dialer(a.ID); err != nil {
		return trace.Wrap(err, "agent %v", a.ID)
	}
	a.Counters = observe.NewCounters()
	cfg := agent.Config{
		ID: a.ID, Zone: a.zone(), Listener: a.listener, Dialer: a.dialer, Engine: a.engine, Service: a.service,
		Holder: tablesync.NewHolder(), Logger: a.d.opts.Log, Counters: a.Counters, Seed: a.d.opts.Seed + 1,
		Instances: a.d.Instances,
	}
	if a.serviceSpec != nil {
		cfg.Services = a.serviceSpec.Rows
	} else {
		cfg.Targets = a.d.Weights
		cfg.Weights = a.d.Weights
		// An engine no longer lists its models after a crash.
		cfg.Models = slices.Sorted(maps.Keys(a.engineSpec.Options.Models))
		cfg.Fencer = agent.NewTableFencer(a.d.Table, a.ID)
	}
	if a.d.opts.Agent != nil {
		a.d.opts.Agent(&cfg)
	}
	if a.agent, err = agent.New(cfg); err != nil {
		return trace.Wrap(err, "agent %v", a.ID)
	}
	a.run(a.d.ctx, a.agent.Run)
	a.d.Instances.Register(platform.Instance{ID: a.ID, Role: platform.RoleAgent, Zone: a.zone(), Addr: a.listener.Addr()})
	return nil
}

// Kill stops the agent without draining it, as a crash would: it stays in the instance list.
func (a *Agent) Kill() {
	if !a.running() {
		return
	}
	a.d.opts.Fabric.Kill(a.ID)
	_ = a.stop() // a killed process reports no error
}

// Stop drains and stops the agent and removes it from the instance list.
func (a *Agent) Stop(ctx context.Context) error {
	err := a.agent.Drain(ctx)
	err = errors.Join(err, a.stop())
	a.d.Instances.Remove(a.ID)
	return err
}

// Entry is an entry instance.
type Entry struct {
	process
	d        *Deployment
	ID       string
	Zone     string
	url      atomic.Pointer[string]
	Counters *observe.Counters
	Entry    *entry.Entry
	stopHTTP func()
}

// URL returns the base URL of the entry's last start, or the empty string before the
// first. It is safe for concurrent use.
func (e *Entry) URL() string {
	if url := e.url.Load(); url != nil {
		return *url
	}
	return ""
}

// Start starts or restarts the entry and registers it in the instance list.
func (e *Entry) Start() (err error) {
	fabric := e.d.opts.Fabric
	if e.listener, err = fabric.Listen(e.ID); err != nil {
		return trace.Wrap(err, "entry %v", e.ID)
	}
	if e.dialer, err = fabric.Dialer(e.ID); err != nil {
		return trace.Wrap(err, "entry %v", e.ID)
	}
	e.Counters = observe.NewCounters()
	cfg := entry.Config{
		ID: e.ID, Zone: e.Zone, Listener: e.listener, Dialer: e.dialer, Holder: tablesync.NewHolder(),
		Instances: e.d.Instances, Table: e.d.Table, Counters: e.Counters, Log: e.d.opts.Log,
		Retention: e.d.opts.Retention, Seed: e.d.opts.Seed,
	}
	if e.d.opts.Entry != nil {
		e.d.opts.Entry(&cfg)
	}
	e.Entry, err = entry.New(cfg)
	if err != nil {
		return trace.Wrap(err, "entry %v", e.ID)
	}
	e.run(e.d.ctx, e.Entry.Run)
	url, stopHTTP, err := fabric.Serve(e.ID, e.Entry.Handler())
	if err != nil {
		return trace.Wrap(err, "entry %v", e.ID)
	}
	e.url.Store(&url)
	e.stopHTTP = stopHTTP
	e.d.Instances.Register(platform.Instance{ID: e.ID, Role: platform.RoleEntry, Zone: e.Zone, Addr: e.listener.Addr()})
	return nil
}

// Kill stops the entry without draining it, as a crash would: it stays in the instance list.
func (e *Entry) Kill() {
	if !e.running() {
		return
	}
	e.stopHTTP()
	e.d.opts.Fabric.Kill(e.ID)
	_ = e.stop() // a killed process reports no error
}

// Stop drains the entry, waits until the last responses are written to their callers,
// stops it and removes it from the instance list.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.Entry.Drain(ctx)
	if err == nil {
		err = e.d.opts.Fabric.Shutdown(ctx, e.URL())
	}
	e.stopHTTP()
	err = errors.Join(err, e.stop())
	e.d.Instances.Remove(e.ID)
	return err
}
