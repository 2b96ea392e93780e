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
	controlModel          = "guide"
	controlRow            = "guide-training"
	controlStalenessBound = 2 // versions a sample may be behind the declared one
	controlEngines        = 4
	controlFirstVersion   = 3 // version that the engines have at the start
	controlPollInterval   = 20 * time.Millisecond
	controlReadyTimeout   = time.Minute
	// controlConvergeTimeout bounds how long all engines may take to load the newest weights
	// once the faults are removed. controlOrderDelay is the wait for delayed orders before that.
	controlConvergeTimeout = 2 * time.Minute
	controlOrderDelay      = 25 * time.Second
	// controlReportLag is how long a report may still list weights that an engine lost without
	// an order of its agent: the interval and the timeout of a poll, and a margin.
	controlReportLag = agent.DefaultPollInterval + agent.DefaultPollTimeout + 100*time.Millisecond
)

const controlTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
guide-training,trainer,guide,1,2,,,,4000,1h,1,carry,,%s,
`

// TestControlSurvivesFaults publishes weights while faults are injected in random order. It
// checks that the agents' reports match their engines, that the version labels of samples are
// correct and within the staleness bound, and that all engines load the newest weights once the
// faults are removed.
func TestControlSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		swap := rapid.SampledFrom([]string{"at_once", "drain", "rolling"}).Draw(rt, "swap")
		plan := controlPlans().Draw(rt, "plan")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runControl(swap, plan) })
		if len(violations) > 0 {
			rt.Fatalf("violated guarantees:\n%s", strings.Join(violations, "\n"))
		}
	})
}

// runControl executes a plan on a new harness and returns the violated guarantees.
func runControl(swap string, plan []controlStep) []string {
	h, err := newControlHarness(swap)
	defer h.close()
	if err != nil {
		return []string{"the deployment did not start: " + err.Error()}
	}
	for _, s := range plan {
		controlActions[s.name](h, s.a, s.b)
		time.Sleep(s.pause)
	}
	h.heal()
	h.awaitNewest()
	h.finish()
	h.check()
	return h.violations
}

// controlHarness is a deployment with one trainer, to which new weights are published.
type controlHarness struct {
	ctx     context.Context
	cancel  context.CancelFunc
	fabric  *deployment.Memory
	d       *deployment.Deployment
	engines []*watchedEngine
	list    atomic.Pointer[instances.List]
	version uint64
	down    map[string]bool

	mu           sync.Mutex
	gates        map[string]*gatedEngine // of the newest incarnation, by agent id
	replaced     []*gatedEngine
	violations   []string
	readyReports []readyReport
	samples      []deliveredSample
	stop         chan struct{} // closed to stop the trainer after its current step
	trainerDone  chan struct{} // closed when the trainer has returned
	tasks        sync.WaitGroup
}

// readyReport is a report of an agent that a version is ready on its engine.
type readyReport struct {
	at      time.Time
	agent   string
	engine  *watchedEngine
	version uint64
}

// deliveredSample is a delivered sample with its request.
type deliveredSample struct {
	req     api.SampleRequest
	sample  api.Sample
	version uint64 // declared by the trainer for the step
}

func newControlHarness(swap string) (*controlHarness, error) {
	h := &controlHarness{
		fabric: deployment.NewMemory(), version: controlFirstVersion, down: map[string]bool{},
		gates: map[string]*gatedEngine{}, stop: make(chan struct{}), trainerDone: make(chan struct{}),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	opts := deployment.Options{
		Fabric: h.fabric, Table: fmt.Sprintf(controlTable, swap), Log: observe.Discard(), Seed: 7,
		Retention: 30 * time.Second, Agent: h.configure,
	}
	for i := range 2 {
		opts.Entries = append(opts.Entries, deployment.EntrySpec{Zone: controlZone(i), ID: fmt.Sprint("entry-", i+1)})
	}
	for i := range controlEngines {
		// Half of the engines execute orders with outdated fencing tokens.
		h.engines = append(h.engines, &watchedEngine{ignoreFence: i%2 == 1})
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: controlZone(i), Options: engine.Options{
			ID: engineID(i), Models: map[string]uint64{controlModel: controlFirstVersion}, Slots: 4,
			LoadTime: 300 * time.Millisecond, IgnoreFence: i%2 == 1, Seed: int64(i),
		}})
	}
	return h, h.start(opts)
}

func controlZone(i int) string { return fmt.Sprint("zone-", i%2) }
func engineID(i int) string    { return fmt.Sprint("engine-", i+1) }

// configure wraps the engine of a new incarnation of an agent in a gate.
func (h *controlHarness) configure(c *agent.Config) {
	store := c.Targets.(platform.WeightStore)
	c.Instances, c.Weights = controlList{h}, store
	c.Models = []string{controlModel} // a crashed engine does not list its models
	c.TargetInterval = 500 * time.Millisecond
	c.SwapWindow = 4 * time.Second
	for i, e := range h.engines {
		if c.ID != engineID(i)+"-agent" {
			continue
		}
		if e.core == nil {
			e.core = c.Engine.(*engine.Engine)
		}
		g := newGatedEngine(e)
		c.Engine = endpoint.Engine(g)
		h.mu.Lock()
		if before := h.gates[c.ID]; before != nil {
			h.replaced = append(h.replaced, before)
		}
		h.gates[c.ID] = g
		h.mu.Unlock()
	}
}

// controlList is the deployment's instance list, which exists only after the start.
type controlList struct{ h *controlHarness }

// Instances implements platform.InstanceList.
func (l controlList) Instances(ctx context.Context) ([]platform.Instance, error) {
	if list := l.h.list.Load(); list != nil {
		return list.Instances(ctx)
	}
	return nil, platform.ErrUnavailable
}

func (h *controlHarness) start(opts deployment.Options) (err error) {
	if h.d, err = deployment.Start(h.ctx, opts); err != nil {
		return err
	}
	h.list.Store(h.d.Instances)
	for _, e := range h.engines {
		e.recordState()
	}
	if err := h.d.Weights.Publish(controlModel, controlFirstVersion, nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.ctx, controlReadyTimeout)
	defer cancel()
	if err := h.d.AwaitReady(ctx); err != nil {
		return err
	}
	h.tasks.Go(h.recordStates)
	for i, a := range h.d.Agents {
		h.watchAgent(a.ID, h.engines[i])
	}
	h.tasks.Go(h.train)
	return nil
}

// publish publishes the next version of the weights with the given number of parts.
func (h *controlHarness) publish(parts int) {
	var specs []weights.PartSpec
	for i := range parts {
		specs = append(specs, weights.PartSpec{Name: fmt.Sprint("part-", i), Size: 256})
	}
	h.mu.Lock()
	h.version++
	version := h.version
	h.mu.Unlock()
	if err := h.d.Weights.Publish(controlModel, version, specs); err != nil {
		h.errorf("publish: %v", err)
	}
}

func (h *controlHarness) newest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

func (h *controlHarness) errorf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// recordStates records the states of all engines until h.ctx is done.
func (h *controlHarness) recordStates() {
	for h.ctx.Err() == nil {
		for _, e := range h.engines {
			e.recordState()
		}
		time.Sleep(controlPollInterval)
	}
}

// watchAgent watches the newest incarnation of an agent and records its reports until h.ctx is done.
func (h *controlHarness) watchAgent(id string, e *watchedEngine) {
	dialer, err := h.fabric.Dialer("watcher-of-" + id)
	if err != nil {
		h.errorf("dialer: %v", err)
		return
	}
	h.tasks.Go(func() {
		defer dialer.Close()
		for h.ctx.Err() == nil {
			s, err := dialer.Open(h.ctx, h.addrOf(id))
			if err == nil {
				stop := context.AfterFunc(h.ctx, func() { s.Close() })
				err = s.Send(&wire.Request{Watch: &wire.Watch{MinInterval: controlPollInterval, MaxInterval: time.Second}})
				for err == nil {
					var reply wire.Reply
					if err = s.Recv(&reply); err == nil {
						h.recordReport(id, e, reply.Report)
					}
				}
				stop()
				s.Close()
			}
			time.Sleep(controlPollInterval)
		}
	})
}

func (h *controlHarness) addrOf(id string) string {
	list, _ := h.d.Instances.Instances(h.ctx)
	for _, in := range list {
		if in.ID == id {
			return in.Addr
		}
	}
	return ""
}

// recordReport records the versions that a report lists as ready.
func (h *controlHarness) recordReport(id string, e *watchedEngine, r *wire.Report) {
	for _, m := range r.Models {
		if !m.Ready {
			continue
		}
		h.mu.Lock()
		h.readyReports = append(h.readyReports, readyReport{at: time.Now(), agent: id, engine: e, version: m.Version})
		h.mu.Unlock()
	}
}

// train runs one step after another until h.stop is closed.
func (h *controlHarness) train() {
	defer close(h.trainerDone)
	client, err := trainer.New(trainer.Config{
		Row: controlRow, Entries: h.d.EntryURLs(), HTTP: h.fabric.Client(), StalenessBound: controlStalenessBound,
	})
	if err != nil {
		h.errorf("trainer: %v", err)
		return
	}
	for n := 1; ; n++ {
		select {
		case <-h.stop:
			return
		default:
		}
		step := trainer.Step{Name: fmt.Sprint(n), Version: h.newest()}
		requests := make(map[string]api.SampleRequest)
		for i := range 8 {
			id := fmt.Sprintf("%d-%d", n, i)
			requests[id] = api.SampleRequest{ID: id, Group: fmt.Sprint(i / 4), Prompt: "Describe house " + id, MaxTokens: 200, Seed: int64(i)}
			step.Samples = append(step.Samples, requests[id])
		}
		result, err := client.RunStep(h.ctx, step, func(s api.Sample) error {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.samples = append(h.samples, deliveredSample{req: requests[s.ID], sample: s, version: step.Version})
			return nil
		})
		if err != nil {
			if h.ctx.Err() == nil {
				h.errorf("step %d: %v", n, err)
			}
			return
		}
		if got := result.Delivered + len(result.Refused); got != len(requests) {
			h.errorf("step %d completed with %d of %d samples", n, got, len(requests))
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// finish waits until the trainer has completed its step and stops the background tasks.
func (h *controlHarness) finish() {
	close(h.stop)
	select {
	case <-h.trainerDone:
	case <-time.After(controlConvergeTimeout):
		h.errorf("the trainer's last step did not complete")
	}
	h.cancel()
	h.tasks.Wait()
}

// check checks every guarantee. It runs after finish.
func (h *controlHarness) check() {
	records := oracle.Records{}
	for _, e := range h.engines {
		for id, r := range oracle.Collect(e.core) {
			records[id] = r
		}
		if len(e.staleFences) > 0 {
			h.errorf("an engine that checks fencing tokens executed orders with the outdated tokens %v", e.staleFences)
		}
	}
	for _, c := range h.readyReports {
		if !c.engine.wasReady(c.version, c.at.Add(-controlReportLag), c.at.Add(controlPollInterval)) {
			h.errorf("%s reported version %d as ready, but its engine did not have it", c.agent, c.version)
			break
		}
	}
	seen := make(map[string]bool)
	for _, s := range h.samples {
		if err := records.CheckSample(&s.req, &s.sample); err != nil {
			h.errorf("sample %s: %v", s.sample.ID, err)
		}
		if oracle.Stale(s.sample.Versions, s.version, controlStalenessBound) {
			h.errorf("sample %s of %v is too old for version %d", s.sample.ID, s.sample.Versions, s.version)
		}
		if seen[s.sample.ID] {
			h.errorf("sample %s was delivered twice", s.sample.ID)
		}
		seen[s.sample.ID] = true
	}
	if len(h.samples) == 0 {
		h.errorf("no sample was delivered")
	}
}

func (h *controlHarness) close() {
	h.cancel()
	if h.d != nil {
		h.thawAll()
		h.d.Close()
	}
	h.tasks.Wait()
	h.fabric.Close()
	time.Sleep(2 * time.Minute) // until all remaining goroutines have returned
}
