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
	model         = "guide"
	rowLookups    = "visitors"
	rowLimited    = "families"       // has limits
	rowTrainer    = "guide-training" // waits for all samples; its scorer may be repeated
	rowPartial    = "meter-training" // waits for a part; its scorer may not be repeated
	rowBookings   = "bookings"       // calls may not be repeated
	rowScorer     = "guide-scorer"
	rowMeter      = "meter-scorer"
	staleBound    = 1
	firstVersion  = 3
	readyTime     = time.Minute
	settleTime    = 30 * time.Minute
	afterlifeTime = 5 * time.Minute
	linger        = 30 * time.Second
	serviceTime   = 40 * time.Millisecond // a call of a plain service
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

// world is a deployment with its callers and trainers, and what they got.
type world struct {
	d        *deployment.Deployment
	fabric   *fabric
	ctx      context.Context
	cancel   context.CancelFunc
	bookings []*plain.Service
	scorers  []*plain.Service
	version  uint64 // newest weights published
	callers  sync.WaitGroup
	trainers map[string]*trainerRun
	down     map[string]bool // processes that were killed or stopped
	stops    sync.WaitGroup  // drains under way

	mu      sync.Mutex
	lookups []*lookup
	keyed   []*keyedCall
	broken  []string // promises that were seen broken
	// stopErrs are the errors of drains that were cut off.
	stopErrs []error
}

// worldOptions say what a world is made of.
type worldOptions struct {
	entries, engines int
	agent            func(*agent.Config)
	entry            func(*entry.Config)
}

func newWorld(o worldOptions) (*world, error) {
	w := &world{fabric: newFabric(), version: firstVersion, trainers: map[string]*trainerRun{}, down: map[string]bool{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	zones := []string{"patan", "bhaktapur"}
	opts := deployment.Options{
		Fabric: w.fabric, Table: tableText, Log: observe.Discard(), Seed: 7, Retention: linger, Entry: o.entry,
		Agent: func(c *agent.Config) {
			c.TargetInterval = 200 * time.Millisecond
			if c.Engine != nil {
				// An engine may lose its weights together with its agent.
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
		w.bookings = append(w.bookings, plain.New(plain.Options{ID: fmt.Sprint("bookings-", i+1), Delay: serviceTime}))
		opts.Services = append(opts.Services, deployment.ServiceSpec{
			Zone: zones[i], ID: fmt.Sprint("bookings-", i+1), Rows: []string{rowBookings}, StandIn: w.bookings[i],
		})
		w.scorers = append(w.scorers, scorer.New(plain.Options{ID: fmt.Sprint("scorer-", i+1), Delay: serviceTime}))
		opts.Services = append(opts.Services, deployment.ServiceSpec{
			Zone: zones[i], ID: fmt.Sprint("scorer-", i+1), Rows: []string{rowScorer, rowMeter}, StandIn: w.scorers[i],
		})
	}
	for i := range o.entries {
		opts.Entries = append(opts.Entries, deployment.EntrySpec{Zone: zones[i%2], ID: fmt.Sprintf("entry-%d", i+1)})
	}
	return w, w.start(opts)
}

func (w *world) start(opts deployment.Options) (err error) {
	if w.d, err = deployment.Start(w.ctx, opts); err != nil {
		return err
	}
	if err := w.d.Weights.Publish(model, firstVersion, nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, readyTime)
	defer cancel()
	if err := w.d.AwaitReady(ctx); err != nil {
		return err
	}
	for _, row := range []string{rowTrainer, rowPartial} {
		w.startTrainer(row)
	}
	return nil
}

// breach notes a broken promise.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// engines are the stand-in engines.
func (w *world) engines() []*engine.Engine {
	var cores []*engine.Engine
	for _, a := range w.d.Agents {
		if a.StandIn != nil {
			cores = append(cores, a.StandIn)
		}
	}
	return cores
}

func (w *world) records() oracle.Records { return oracle.Collect(w.engines()...) }

// bookingRuns counts how often a booking ran, over all services.
func (w *world) bookingRuns(name string) int { return runs(w.bookings, name) }

func runs(services []*plain.Service, name string) int {
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

// heal ends every fault and starts again what is down.
func (w *world) heal() {
	w.stops.Wait()
	w.d.Table.Outage(false)
	w.d.Table.LoseNextReplies(0)
	w.d.Table.Slow(0)
	w.d.Table.StaleReads(false)
	w.d.Instances.SetLag(0)
	for _, e := range w.engines() {
		e.Thaw()
		e.FailNextLoads(0)
		e.LoseNextLoadReplies(0)
		e.StatusLag(0)
		e.CutNextStream(0)
		e.RefuseConnections(false)
		e.SlowBy(1)
	}
	for _, s := range append(append([]*plain.Service(nil), w.bookings...), w.scorers...) {
		s.RefuseConnections(false)
		s.LoseNextReplies(0)
		s.FailNextBeforeRun(0)
		s.Delay(serviceTime)
	}
	for _, e := range w.d.Entries {
		w.fabric.thaw(e.ID)
		w.startAgain(e.ID, e.Start)
	}
	for _, a := range w.d.Agents {
		w.fabric.thaw(a.ID)
		w.startAgain(a.ID, a.Start)
	}
}

// startAgain starts a process if it is down.
func (w *world) startAgain(id string, start func() error) {
	if !w.down[id] {
		return
	}
	delete(w.down, id)
	if err := start(); err != nil {
		w.breach("%s did not start again: %v", id, err)
	}
}

// settle waits for all callers, and for the trainers' last steps.
func (w *world) settle() {
	settled := make(chan struct{})
	go func() {
		for _, t := range w.trainers {
			t.finish()
		}
		w.callers.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(settleTime):
		w.breach("callers were not answered within %v after all faults ended", settleTime)
		w.cancel()
		<-settled
	}
}

// close ends the world and lets what it left behind end.
func (w *world) close() {
	w.cancel()
	if w.d != nil {
		w.d.Close()
	}
	w.fabric.Close()
	time.Sleep(afterlifeTime)
}
