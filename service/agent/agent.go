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

// sweepInterval is the time between two sweeps of the result store for expired results.
const sweepInterval = time.Second

// Agent serves one endpoint. It is safe for concurrent use.
type Agent struct {
	cfg         Config
	incarnation incarnation
	log         *logrus.Entry
	results     *results.Store

	changed  *signal // the report changed; watchers are sent the new one
	urgent   *signal // the report changed in a way that routing must learn without delay
	finished *signal // a job or a reply finished

	pollNow        chan struct{}
	drainRequested chan struct{}
	drainOnce      sync.Once
	tableSpread    *tablesync.Spread // nil without a Dialer
	distribution   distribution
	tasks          sync.WaitGroup

	mu        sync.Mutex
	queue     *admission.Queue
	jobs      map[*results.Run]*job
	engine    engineState
	draining  bool
	answering int // requests for runs whose replies are being sent
	reports   uint64
	fence     uint64 // fencing number for this agent's orders, 0 until it is drawn
	rand      *rand.Rand
	base      context.Context // cancelled when Run returns; parent of the jobs' contexts
}

// New returns an agent for the configuration, or an error if that is invalid. Run
// starts the agent.
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
		finished:       newSignal(),
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
		a.tableSpread = a.newTableSpread()
	}
	a.distribution = a.newDistribution()
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

// ID returns the agent's instance id.
func (a *Agent) ID() string { return a.cfg.ID }

// Incarnation returns the agent's current incarnation id, which is random. It
// changes with each start of the process and when the memory of keys has filled.
func (a *Agent) Incarnation() string { return a.incarnation.get() }

// Addr returns the agent's listen address, "ip:port".
func (a *Agent) Addr() string { return a.cfg.Listener.Addr() }

// Run serves requests until ctx is done, then cancels the jobs that still run; call
// Drain first for a graceful stop. The error is the listener's.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(ctx)
	a.mu.Lock()
	a.base = serving
	a.mu.Unlock()
	a.background(serving)
	a.log.WithField(observe.FieldPeer, a.Addr()).Info("agent is serving")
	err := a.cfg.Listener.Serve(serving, a.handle)
	stop()
	a.tasks.Wait()
	if err != nil && ctx.Err() == nil {
		return trace.Wrap(err, "agent %s: serve %s", a.cfg.ID, a.Addr())
	}
	return nil
}

func (a *Agent) background(ctx context.Context) {
	a.tasks.Go(func() { a.sweep(ctx) })
	a.tasks.Go(func() { a.watchTable(ctx) })
	if a.tableSpread != nil {
		a.tasks.Go(func() { a.tableSpread.Run(ctx) })
	}
	a.distribution.run(ctx, a)
	if a.cfg.Engine == nil {
		return
	}
	a.tasks.Go(func() { a.poll(ctx) })
	if a.cfg.Fencer == nil {
		return
	}
	a.tasks.Go(func() { a.acquireFence(ctx) })
	if a.cfg.Targets != nil {
		a.tasks.Go(func() { a.pollTargets(ctx) })
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
			if a.results.NearKeyLimit() {
				a.renewIncarnation()
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

// refuse returns a refusal that names this agent as the peer.
func (a *Agent) refuse(code api.Code, notRun api.NotRun, step, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, NotRun: notRun, Step: step, Peer: a.cfg.ID}
}

// refuseRetry is like refuse, for errors that a retry may resolve; it sets RetryAfter.
func (a *Agent) refuseRetry(code api.Code, notRun api.NotRun, step, message string) *api.Refusal {
	r := a.refuse(code, notRun, step, message)
	r.RetryAfter = DefaultRetryAfter
	return r
}

// jitter returns a random duration between half of d and one and a half times d. The
// caller holds a.mu.
func (a *Agent) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(a.rand.Int64N(int64(d)+1))
}
