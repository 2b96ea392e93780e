package proof_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/instances"
	"mulberryscale.example/internal/standin/weights"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/trainer"
	"mulberryscale.example/wire"
)

const (
	controlModel   = "guide"
	controlRow     = "guide-training"
	controlBound   = 2 // versions that a sample may be old
	controlEngines = 4
	controlFirst   = 3 // version that the engines start with
	controlLook    = 20 * time.Millisecond
	controlReady   = time.Minute
	// controlSettle is how long after all faults the newest weights may take,
	// and controlLate how long orders that were held up are waited for before.
	controlSettle = 2 * time.Minute
	controlLate   = 25 * time.Second
	// controlSlack is how long a report may hold on to what an engine lost
	// without an order of its agent: the interval and the timeout of a poll.
	controlSlack = agent.DefaultPollInterval + agent.DefaultPollTimeout + 100*time.Millisecond
)

const controlTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
guide-training,trainer,guide,1,2,,,,4000,1h,1,carry,,%s,
`

// TestControlSurvivesFaults publishes weights while faults come in random order
// and checks that what agents report is so, that labels are true and fresh
// enough, and that all engines have the newest weights once the faults end.
func TestControlSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		swap := rapid.SampledFrom([]string{"at_once", "drain", "rolling"}).Draw(rt, "swap")
		plan := controlPlans().Draw(rt, "plan")
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = runControl(swap, plan) })
		if len(broken) > 0 {
			rt.Fatalf("broken promises:\n%s", strings.Join(broken, "\n"))
		}
	})
}

// runControl lets the plan happen and returns the promises that were broken.
func runControl(swap string, plan []controlStep) []string {
	w, err := newControlWorld(swap)
	defer w.close()
	if err != nil {
		return []string{"the world did not start: " + err.Error()}
	}
	for _, s := range plan {
		controlActions[s.name](w, s.a, s.b)
		time.Sleep(s.pause)
	}
	w.heal()
	w.awaitNewest()
	w.finish()
	w.check()
	return w.broken
}

// controlWorld is a deployment whose weights change, with one trainer.
type controlWorld struct {
	ctx     context.Context
	cancel  context.CancelFunc
	fabric  *deployment.Memory
	d       *deployment.Deployment
	engines []*watchedEngine
	list    atomic.Pointer[instances.List]
	version uint64
	down    map[string]bool

	mu      sync.Mutex
	gates   map[string]*gatedEngine // of the newest incarnation, by agent
	old     []*gatedEngine
	broken  []string
	claims  []claim
	samples []labelled
	stop    chan struct{} // ends the trainer after its step
	trained chan struct{} // closed when it has ended
	tasks   sync.WaitGroup
}

// claim is a report that a version is ready on an engine.
type claim struct {
	at      time.Time
	agent   string
	engine  *watchedEngine
	version uint64
}

// labelled is a delivered sample with what was asked for.
type labelled struct {
	req     api.SampleRequest
	sample  api.Sample
	version uint64 // that the trainer declared
}

func newControlWorld(swap string) (*controlWorld, error) {
	w := &controlWorld{
		fabric: deployment.NewMemory(), version: controlFirst, down: map[string]bool{},
		gates: map[string]*gatedEngine{}, stop: make(chan struct{}), trained: make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	opts := deployment.Options{
		Fabric: w.fabric, Table: fmt.Sprintf(controlTable, swap), Log: observe.Discard(), Seed: 7,
		Retention: 30 * time.Second, Agent: w.configure,
	}
	for i := range 2 {
		opts.Entries = append(opts.Entries, deployment.EntrySpec{Zone: controlZone(i), ID: fmt.Sprint("entry-", i+1)})
	}
	for i := range controlEngines {
		// Half of the engines obey orders with old fencing numbers.
		w.engines = append(w.engines, &watchedEngine{ignoreFence: i%2 == 1})
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: controlZone(i), Options: engine.Options{
			ID: engineID(i), Models: map[string]uint64{controlModel: controlFirst}, Slots: 4,
			LoadTime: 300 * time.Millisecond, IgnoreFence: i%2 == 1, Seed: int64(i),
		}})
	}
	return w, w.start(opts)
}

func controlZone(i int) string { return fmt.Sprint("zone-", i%2) }
func engineID(i int) string    { return fmt.Sprint("engine-", i+1) }

// configure puts the gate of a new incarnation before its engine.
func (w *controlWorld) configure(c *agent.Config) {
	store := c.Targets.(platform.WeightStore)
	c.Instances, c.Weights = controlList{w}, store
	c.Models = []string{controlModel} // an engine that has crashed does not list it
	c.TargetInterval = 500 * time.Millisecond
	c.SwapWindow = 4 * time.Second
	for i, e := range w.engines {
		if c.ID != engineID(i)+"-agent" {
			continue
		}
		if e.core == nil {
			e.core = c.Engine.(*engine.Engine)
		}
		g := newGatedEngine(e)
		c.Engine = endpoint.Engine(g)
		w.mu.Lock()
		if before := w.gates[c.ID]; before != nil {
			w.old = append(w.old, before)
		}
		w.gates[c.ID] = g
		w.mu.Unlock()
	}
}

// controlList is the deployment's instance list, which is made after the options.
type controlList struct{ w *controlWorld }

// Instances implements platform.InstanceList.
func (l controlList) Instances(ctx context.Context) ([]platform.Instance, error) {
	if list := l.w.list.Load(); list != nil {
		return list.Instances(ctx)
	}
	return nil, platform.ErrUnavailable
}

func (w *controlWorld) start(opts deployment.Options) (err error) {
	if w.d, err = deployment.Start(w.ctx, opts); err != nil {
		return err
	}
	w.list.Store(w.d.Instances)
	for _, e := range w.engines {
		e.look()
	}
	if err := w.d.Weights.Publish(controlModel, controlFirst, nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, controlReady)
	defer cancel()
	if err := w.d.AwaitReady(ctx); err != nil {
		return err
	}
	w.tasks.Go(w.lookAll)
	for i, a := range w.d.Agents {
		w.follow(a.ID, w.engines[i])
	}
	w.tasks.Go(w.train)
	return nil
}

// publish publishes the next version with a number of parts.
func (w *controlWorld) publish(parts int) {
	var specs []weights.PartSpec
	for i := range parts {
		specs = append(specs, weights.PartSpec{Name: fmt.Sprint("part-", i), Size: 256})
	}
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	if err := w.d.Weights.Publish(controlModel, version, specs); err != nil {
		w.breach("publish: %v", err)
	}
}

func (w *controlWorld) newest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *controlWorld) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// lookAll notes what the engines have until the end.
func (w *controlWorld) lookAll() {
	for w.ctx.Err() == nil {
		for _, e := range w.engines {
			e.look()
		}
		time.Sleep(controlLook)
	}
}

// follow watches the newest incarnation of an agent, whichever that is.
func (w *controlWorld) follow(id string, e *watchedEngine) {
	dialer, err := w.fabric.Dialer("watcher-of-" + id)
	if err != nil {
		w.breach("dialer: %v", err)
		return
	}
	w.tasks.Go(func() {
		defer dialer.Close()
		for w.ctx.Err() == nil {
			s, err := dialer.Open(w.ctx, w.addrOf(id))
			if err == nil {
				stop := context.AfterFunc(w.ctx, func() { s.Close() })
				err = s.Send(&wire.Request{Watch: &wire.Watch{MinInterval: controlLook, MaxInterval: time.Second}})
				for err == nil {
					var reply wire.Reply
					if err = s.Recv(&reply); err == nil {
						w.note(id, e, reply.Report)
					}
				}
				stop()
				s.Close()
			}
			time.Sleep(controlLook)
		}
	})
}

func (w *controlWorld) addrOf(id string) string {
	list, _ := w.d.Instances.Instances(w.ctx)
	for _, in := range list {
		if in.ID == id {
			return in.Addr
		}
	}
	return ""
}

// note keeps what a report claims.
func (w *controlWorld) note(id string, e *watchedEngine, r *wire.Report) {
	for _, m := range r.Models {
		if !m.Ready {
			continue
		}
		w.mu.Lock()
		w.claims = append(w.claims, claim{at: time.Now(), agent: id, engine: e, version: m.Version})
		w.mu.Unlock()
	}
}

// train runs one step after another until the end.
func (w *controlWorld) train() {
	defer close(w.trained)
	client, err := trainer.New(trainer.Config{
		Row: controlRow, Entries: w.d.EntryURLs(), HTTP: w.fabric.Client(), StalenessBound: controlBound,
	})
	if err != nil {
		w.breach("trainer: %v", err)
		return
	}
	for n := 1; ; n++ {
		select {
		case <-w.stop:
			return
		default:
		}
		step := trainer.Step{Name: fmt.Sprint(n), Version: w.newest()}
		requests := make(map[string]api.SampleRequest)
		for i := range 8 {
			id := fmt.Sprintf("%d-%d", n, i)
			requests[id] = api.SampleRequest{ID: id, Group: fmt.Sprint(i / 4), Prompt: "Describe house " + id, MaxTokens: 200, Seed: int64(i)}
			step.Samples = append(step.Samples, requests[id])
		}
		result, err := client.RunStep(w.ctx, step, func(s api.Sample) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.samples = append(w.samples, labelled{req: requests[s.ID], sample: s, version: step.Version})
			return nil
		})
		if err != nil {
			if w.ctx.Err() == nil {
				w.breach("step %d: %v", n, err)
			}
			return
		}
		if got := result.Delivered + len(result.Refused); got != len(requests) {
			w.breach("step %d ended with %d of %d samples", n, got, len(requests))
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// finish lets the trainer end its step, and ends the world.
func (w *controlWorld) finish() {
	close(w.stop)
	select {
	case <-w.trained:
	case <-time.After(controlSettle):
		w.breach("the trainer's last step did not end")
	}
	w.cancel()
	w.tasks.Wait()
}

// check checks every promise once all has ended.
func (w *controlWorld) check() {
	records := oracle.Records{}
	for _, e := range w.engines {
		for id, r := range oracle.Collect(e.core) {
			records[id] = r
		}
		if len(e.disorder) > 0 {
			w.breach("a checking engine obeyed the older fencing numbers %v", e.disorder)
		}
	}
	for _, c := range w.claims {
		if !c.engine.hadReady(c.version, c.at.Add(-controlSlack), c.at.Add(controlLook)) {
			w.breach("%s reported version %d as ready, which its engine did not have", c.agent, c.version)
			break
		}
	}
	seen := make(map[string]bool)
	for _, s := range w.samples {
		if err := records.CheckSample(&s.req, &s.sample); err != nil {
			w.breach("sample %s: %v", s.sample.ID, err)
		}
		if oracle.Stale(s.sample.Versions, s.version, controlBound) {
			w.breach("sample %s of %v is too old for version %d", s.sample.ID, s.sample.Versions, s.version)
		}
		if seen[s.sample.ID] {
			w.breach("sample %s came twice", s.sample.ID)
		}
		seen[s.sample.ID] = true
	}
	if len(w.samples) == 0 {
		w.breach("no sample was delivered at all")
	}
}

func (w *controlWorld) close() {
	w.cancel()
	if w.d != nil {
		w.thawAll()
		w.d.Close()
	}
	w.tasks.Wait()
	w.fabric.Close()
	time.Sleep(2 * time.Minute) // until what was left behind has ended
}
