package swapexperiment

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/instances"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/table"
	"mulberryscale.example/trainer"
)

const (
	model        = "guide"
	firstVersion = 1
	startTimeout = time.Minute
	// maxSeconds is the upper limit of the histogram of staleness in seconds.
	maxSeconds = 24 * 3600
)

// Result is the measurement of one swap policy.
type Result struct {
	Policy table.SwapPolicy `json:"policy"`
	// Idle is the share of the time in which a trainer had no sample to learn from, averaged over
	// the trainers.
	Idle      float64 `json:"trainer_idle_ratio"`
	Steps     int     `json:"steps"`
	Delivered int64   `json:"delivered"`
	// Staleness of the delivered samples: versions behind the newest published one, and seconds
	// since the version after their oldest one was published.
	MeanVersions float64 `json:"staleness_mean_versions"`
	P99Versions  int64   `json:"staleness_p99_versions"`
	MeanSeconds  float64 `json:"staleness_mean_seconds"`
	P99Seconds   float64 `json:"staleness_p99_seconds"`
	// Mixed is the share of the samples that more than one version generated.
	Mixed float64 `json:"mixed_ratio"`
}

// deferredList is an instance list that is set only after the deployment has started. Until then
// it is unavailable.
type deferredList struct {
	list atomic.Pointer[instances.List]
}

func (l *deferredList) Instances(ctx context.Context) ([]platform.Instance, error) {
	if list := l.list.Load(); list != nil {
		return list.Instances(ctx)
	}
	return nil, platform.ErrUnavailable
}

// experiment is a running experiment.
type experiment struct {
	o      Options
	fabric *deployment.Memory
	d      *deployment.Deployment

	mu          sync.Mutex
	publishedAt []time.Time // indexed by version - firstVersion
	versions    *hdrhistogram.Histogram
	millis      *hdrhistogram.Histogram
	mixed       int64
	steps       int
	learning    time.Duration
}

// Run measures one swap policy for o.Duration. All its timers are those of package time, so that
// it can run in a testing/synctest bubble with a fake clock.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	x := &experiment{
		o: o, fabric: deployment.NewMemory(),
		versions: hdrhistogram.New(0, 1000, 3), millis: hdrhistogram.New(0, maxSeconds*1000, 3),
	}
	defer x.fabric.Close()
	if err := x.start(ctx); err != nil {
		return nil, err
	}
	defer x.d.Close()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	errs := make([]error, o.Trainers)
	var running sync.WaitGroup
	running.Go(func() { x.publishAll(ctx) })
	for i := range o.Trainers {
		running.Go(func() { errs[i] = x.train(ctx, i) })
	}
	running.Wait()
	if err := trace.NewAggregate(errs...); err != nil {
		return nil, err
	}
	return x.result(), nil
}

func (x *experiment) start(ctx context.Context) (err error) {
	list := &deferredList{}
	opts := deployment.Options{
		Fabric: x.fabric, Table: x.o.tableText(), Log: observe.Discard(), Seed: x.o.Seed, Retention: time.Minute,
		Agent: func(c *agent.Config) {
			c.Instances, c.Weights = list, c.Targets.(platform.WeightStore)
			c.SwapWindow = x.o.SwapWindow
		},
	}
	for i := range 2 {
		opts.Entries = append(opts.Entries, deployment.EntrySpec{ID: fmt.Sprint("entry-", i+1), Zone: zone(i)})
	}
	for i := range x.o.Engines {
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: zone(i % x.o.Zones), Options: engine.Options{
			ID: fmt.Sprint("engine-", i+1), Slots: x.o.Slots, TokenTime: x.o.TokenTime, LoadTime: x.o.LoadTime,
			ChunkTokens: 16, Models: map[string]uint64{model: firstVersion},
		}})
	}
	if x.d, err = deployment.Start(ctx, opts); err != nil {
		return err
	}
	list.list.Store(x.d.Instances)
	x.publishedAt = []time.Time{time.Now()}
	if err := x.d.Weights.Publish(model, firstVersion, nil); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return x.d.AwaitReady(ready)
}

func zone(i int) string { return fmt.Sprint("zone-", i+1) }

// publishAll publishes a new version at each publish interval until ctx is done.
func (x *experiment) publishAll(ctx context.Context) {
	ticker := time.NewTicker(x.o.PublishInterval)
	defer ticker.Stop()
	for version := uint64(firstVersion + 1); ; version++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		x.publishedAt = append(x.publishedAt, time.Now())
		x.mu.Unlock()
		_ = x.d.Weights.Publish(model, version, nil) // it fails only if versions do not increase
	}
}

// newest returns the newest published version.
func (x *experiment) newest() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return firstVersion + uint64(len(x.publishedAt)) - 1
}

// train runs the steps of trainer i until ctx is done. Each step declares the newest version at its
// start.
func (x *experiment) train(ctx context.Context, i int) error {
	client, err := trainer.New(trainer.Config{
		Row: rowName(i), Entries: x.d.EntryURLs(), HTTP: x.fabric.Client(), StalenessBound: x.o.StalenessBound,
	})
	if err != nil {
		return err
	}
	for n := 1; ctx.Err() == nil; n++ {
		step := trainer.Step{Name: fmt.Sprint(n), Version: x.newest(), Samples: x.o.samples(i, n)}
		_, err := client.RunStep(ctx, step, x.recordSample)
		if err != nil && ctx.Err() == nil {
			return trace.Wrap(err, "trainer %s, step %d", rowName(i), n)
		}
		x.mu.Lock()
		x.steps++
		x.mu.Unlock()
	}
	return nil
}

// recordSample records the staleness of a delivered sample and its learning time.
func (x *experiment) recordSample(s api.Sample) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	oldest := api.OldestVersion(s.Versions)
	behind := uint64(len(x.publishedAt)) - (oldest - firstVersion) - 1
	var outdated time.Duration
	if behind > 0 {
		outdated = time.Since(x.publishedAt[oldest+1-firstVersion])
	}
	if len(s.Versions) > 1 {
		x.mixed++
	}
	x.learning += x.o.LearnTime
	if err := x.versions.RecordValue(int64(behind)); err != nil {
		return err
	}
	return x.millis.RecordValue(outdated.Milliseconds())
}

func (x *experiment) result() *Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.versions.TotalCount()
	return &Result{
		Policy: x.o.Policy, Steps: x.steps, Delivered: n,
		Idle:         max(0, 1-x.learning.Seconds()/(x.o.Duration.Seconds()*float64(x.o.Trainers))),
		MeanVersions: x.versions.Mean(), P99Versions: x.versions.ValueAtQuantile(99),
		MeanSeconds: x.millis.Mean() / 1000, P99Seconds: float64(x.millis.ValueAtQuantile(99)) / 1000,
		Mixed: float64(x.mixed) / float64(max(1, n)),
	}
}
