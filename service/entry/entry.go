package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/attempt"
	"mulberryscale.example/claims"
	"mulberryscale.example/limits"
	"mulberryscale.example/membership"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/retry"
	"mulberryscale.example/rollout"
	"mulberryscale.example/routing"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Defaults of Config.
const (
	DefaultMaxBody       = 64 << 20 // bytes
	DefaultRetryRatio    = 0.1      // retries per first attempt
	DefaultRetryBurst    = 64
	DefaultClaimTimeout  = 2 * time.Second
	drainingRetryAfter   = time.Second
	noEndpointRetryAfter = time.Second
)

// Config holds an entry's dependencies and settings.
type Config struct {
	ID   string
	Zone string
	// Listener accepts streams from the service's other processes; nil for none.
	Listener  transport.Listener
	Dialer    transport.Dialer
	Holder    *tablesync.Holder
	Instances platform.InstanceList
	Table     platform.TableService
	Counters  *observe.Counters
	Log       logrus.FieldLogger
	// Subset is the number of agents that an entry watches, averaged over all entries.
	Subset int
	// Retention is how long agents keep a trainer's runs after losing the entry.
	Retention time.Duration
	// MaxBody is the size limit of a request body, in bytes.
	MaxBody int64
	// Seed seeds the choice among endpoints.
	Seed uint64
	// Training picks the agents for samples; nil means routing.NewTraining.
	Training routing.Picker
	// Policy controls how the samples of a step are placed and moved.
	Policy rollout.Policy
}

func (c *Config) check() error {
	switch {
	case c.ID == "":
		return trace.BadParameter("entry: ID is required")
	case c.Zone == "":
		return trace.BadParameter("entry: Zone is required")
	case c.Dialer == nil, c.Holder == nil, c.Instances == nil, c.Table == nil:
		return trace.BadParameter("entry: Dialer, Holder, Instances and Table are required")
	case c.Counters == nil, c.Log == nil:
		return trace.BadParameter("entry: Counters and Log are required")
	}
	return nil
}

func (c *Config) setDefaults() {
	if c.Retention == 0 {
		c.Retention = rollout.DefaultRetention
	}
	if c.Training == nil {
		c.Training = routing.NewTraining()
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
}

// Entry is one entry instance.
type Entry struct {
	cfg         Config
	incarnation string
	view        *membership.View
	watcher     *membership.Watcher
	client      *attempt.Client
	claims      *claims.Store
	limits      *limits.Set
	interactive *routing.Router
	budget      *retry.Budget
	// quarantine keeps calls and samples that crash endpoints away from them.
	quarantine *quarantine.Tracker
	runner     *rollout.Runner
	sync       *tableSync
	gossip     *gossip
	sessions   *sessions
	handler    http.Handler
	wasReady   atomic.Bool // Ready has returned true before
	unready    atomic.Bool // set by ShowUnready
	draining   atomic.Bool
	// active counts the calls in progress, for which Drain waits.
	active sync.WaitGroup
	// admitting is read-locked while a call is added to active, so that none is added
	// after draining is set.
	admitting sync.RWMutex
}

// New returns an entry; Run starts it.
func New(cfg Config) (*Entry, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	e := &Entry{
		cfg: cfg, incarnation: uuid.NewString(), view: membership.NewView(),
		limits: limits.NewSet(), interactive: routing.NewInteractive(),
		budget: retry.NewBudget(DefaultRetryRatio, DefaultRetryBurst), sessions: newSessions(),
	}
	e.quarantine = quarantine.Local(nil, cfg.Log, cfg.Counters)
	e.sync = newTableSync(e)
	e.gossip = newGossip(e)
	e.client = &attempt.Client{Dialer: cfg.Dialer, View: e.view, Header: e.header, Observe: e.sync.observe}
	e.claims = claims.NewStore(cfg.Table)
	e.watcher = membership.NewWatcher(membership.WatcherConfig{
		EntryID: cfg.ID, Zone: cfg.Zone, View: e.view, Dialer: cfg.Dialer, List: cfg.Instances,
		Header: e.header, Observe: e.sync.observe, Subset: cfg.Subset, Log: cfg.Log,
	})
	e.runner = e.newRunner()
	handler, err := e.newHandler()
	if err != nil {
		return nil, err
	}
	e.handler = handler
	cfg.Counters.Gauge(observe.NameEntry, e.gauge)
	return e, nil
}

func (e *Entry) newRunner() *rollout.Runner {
	return &rollout.Runner{
		ID: e.cfg.ID, Zone: e.cfg.Zone, Client: e.client, View: e.view,
		Router: e.cfg.Training, Policy: e.cfg.Policy, Budget: e.budget, Scorer: &scorer{e},
		Retention: e.cfg.Retention, Counters: e.cfg.Counters, Log: e.cfg.Log, Seed: e.cfg.Seed,
	}
}

// Handler returns the handler of the callers' and trainers' HTTP API.
func (e *Entry) Handler() http.Handler { return e.handler }

// Ready reports whether the platform's balancer may send callers here. An entry becomes
// ready once it has the table, has determined the state of every agent that it watches,
// and at least one of them is live. After that a loss of agents does not make it
// unready, since no other entry would do better.
func (e *Entry) Ready() bool {
	if e.unready.Load() || e.draining.Load() || e.cfg.Holder.Current() == nil {
		return false
	}
	if !e.wasReady.Load() && e.agentsKnown() {
		e.wasReady.Store(true)
	}
	return e.wasReady.Load()
}

// agentsKnown reports whether at least one agent is live and the state of all is known.
func (e *Entry) agentsKnown() bool {
	for _, a := range e.view.Snapshot().Agents {
		if a.State == membership.StateNew {
			return false
		}
	}
	return e.LiveAgents() > 0
}

// ShowUnready makes Ready false while calls are still served, so that the
// balancer sends callers elsewhere before a drain refuses them.
func (e *Entry) ShowUnready() { e.unready.Store(true) }

// LiveAgents counts the agents whose reports arrive and whose endpoints answer.
func (e *Entry) LiveAgents() int {
	n := 0
	for _, a := range e.view.Snapshot().Agents {
		if a.State == membership.StateLive && a.Report.Healthy {
			n++
		}
	}
	return n
}

// Run keeps the entry's view and table up to date and serves the other processes, until
// ctx is cancelled.
func (e *Entry) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { e.watcher.Run(ctx) })
	wg.Go(func() { e.sync.run(ctx) })
	wg.Go(func() { e.gossip.run(ctx) })
	defer wg.Wait()
	if e.cfg.Listener == nil {
		<-ctx.Done()
		return nil
	}
	return e.cfg.Listener.Serve(ctx, e.servePeer)
}

// Drain refuses new calls and waits until those in progress have finished or ctx is
// done. In the second case it closes the remaining steps with a refusal, after which
// their trainers request the rest from another entry instance, without any loss. It
// returns an error if calls are still in progress closeStepsTimeout later.
func (e *Entry) Drain(ctx context.Context) error {
	e.admitting.Lock()
	e.draining.Store(true)
	e.admitting.Unlock()
	finished := make(chan struct{})
	go func() {
		e.active.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
	}
	e.sessions.cancelAll()
	select {
	case <-finished:
		return nil
	case <-time.After(closeStepsTimeout):
		return trace.Wrap(ctx.Err(), "step entry.drain: calls are still in progress")
	}
}

// begin adds a call to active. It returns false if the entry is draining.
func (e *Entry) begin() bool {
	e.admitting.RLock()
	defer e.admitting.RUnlock()
	if e.draining.Load() {
		return false
	}
	e.active.Add(1)
	return true
}

// header returns the header of this entry's messages to other processes.
func (e *Entry) header() wire.Header {
	h := wire.Header{From: e.cfg.ID, Incarnation: e.incarnation, TableVersion: e.cfg.Holder.Version()}
	if e.cfg.Listener != nil {
		h.Addr = e.cfg.Listener.Addr()
	}
	return h
}
