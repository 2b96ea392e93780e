// Package demo runs the whole system in one process over loopback sockets: a
// trainer takes one step while callers make lookups and new weights are published.
// The demo's own trainer and callers count every figure and compare what they
// received with the records of the stand-in engines.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/internal/standin/scorer"
	"mulberryscale.example/observe"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/trainer"
)

// Limits of the workload.
const (
	MaxSamples = 100_000
	MaxLookups = 100_000
)

// Defaults of the workload.
const (
	DefaultSamples = 256
	DefaultLookups = 64
	DefaultSeed    = 1
)

const (
	model          = "guide"
	trainerRow     = "guide-training"
	lookupsRow     = "visitors"
	groupSize      = 8
	maxTokens      = 512
	firstVersion   = 1
	secondVersion  = 2
	stalenessBound = 1
	// swapShare is the fraction of the step's samples after which new weights are published.
	swapShare = 0.3
	// trainTimePerSample is the trainer's simulated work on each sample.
	trainTimePerSample = 2 * time.Millisecond
	startTimeout       = 10 * time.Second
	swapTime           = 100 * time.Millisecond
)

const tableText = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
visitors,service,guide,4,,,,,400,30s,,,,at_once,
guide-training,trainer,guide,6,1,,,,4000,10m,1,carry,guide-scorer,at_once,
guide-scorer,plain,,1,,,,,4000,10s,,,,,true
`

// Options sets the size of the workload.
type Options struct {
	Samples int
	Lookups int
	Seed    int64
	// Progress, if not nil, receives progress messages, one a line.
	Progress io.Writer
}

// Check returns an error that lists every option out of range.
func (o *Options) Check() error {
	var errs []error
	if o.Samples < 1 || o.Samples > MaxSamples {
		errs = append(errs, fmt.Errorf("samples must be between 1 and %d, not %d", MaxSamples, o.Samples))
	}
	if o.Lookups < 0 || o.Lookups > MaxLookups {
		errs = append(errs, fmt.Errorf("lookups must be between 0 and %d, not %d", MaxLookups, o.Lookups))
	}
	return errors.Join(errs...)
}

// Result holds the counts of the demo's own trainer and callers.
type Result struct {
	SamplesRequested   int     `json:"samples_requested"`
	SamplesDelivered   int     `json:"samples_delivered"`
	SamplesLost        int     `json:"samples_lost"`
	SamplesDuplicated  int     `json:"samples_duplicated"`
	SamplesMislabelled int     `json:"samples_mislabelled"`
	SamplesStale       int     `json:"samples_stale"`
	LookupsOK          int     `json:"lookups_ok"`
	LookupsFailed      int     `json:"lookups_failed"`
	TrainerIdleRatio   float64 `json:"trainer_idle_ratio"`
}

// Passed reports whether the service kept all its guarantees.
func (r *Result) Passed() bool {
	broken := r.SamplesLost + r.SamplesDuplicated + r.SamplesMislabelled + r.SamplesStale + r.LookupsFailed
	return broken == 0 && r.SamplesDelivered == r.SamplesRequested
}

// Run runs the demo. It returns an error if the demo could not run; a violated
// guarantee is only visible in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	fabric, err := deployment.NewLoopback()
	if err != nil {
		return nil, err
	}
	defer fabric.Close()
	d, err := start(ctx, fabric, &o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	r := &run{Options: o, d: d, fabric: fabric, received: map[string][]api.Sample{}, untrained: make(chan struct{}, o.Samples)}
	r.progress("started 2 entries and 4 engines in 2 zones")
	return r.run(ctx)
}

func start(ctx context.Context, fabric deployment.Fabric, o *Options) (*deployment.Deployment, error) {
	opts := deployment.Options{
		Fabric: fabric, Table: tableText, Log: observe.Discard(), Seed: uint64(o.Seed),
		Entries: []deployment.EntrySpec{{Zone: "patan", ID: "entry-1"}, {Zone: "bhaktapur", ID: "entry-2"}},
		Services: []deployment.ServiceSpec{{
			Zone: "patan", ID: "scorer-1", Rows: []string{"guide-scorer"}, StandIn: scorer.New(plain.Options{}),
		}},
		Agent: func(c *agent.Config) { c.TargetInterval = swapTime },
	}
	for i, zone := range []string{"patan", "patan", "bhaktapur", "bhaktapur"} {
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: zone, Options: engine.Options{
			ID: fmt.Sprintf("engine-%d", i+1), Models: map[string]uint64{model: firstVersion},
			LoadTime: swapTime, Seed: o.Seed,
		}})
	}
	d, err := deployment.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.AwaitReady(ready); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// run is one run of the demo.
type run struct {
	Options
	d      *deployment.Deployment
	fabric deployment.Fabric

	mu       sync.Mutex
	received map[string][]api.Sample
	requests []api.SampleRequest
	// untrained holds an element for each received sample that the trainer has not
	// processed yet.
	untrained chan struct{}
	result    Result
}

func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, format+"\n", args...)
	}
}

func (r *run) run(ctx context.Context) (*Result, error) {
	var wg sync.WaitGroup
	wg.Go(func() { r.lookups(ctx) })
	idle := make(chan float64, 1)
	wg.Go(func() { idle <- r.train() })
	err := r.step(ctx)
	close(r.untrained)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	r.result.TrainerIdleRatio = <-idle
	r.count()
	return &r.result, nil
}

// step runs the trainer's only step.
func (r *run) step(ctx context.Context) error {
	client, err := trainer.New(trainer.Config{
		Row: trainerRow, Entries: r.d.EntryURLs(), HTTP: r.fabric.Client(), StalenessBound: stalenessBound,
	})
	if err != nil {
		return err
	}
	r.requests = Samples(r.Samples, r.Seed)
	began := time.Now()
	step := trainer.Step{Name: "1", Version: secondVersion, Samples: r.requests}
	result, err := client.RunStep(ctx, step, r.receiveSample)
	if err != nil {
		return err
	}
	r.progress("the step took %v over %d connection(s)", time.Since(began).Round(time.Millisecond), result.Sessions)
	return nil
}

// Samples returns the n samples of a step, the same for the same seed. The samples of
// a group share a prompt.
func Samples(n int, seed int64) []api.SampleRequest {
	requests := make([]api.SampleRequest, n)
	for i := range requests {
		group := i / groupSize
		requests[i] = api.SampleRequest{
			ID: fmt.Sprintf("s%d-%d", seed, i), Group: fmt.Sprint(group),
			Prompt:    fmt.Sprintf("Describe courtyard %d of seed %d to a family that visits on Saturday.", group, seed),
			MaxTokens: maxTokens, Seed: seed<<20 + int64(i),
		}
	}
	return requests
}

// receiveSample is the trainer's callback: it stores the sample, and publishes new
// weights once swapShare of the samples has arrived.
func (r *run) receiveSample(s api.Sample) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[s.ID] = append(r.received[s.ID], s)
	r.untrained <- struct{}{}
	n := len(r.received)
	if n == max(1, int(swapShare*float64(r.Samples))) {
		r.progress("%d of %d samples; publishing weights version %d", n, r.Samples, secondVersion)
		return r.d.Weights.Publish(model, secondVersion, nil)
	}
	if n%max(1, r.Samples/4) == 0 {
		r.progress("%d of %d samples", n, r.Samples)
	}
	return nil
}

// train processes the samples one by one and returns the fraction of its time that it
// waited for samples.
func (r *run) train() float64 {
	began := time.Now()
	var busy time.Duration
	for range r.untrained {
		start := time.Now()
		time.Sleep(trainTimePerSample)
		busy += time.Since(start)
	}
	return 1 - busy.Seconds()/time.Since(began).Seconds()
}

// count compares the received samples with the requests and the engines' records.
func (r *run) count() {
	var engines []*engine.Engine
	for _, a := range r.d.Agents {
		if a.StandIn != nil {
			engines = append(engines, a.StandIn)
		}
	}
	records := oracle.Collect(engines...)
	r.result.SamplesRequested = len(r.requests)
	for i := range r.requests {
		r.countSample(records, &r.requests[i])
	}
}

func (r *run) countSample(records oracle.Records, req *api.SampleRequest) {
	got := r.received[req.ID]
	if len(got) == 0 {
		r.result.SamplesLost++
		return
	}
	r.result.SamplesDelivered++
	r.result.SamplesDuplicated += len(got) - 1
	for i := range got {
		if err := records.CheckSample(req, &got[i]); err != nil {
			r.result.SamplesMislabelled++
			r.progress("sample %s: %v", req.ID, err)
		}
		if oracle.Stale(got[i].Versions, secondVersion, stalenessBound) {
			r.result.SamplesStale++
		}
	}
}

// Table returns the result as a short text table.
func (r *Result) Table() string {
	var b strings.Builder
	line := func(name string, v any) { fmt.Fprintf(&b, "%-22s %v\n", name, v) }
	line("samples requested", r.SamplesRequested)
	line("samples delivered", r.SamplesDelivered)
	line("  lost", r.SamplesLost)
	line("  duplicated", r.SamplesDuplicated)
	line("  mislabelled", r.SamplesMislabelled)
	line("  stale", r.SamplesStale)
	line("lookups answered", r.LookupsOK)
	line("lookups failed", r.LookupsFailed)
	line("trainer idle ratio", fmt.Sprintf("%.3f", r.TrainerIdleRatio))
	return b.String()
}
