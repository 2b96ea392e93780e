package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/admission"
	"mulberryscale.example/api"
	"mulberryscale.example/observe"
	"mulberryscale.example/results"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/wire"
)

// sweepInterval is how often ended results are looked through.
const sweepInterval = time.Second

// Agent serves one endpoint. It is safe for concurrent use.
type Agent struct {
	cfg         Config
	incarnation incarnation
	log         *logrus.Entry
	results     *results.Store

	changed *signal // the report changed
	urgent  *signal // the report changed in a way that routing must know at once
	settled *signal // a job or an answer ended

	pollNow        chan struct{}
	drainRequested chan struct{}
	drainOnce      sync.Once
	spread         *tablesync.Spread // nil without a dialer
	spreading      spreading
	tasks          sync.WaitGroup

	mu        sync.Mutex
	queue     *admission.Queue
	jobs      map[*results.Run]*job
	engine    engineState
	draining  bool
	answering int // runs that are being answered
	reports   uint64
	fence     uint64 // fencing number of this incarnation, 0 until there is one
	rand      *rand.Rand
	base      context.Context // ends with Run; jobs run under it
}

// New checks the configuration and makes an agent; Run starts it.
func New(cfg Config) (*Agent, error) {
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err, "agent: settings")
	}
	cfg = cfg.withDefaults()
	if cfg.Incarnation == "" {
		cfg.Incarnation = uuid.NewString()
	}
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	a := &Agent{
		cfg:            cfg,
		incarnation:    incarnation{current: cfg.Incarnation},
		log:            cfg.Logger.WithFields(logrus.Fields{observe.FieldEngine: cfg.ID, observe.FieldZone: cfg.Zone}),
		results:        results.New(results.Options{Peer: cfg.ID, MaxBytes: cfg.MaxResultBytes, MaxKeys: cfg.MaxKeys}),
		changed:        newSignal(),
		urgent:         newSignal(),
		settled:        newSignal(),
		pollNow:        make(chan struct{}, 1),
		drainRequested: make(chan struct{}),
		queue: admission.New(admission.Options{
			Peer:     cfg.ID,
			MaxItems: cfg.MaxQueue,
			Reserve:  cfg.InteractiveReserve,
		}),
		jobs: make(map[*results.Run]*job),
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
	if cfg.Dialer != nil {
		a.spread = a.newSpread()
	}
	a.spreading = a.newSpreading()
	a.engine.models = make(map[string]*modelState)
	if cfg.Service != nil {
		a.engine.healthy = true
		a.queue.SetSlots(cfg.ServiceConcurrency)
	}
	for _, m := range cfg.Models {
		a.engine.models[m] = a.newModel(m)
	}
	a.publishGauge()
	return a, nil
}

// ID is the agent's instance id.
func (a *Agent) ID() string { return a.cfg.ID }

// Incarnation is the random number of this start, or a later one that was
// taken when the memory of keys had filled.
func (a *Agent) Incarnation() string { return a.incarnation.now() }

// Addr is where the agent listens, "ip:port".
func (a *Agent) Addr() string { return a.cfg.Listener.Addr() }

// Run serves until ctx ends; it cuts off what still runs then, so a planned
// stop calls Drain first. The error is the listener's.
func (a *Agent) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	a.mu.Lock()
	a.base = ctx
	a.mu.Unlock()
	a.background(ctx)
	a.log.WithField(observe.FieldPeer, a.Addr()).Info("agent serves")
	err := a.cfg.Listener.Serve(ctx, a.handle)
	stop()
	a.tasks.Wait()
	if err != nil && ctx.Err() == nil {
		return trace.Wrap(err, "agent %s: serve %s", a.cfg.ID, a.Addr())
	}
	return nil
}

func (a *Agent) background(ctx context.Context) {
	a.tasks.Go(func() { a.sweep(ctx) })
	a.tasks.Go(func() { a.followTable(ctx) })
	if a.spread != nil {
		a.tasks.Go(func() { a.spread.Run(ctx) })
	}
	a.spreading.run(ctx, a)
	if a.cfg.Engine == nil {
		return
	}
	a.tasks.Go(func() { a.poll(ctx) })
	if a.cfg.Fencer == nil {
		return
	}
	a.tasks.Go(func() { a.acquireFence(ctx) })
	if a.cfg.Targets != nil {
		a.tasks.Go(func() { a.followTargets(ctx) })
	}
}

func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.results.Sweep(now)
			if a.results.Crowded() {
				a.renew()
			}
		}
	}
}

func (a *Agent) header() wire.Header {
	return wire.Header{
		From:         a.cfg.ID,
		Incarnation:  a.Incarnation(),
		TableVersion: a.cfg.Holder.Version(),
		Addr:         a.Addr(),
	}
}

// refuse makes a refusal of this agent.
func (a *Agent) refuse(code api.Code, notRun api.NotRun, step, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, NotRun: notRun, Step: step, Peer: a.cfg.ID}
}

// refuseRetry is refuse for what another attempt can mend.
func (a *Agent) refuseRetry(code api.Code, notRun api.NotRun, step, message string) *api.Refusal {
	r := a.refuse(code, notRun, step, message)
	r.RetryAfter = DefaultRetryAfter
	return r
}

// jitter spreads a duration over half to one and a half of itself. The caller holds a.mu.
func (a *Agent) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(a.rand.Int64N(int64(d)+1))
}
