package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/internal/standin/scorer"
	"mulberryscale.example/observe"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/service/entry"
)

const (
	model          = "guide"
	rowLookups     = "visitors"
	rowLimited     = "families"       // has rate, concurrency and queue limits
	rowTrainer     = "guide-training" // waits for all samples; its scorer is idempotent
	rowPartial     = "meter-training" // waits for 0.7 of the samples; its scorer is not idempotent
	rowBookings    = "bookings"       // non-idempotent calls
	rowScorer      = "guide-scorer"
	rowMeter       = "meter-scorer"
	stalenessBound = 1
	firstVersion   = 3
	readyTimeout   = time.Minute
	answerTimeout  = 30 * time.Minute
	cleanupTime    = 5 * time.Minute
	retention      = 30 * time.Second
	serviceTime    = 40 * time.Millisecond // of one call to a plain service
)

const tableText = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
visitors,service,guide,4,,,,,400,30s,,,,at_once,
families,service,guide,1,,4,,2,2,30s,,,,at_once,
guide-training,trainer,guide,6,1,,,,4000,1h,1,carry,guide-scorer,at_once,
meter-training,trainer,guide,6,1,,,,4000,1h,0.7,carry,meter-scorer,at_once,
bookings,plain,,1,,,,,400,20s,,,,,false
guide-scorer,plain,,1,,,,,4000,10s,,,,,true
meter-scorer,plain,,1,,,,,4000,10s,,,,,false
`

// harness is a deployment with its callers and trainers and the responses that they received.
type harness struct {
	d        *deployment.Deployment
	fabric   *fabric
	ctx      context.Context
	cancel   context.CancelFunc
	bookings []*plain.Service
	scorers  []*plain.Service
	version  uint64 // newest published version of the weights
	callers  sync.WaitGroup
	trainers map[string]*trainerRun
	down     map[string]bool // killed or stopped processes, by id
	drains   sync.WaitGroup  // drains in progress

	mu         sync.Mutex
	lookups    []*lookup
	keyed      []*keyedCall
	violations []string // violated guarantees, one message each
	// drainErrs are the errors of drains that did not complete.
	drainErrs []error
}

// harnessOptions set the size of the deployment and adjust the configuration of its
// agents and entries.
type harnessOptions struct {
	entries, engines int
	agent            func(*agent.Config)
	entry            func(*entry.Config)
}

func newHarness(o harnessOptions) (*harness, error) {
	h := &harness{fabric: newFabric(), version: firstVersion, trainers: map[string]*trainerRun{}, down: map[string]bool{}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	zones := []string{"patan", "bhaktapur"}
	opts := deployment.Options{
		Fabric: h.fabric, Table: tableText, Log: observe.Discard(), Seed: 7, Retention: retention, Entry: o.entry,
		Agent: func(c *agent.Config) {
			c.TargetInterval = 200 * time.Millisecond
			if c.Engine != nil {
				// An engine can lose its weights while its agent is down; the new agent then
				// does not learn the models from it.
				c.Models = []string{model}
			}
			if o.agent != nil {
				o.agent(c)
			}
		},
	}
	for i := range o.engines {
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: zones[i%2], Options: engine.Options{
			ID: fmt.Sprintf("engine-%d", i+1), Models: map[string]uint64{model: firstVersion},
			Slots: 4, LoadTime: 300 * time.Millisecond, Seed: int64(i),
		}})
	}
	for i := range 2 {
		h.bookings = append(h.bookings, plain.New(plain.Options{ID: fmt.Sprint("bookings-", i+1), Delay: serviceTime}))
		opts.Services = append(opts.Services, deployment.ServiceSpec{
			Zone: zones[i], ID: fmt.Sprint("bookings-", i+1), Rows: []string{rowBookings}, StandIn: h.bookings[i],
		})
		h.scorers = append(h.scorers, scorer.New(plain.Options{ID: fmt.Sprint("scorer-", i+1), Delay: serviceTime}))
		opts.Services = append(opts.Services, deployment.ServiceSpec{
			Zone: zones[i], ID: fmt.Sprint("scorer-", i+1), Rows: []string{rowScorer, rowMeter}, StandIn: h.scorers[i],
		})
	}
	for i := range o.entries {
		opts.Entries = append(opts.Entries, deployment.EntrySpec{Zone: zones[i%2], ID: fmt.Sprintf("entry-%d", i+1)})
	}
	return h, h.start(opts)
}

func (h *harness) start(opts deployment.Options) (err error) {
	if h.d, err = deployment.Start(h.ctx, opts); err != nil {
		return err
	}
	if err := h.d.Weights.Publish(model, firstVersion, nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.ctx, readyTimeout)
	defer cancel()
	if err := h.d.AwaitReady(ctx); err != nil {
		return err
	}
	for _, row := range []string{rowTrainer, rowPartial} {
		h.startTrainer(row)
	}
	return nil
}

// errorf records a violated guarantee.
func (h *harness) errorf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// engines returns the stand-in engines.
func (h *harness) engines() []*engine.Engine {
	var engines []*engine.Engine
	for _, a := range h.d.Agents {
		if a.StandIn != nil {
			engines = append(engines, a.StandIn)
		}
	}
	return engines
}

func (h *harness) records() oracle.Records { return oracle.Collect(h.engines()...) }

// bookingRuns returns how often a booking was executed, over all instances of the service.
func (h *harness) bookingRuns(name string) int { return countRuns(h.bookings, name) }

func countRuns(services []*plain.Service, name string) int {
	n := 0
	for _, s := range services {
		for _, r := range s.Records() {
			if r.Request == name {
				n++
			}
		}
	}
	return n
}

// heal removes every injected fault and restarts all processes that are down.
func (h *harness) heal() {
	h.drains.Wait()
	h.d.Table.Outage(false)
	h.d.Table.LoseNextReplies(0)
	h.d.Table.Slow(0)
	h.d.Table.StaleReads(false)
	h.d.Instances.SetLag(0)
	for _, e := range h.engines() {
		e.Thaw()
		e.FailNextLoads(0)
		e.LoseNextLoadReplies(0)
		e.StatusLag(0)
		e.CutNextStream(0)
		e.RefuseConnections(false)
		e.SlowBy(1)
	}
	for _, s := range append(append([]*plain.Service(nil), h.bookings...), h.scorers...) {
		s.RefuseConnections(false)
		s.LoseNextReplies(0)
		s.FailNextBeforeRun(0)
		s.Delay(serviceTime)
	}
	for _, e := range h.d.Entries {
		h.fabric.thaw(e.ID)
		h.restart(e.ID, e.Start)
	}
	for _, a := range h.d.Agents {
		h.fabric.thaw(a.ID)
		h.restart(a.ID, a.Start)
	}
}

// restart starts a process if it is down.
func (h *harness) restart(id string, start func() error) {
	if !h.down[id] {
		return
	}
	delete(h.down, id)
	if err := start(); err != nil {
		h.errorf("%s did not restart: %v", id, err)
	}
}

// awaitCallers waits until all callers have their responses and all trainers have completed
// their last step.
func (h *harness) awaitCallers() {
	allDone := make(chan struct{})
	go func() {
		for _, t := range h.trainers {
			t.finish()
		}
		h.callers.Wait()
		close(allDone)
	}()
	select {
	case <-allDone:
	case <-time.After(answerTimeout):
		h.errorf("callers got no response within %v after all faults were removed", answerTimeout)
		h.cancel()
		<-allDone
	}
}

// close stops the deployment and waits until its remaining goroutines have returned.
func (h *harness) close() {
	h.cancel()
	if h.d != nil {
		h.d.Close()
	}
	h.fabric.Close()
	time.Sleep(cleanupTime)
}
